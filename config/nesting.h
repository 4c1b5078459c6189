#pragma once

#include <optional>
#include <string_view>

namespace almondnotch {

/// Maximum number of brackets open at the same time, and of dots on one line outside strings and
/// comments (dots of dotted keys, but also decimal points).
constexpr int tomlNestingMax = 16;

/// The first line at which a TOML text nests deeper than `tomlNestingMax`, if any.
///
/// toml++ 3.3 does not limit the number of segments of a dotted key, and destroying the resulting
/// tables recurses once per segment, so a hostile text of 1 MB would exhaust the stack. Must be
/// called before the parser.
std::optional<int> findDeepNesting(std::string_view text);

} // namespace almondnotch
