#pragma once

#include "servers/http_entry/caller_exchange.h"
#include "servers/http_entry/entry_context.h"
#include "servers/http_entry/output_queue.h"

namespace almondnotch {

/// The place of a response among those of its connection.
struct message_options
{
    /// True if no earlier response waits for its caller.
    bool isFirst = false;
    /// True if the connection is closed after the response.
    bool closeConnection = false;
};

/// Builds the message for an exchange in `phase::ready`, counts it, and reserves memory for it. A
/// response that is malformed, or for which there is no memory, is replaced by an error.
output_message makeResponseMessage(entry_context &context, caller_exchange &exchange,
                                   const message_options &options);

} // namespace almondnotch
