#pragma once

#include <string>

#include "core/error.h"
#include "decision/actions.h"
#include "decision/routing/published.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// How published items are asked for and written in HTTP. Stateless.
class store_protocol
{
public:
    store_protocol() = default;
    store_protocol(const store_protocol &) = delete;
    store_protocol &operator=(const store_protocol &) = delete;
    virtual ~store_protocol() = default;

    /// Path and query of a read.
    virtual std::string target(const read_items &command) const = 0;
    /// Reads a whole response. \return an error for any response that is not what was asked for.
    virtual result<item_page> decode(const read_items &command, response_reader &reader) const = 0;
};

} // namespace almondnotch
