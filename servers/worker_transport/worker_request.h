#pragma once

#include "core/error.h"
#include "decision/actions.h"
#include "servers/curl_loop/http_exchange.h"
#include "servers/worker_transport/worker_protocol.h"
#include "servers/worker_transport/worker_transport_settings.h"

namespace almondnotch {

/// What the set-up of every request to a worker uses.
struct request_context
{
    easy_handle_pool &pool;
    connection_table &connections;
    const worker_transport_settings &settings;
    const worker_protocol &protocol;
};

/// Sets up the request of an attempt (design, section 3.2). The order must outlive the exchange.
/// \return an error if the address, method, target or a header cannot be sent as they are.
result<void> prepareAttempt(http_exchange &exchange, const request_context &context,
                            const start_attempt &command, duration timeLeft);

/// Sets up the request of a probe.
result<void> prepareProbe(http_exchange &exchange, const request_context &context,
                          const start_probe &command);

} // namespace almondnotch
