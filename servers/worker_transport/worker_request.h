#pragma once

#include "core/error.h"
#include "decision/actions.h"
#include "servers/curl_loop/http_exchange.h"
#include "servers/worker_transport/worker_protocol.h"
#include "servers/worker_transport/worker_transport_settings.h"

namespace almondnotch {

/// Dependencies that are needed to prepare any request to a worker.
struct request_context
{
    easy_handle_pool &pool;
    connection_table &connections;
    const worker_transport_settings &settings;
    const worker_protocol &protocol;
};

/// Sets up the request of an attempt (docs/design.md, section 3.2). `command` must outlive the
/// exchange.
/// \return an error if the address, method, target or a header is malformed, or if libcurl cannot
/// allocate a handle.
result<void> prepareAttempt(http_exchange &exchange, const request_context &context,
                            const start_attempt &command, duration timeLeft);

/// Sets up the request of a probe.
/// \return an error if the address or the target is malformed, or if libcurl cannot allocate a
/// handle.
result<void> prepareProbe(http_exchange &exchange, const request_context &context,
                          const start_probe &command);

} // namespace almondnotch
