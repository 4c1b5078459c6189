#pragma once

#include <string_view>

namespace almondnotch {

/// Compares header names or other ASCII text case-insensitively.
bool equalIgnoringCase(std::string_view left, std::string_view right);

/// Returns the text without leading and trailing spaces, tabs and line breaks.
std::string_view trimmed(std::string_view text);

/// True for hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
bool isHopByHop(std::string_view name);

/// True for `Almondnotch-*` headers.
bool isAlmondnotchHeader(std::string_view name);

} // namespace almondnotch
