#pragma once

#include <optional>
#include <string_view>

#include "core/time.h"

namespace almondnotch {

/// Parses a duration written as a decimal number and a unit, "ms" or "s", for example "2.5s".
/// \return `std::nullopt` if the text is malformed, negative or exceeds 24 hours.
std::optional<duration> parseDuration(std::string_view text);

} // namespace almondnotch
