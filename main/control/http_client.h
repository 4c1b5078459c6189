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
/// \param method "GET" or "POST" (without a body). \param target path and query, encoded.
/// \return the response of any status, or `unavailable` if none arrived completely.
result<http_response> sendRequest(std::string_view method, const std::string &address,
                                  std::string_view target);

/// Percent-encodes a value for a query.
std::string encodeQueryValue(std::string_view value);

} // namespace almondnotch
