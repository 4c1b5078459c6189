#pragma once

#include <string_view>

namespace almondnotch {

/// Compares header names or tokens, whose case has no meaning.
bool equalIgnoringCase(std::string_view left, std::string_view right);

/// The text without blanks and line ends around it.
std::string_view trimmed(std::string_view text);

/// True for headers of one connection (RFC 9110, section 7.6.1), which are not passed on.
bool isHopByHop(std::string_view name);

/// True for `Almondnotch-*` headers.
bool isAlmondnotchHeader(std::string_view name);

} // namespace almondnotch
