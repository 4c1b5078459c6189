#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <microhttpd.h>

#include "decision/types.h"
#include "servers/event_loop/io_watcher.h"

namespace almondnotch {

/// One request at the entry port and its response. Owned by libmicrohttpd from the request line to
/// the end of the response.
struct caller_exchange
{
    enum class phase {
        /// The request line was read; header fields come next.
        head,
        body,
        /// Suspended until the response is there.
        waiting,
        /// Resumed to send `response`.
        answered,
        /// The response was given to libmicrohttpd.
        sending,
        /// The caller is gone or the process stops: the connection is to be closed.
        abandoned,
    };

    MHD_Connection *connection = nullptr;
    phase currentPhase = phase::head;
    /// Target of the request line as received.
    std::string target;
    std::string requestId;
    /// Filled while receiving; shared and constant from `waiting` on.
    std::shared_ptr<call_request> request;
    /// Problem that is sent at the end of the request in place of handling it.
    std::optional<problem> refusal;
    /// Bytes of body received, kept or not.
    std::uint64_t receivedBytes = 0;
    /// Part of the bound on held bodies that this request takes.
    std::uint64_t heldBytes = 0;
    /// Identifier of the call or query while `waiting`; 0 before.
    std::uint64_t id = 0;
    bool isQuery = false;
    /// Service that an entry query asks for.
    std::string service;
    shared_response response;
    bool closeConnection = false;
    /// Counts towards the responses that `flush` waits for.
    bool isUnsent = false;
    /// Tells a disconnected caller while libmicrohttpd does not watch the connection.
    std::unique_ptr<io_watcher> disconnectWatcher;
    /// The caller sent more data while it waits, so its descriptor stays readable.
    bool isPipelining = false;
};

} // namespace almondnotch
