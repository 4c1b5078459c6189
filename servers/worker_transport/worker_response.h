#pragma once

#include <optional>

#include "decision/types.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// Reads the load and state headers of a response. A draining state is reported even without a load
/// header, with counts of 0.
std::optional<load_report> readLoad(const response_reader &reader);

/// True if the response has a malformed or repeated load or state header.
bool isLoadMalformed(const response_reader &reader);

/// True for status 503 with `Almondnotch-Outcome: not-run`, which states that the worker did not
/// start the call.
bool isRejectedBeforeRun(const response_reader &reader);

/// Builds the response without hop-by-hop headers, headers that `Connection` lists and
/// `Almondnotch-*` headers. `Content-Length` is kept only if the method was HEAD or the status is
/// 304, since there is then no body from which it could be computed. Moves the body out of the
/// reader.
call_response takeCallResponse(response_reader &reader);

} // namespace almondnotch
