#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/error.h"
#include "decision/actions.h"
#include "decision/routing/items/published.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// Decodes the response to one read of published items while its body arrives, so that it need not
/// be held as a whole.
class item_page_decoder
{
public:
    item_page_decoder() = default;
    item_page_decoder(const item_page_decoder &) = delete;
    item_page_decoder &operator=(const item_page_decoder &) = delete;
    virtual ~item_page_decoder() = default;

    /// Adds bytes of the body.
    /// \return false if no more are needed. `finish` can then be called before the response ends.
    virtual bool add(std::string_view bytes) = 0;
    /// \return an error if the status is not the expected one or the body is malformed.
    virtual result<item_page> finish(const response_reader &reader) = 0;
};

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
    /// Creates the decoder of the response to one read.
    virtual std::unique_ptr<item_page_decoder> makeDecoder(const read_items &command) const = 0;
};

} // namespace almondnotch
