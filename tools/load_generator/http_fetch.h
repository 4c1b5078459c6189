#pragma once

#include <string>

#include "core/error.h"

namespace almondnotch {

/// Response to a GET request.
struct fetch_response
{
    long status = 0;
    std::string body;
};

/// Sends a GET request and blocks until the response arrives, for at most two seconds.
result<fetch_response> fetchUrl(const std::string &url);

/// libcurl write callback that appends to the `std::string` that `target` points to.
std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target);

} // namespace almondnotch
