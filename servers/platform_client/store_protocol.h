#pragma once

#include <string>

#include "core/error.h"
#include "decision/actions.h"
#include "decision/routing/items/published.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// HTTP protocol for reading published items from the platform. Implementations are stateless.
class store_protocol
{
public:
    store_protocol() = default;
    store_protocol(const store_protocol &) = delete;
    store_protocol &operator=(const store_protocol &) = delete;
    virtual ~store_protocol() = default;

    /// Request target of a read: path and query.
    virtual std::string target(const read_items &command) const = 0;
    /// Decodes a complete response. \return an error if its status is not the expected one or its
    /// body is malformed.
    virtual result<item_page> decode(const read_items &command, response_reader &reader) const = 0;
};

} // namespace almondnotch
