#pragma once

#include <optional>
#include <string_view>

#include "core/time.h"

namespace almondnotch {

/// Reads a length of time written as a decimal number and its unit, "ms" or "s", as in "2.5s".
/// \return nothing if the text has another form, is negative or exceeds 24 hours.
std::optional<duration> parseDuration(std::string_view text);

} // namespace almondnotch
