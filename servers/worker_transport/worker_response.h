#pragma once

#include <optional>

#include "decision/types.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// Load and state headers of a response. A draining state counts also without a load header, and
/// then comes with counts of 0.
std::optional<load_report> readLoad(const response_reader &reader);

/// A load or state header was there but not in the documented form.
bool isLoadMalformed(const response_reader &reader);

/// 503 with `Almondnotch-Outcome: not-run`: the worker says that it did not start the call.
bool isRefusedNotRun(const response_reader &reader);

/// The response without hop-by-hop and `Almondnotch-*` headers. `Content-Length` stays only where
/// there is no body that it could be computed from. Leaves the reader without its body.
call_response takeCallResponse(response_reader &reader);

} // namespace almondnotch
