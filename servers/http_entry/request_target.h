#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace almondnotch {

/// The path of a request target, without its query.
std::string_view pathOf(std::string_view target);

/// Returns the first value of a parameter in the query of a target, decoded as
/// application/x-www-form-urlencoded.
/// \return nothing if there is no such parameter or its encoding is invalid.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

} // namespace almondnotch
