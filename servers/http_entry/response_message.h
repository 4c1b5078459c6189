#pragma once

#include "servers/http_entry/caller_exchange.h"
#include "servers/http_entry/entry_context.h"
#include "servers/http_entry/output_queue.h"

namespace almondnotch {

/// Checks the response of an exchange and reserves memory for it, also while it waits for earlier
/// ones. A response that is malformed, or for which there is no memory, is replaced by an error.
/// \param isFirst true if no earlier response waits for its caller.
void holdResponse(entry_context &context, caller_exchange &exchange, bool isFirst);

/// Builds the message for an exchange whose response is held, and counts it.
/// \param closesConnection true if the connection is closed after the response.
output_message makeResponseMessage(entry_context &context, caller_exchange &exchange,
                                   bool closesConnection);

} // namespace almondnotch
