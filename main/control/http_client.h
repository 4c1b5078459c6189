#pragma once

#include <string>
#include <string_view>

#include "core/error.h"

namespace almondnotch {

struct http_response
{
    long status = 0;
    std::string body;
};

/// Sends one request to a gateway and waits for the response, for at most 10 s.
/// \param method "GET" or "POST" (without a body).
/// \param target path and query, percent-encoded.
/// \return the response, whatever its status, or `unavailable` if no complete response arrived.
result<http_response> sendRequest(std::string_view method, const std::string &address,
                                  std::string_view target);

/// Percent-encodes a value for the query of a URL.
std::string encodeQueryValue(std::string_view value);

} // namespace almondnotch
