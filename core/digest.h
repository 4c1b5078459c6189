#pragma once

#include <string>
#include <string_view>

namespace almondnotch {

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA256 (RFC 2104) as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view data);

/// Lower-case hexadecimal digits of raw bytes.
std::string toHex(std::string_view bytes);

/// Compares without a data-dependent early exit, so that the timing does not reveal a MAC.
bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace almondnotch
