#pragma once

#include <optional>
#include <string_view>

namespace almondnotch {

/// Most brackets open at once, and most dots of keys on one line.
constexpr int tomlNestingMax = 16;

/// Line at which a TOML text nests deeper than `tomlNestingMax`, if any.
///
/// toml++ 3.3 does not bound the segments of a dotted key, and destroying the resulting tables
/// recurses once a segment, so a hostile text of 1 MB would exhaust the stack. Must be called
/// before the parser.
std::optional<int> findDeepNesting(std::string_view text);

} // namespace almondnotch
