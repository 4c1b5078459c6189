#pragma once

#include <optional>
#include <string_view>

#include "decision/types.h"

namespace almondnotch {

/// Largest count that a load report may contain. A report with a larger count is malformed.
constexpr unsigned loadCountMax = 1'000'000;

/// Parses the value of an `Almondnotch-Load` header, `running=R;queued=Q;slots=S`, in this order
/// and without whitespace.
/// \return nothing if the text has any other form or a count exceeds `loadCountMax`. The state of
/// the report is left at its default.
std::optional<load_report> parseLoadHeader(std::string_view text);

/// Parses "ready", "cold" or "draining".
/// \return nothing for any other text.
std::optional<worker_state> parseWorkerState(std::string_view text);

/// Parses the JSON document of the load endpoint.
/// \return nothing if a field is missing, has another type or is out of range.
std::optional<load_report> parseLoadDocument(std::string_view text);

} // namespace almondnotch
