#pragma once

#include <string>

#include "core/error.h"
#include "decision/actions.h"
#include "decision/routing/published.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// How published items are asked for and written in HTTP. Stateless.
class store_dialect
{
public:
    store_dialect() = default;
    store_dialect(const store_dialect &) = delete;
    store_dialect &operator=(const store_dialect &) = delete;
    virtual ~store_dialect() = default;

    /// Path and query of a read.
    virtual std::string target(const read_items &order) const = 0;
    /// Reads a whole response. \return an error for any response that is not what was asked for.
    virtual result<item_page> decode(const read_items &order, response_reader &reader) const = 0;
};

} // namespace almondnotch
