#pragma once

#include <optional>
#include <string_view>

#include "decision/types.h"

namespace almondnotch {

/// Largest count that a load report may contain; larger ones are malformed.
constexpr unsigned loadCountMax = 1'000'000;

/// Parses `running=R;queued=Q;slots=S`, in this order and without blanks.
/// \return nothing if the text has any other form; the state is left at its default.
std::optional<load_report> parseLoadHeader(std::string_view text);

/// Parses "ready", "cold" or "draining".
std::optional<worker_state> parseWorkerState(std::string_view text);

/// Parses the document of the load endpoint.
/// \return nothing if a field is missing or has another type or range.
std::optional<load_report> parseLoadDocument(std::string_view text);

} // namespace almondnotch
