#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/byte_budget.h"
#include "decision/types.h"
#include "servers/http_entry/entry_context.h"
#include "servers/http_entry/request_head.h"

namespace almondnotch {

class caller_connection;

/// A request of a caller and its response. Exists from the first byte of the request until the
/// response has been passed to the writer, or until the caller has disconnected.
struct caller_exchange
{
    enum class phase {
        /// The request is being received.
        receiving,
        /// The request is complete and waits until the requests before it have been answered.
        held,
        /// The request was passed on and its response is awaited.
        waiting,
        /// `response` is set. It is written after those of the requests before it.
        ready,
    };

    caller_connection *connection = nullptr;
    phase currentPhase = phase::receiving;
    bool isHeadRequest = false;
    /// True if the request may run beside others of its connection, in any order: its method is GET
    /// or HEAD, and it has no body (RFC 9112 section 9.3.2).
    bool isIndependent = false;
    /// True if the caller waits for an interim response before it sends the body.
    bool expectsContinue = false;
    /// True if the caller must be told that the connection is kept, since HTTP/1.0 closes it
    /// otherwise.
    bool needsKeepAliveField = false;
    std::string requestId;
    /// Filled while the request is received; null if the request is rejected. Shared and immutable
    /// from `phase::held` on.
    std::shared_ptr<call_request> request;
    /// Set if the request is rejected. Sent as the response when the end of the request has been
    /// received, or at once if `endsInput`.
    std::optional<problem> rejection;
    /// True if no further request can be received after this one.
    bool endsInput = false;
    /// Bytes of the body received so far, including discarded ones.
    std::uint64_t receivedBytes = 0;
    /// The request's part of the memory for bodies.
    byte_reservation heldBody {};
    /// Identifier of the call or entry query; 0 before `phase::waiting`.
    std::uint64_t id = 0;
    /// True for an entry query, false for a call.
    bool isQuery = false;
    /// Name of the service whose addresses an entry query asks for.
    std::string service;
    /// Set in `phase::ready`.
    shared_response response;
    /// The response's part of the memory for responses.
    byte_reservation heldResponse {};
};

/// Checks a head, which Boost.Beast has parsed, and prepares the exchange for the body.
/// \param keepsConnection true if the connection may be used for further requests.
void receiveHead(entry_context &context, const request_head &head, bool keepsConnection,
                 caller_exchange &exchange);

/// Adds a part of the body, or discards it if the request is rejected.
void receiveBody(entry_context &context, std::string_view part, caller_exchange &exchange);

/// Rejects the request, unless it is rejected already.
void rejectExchange(entry_context &context, const request_rejection &reason,
                    caller_exchange &exchange);

/// Builds the problem document of a rejection and counts it.
problem makeRejectionProblem(entry_context &context, const request_rejection &reason,
                             const caller_exchange &exchange);

} // namespace almondnotch
