#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/error.h"
#include "core/time.h"
#include "decision/peer_messages.h"
#include "decision/routing/items/published.h"
#include "decision/types.h"

namespace almondnotch {

/// Version of the events and actions. It is incremented whenever the meaning of one changes.
constexpr unsigned decisionInterfaceVersion = 1;

/// A complete request of a caller was received at the entry port.
struct call_received
{
    call_id call;
    shared_request request;
};

/// The caller closed its connection before its response was sent.
struct caller_disconnected
{
    call_id call;
};

/// What a response of a worker says about the requests that the worker wants to get.
struct worker_signals
{
    /// Requests per second that the worker accepts from all gateways together; infinity if its
    /// response names no limit. Empty if there is no valid response or the limit is malformed.
    std::optional<double> requestRateMax = std::nullopt;
    /// The worker is about to exit and must get no new requests.
    bool isLeaving = false;
    /// The worker has rejected the request and asks this gateway to send it nothing for this long;
    /// 0 if it has not.
    duration pause {0};
    /// Name of a header that was ignored because its value is malformed; empty if there is none.
    std::string malformedHeader {};
    /// How much longer the worker stays cold, 0 if it is warm; empty if the response does not say.
    std::optional<duration> warmUpLeft = std::nullopt;

    bool operator==(const worker_signals &) const = default;
};

/// An attempt at a worker ended. Arrives exactly once for each `start_attempt`.
struct attempt_finished
{
    attempt_id attempt;
    attempt_end end = attempt_end::broken;
    /// Set if and only if `end` is `answered`.
    shared_response response;
    /// Load from the response headers, if the worker sent it.
    std::optional<load_report> load;
    /// The worker rejected the call with `Almondnotch-Outcome: not-run`.
    bool rejectedBeforeRun = false;
    /// Reason for the failure, which may be returned to the caller in the detail of the problem
    /// response; empty if `end` is `answered`.
    std::string detail;
    /// The address now belongs to another worker, which did not execute the call.
    bool wrongInstance = false;
    worker_signals signals {};
    /// The attempt ended as `not_sent` because of `withdraw_attempt`, so its end says nothing about
    /// the worker.
    bool wasWithdrawn = false;
};

/// A probe of a load endpoint or health check ended. Arrives exactly once for each `start_probe`.
struct probe_finished
{
    probe_id probe;
    /// Load of the worker; empty if the probe failed.
    std::optional<load_report> load;
    /// Size of the request and the response on the wire, in bytes.
    std::uint32_t bytes = 0;
    /// True if the health check was answered with status 200. Ignored by the decision core;
    /// the parser of the probe response (platform/workers.cpp) uses it to set `load` to a default
    /// `load_report` if the worker reports no load.
    bool healthy = true;
    worker_signals signals {};
};

/// A caller requested the entry addresses for a service, that is, the addresses at which gateways
/// accept calls. Answered by `send_entry_response` in gateways that own idempotency keys; see
/// `entry_lookup` for others.
struct entry_query
{
    query_id query;
    std::string service;
};

/// An authenticated message of another gateway was received.
struct peer_message_received
{
    process_id from;
    peer_message message;
};

/// Sending a message failed. The peer may have received it nevertheless.
struct peer_send_failed
{
    std::string peerAddress;
    /// The `messageId` of the `send_peer_message` action.
    std::uint64_t messageId = 0;
};

/// Result of a read or watch of a platform value, see `platform_key`.
struct platform_value
{
    /// Version that the platform assigned to this value; 0 if the key does not exist.
    std::uint64_t version = 0;
    /// False if a watch ended without a change.
    bool changed = false;
    std::string text;
};

/// A read or watch ended. Arrives exactly once for each `read_platform_value`.
struct platform_value_read_finished
{
    read_id read;
    result<platform_value> value;
};

/// Bytes of the response to a `read_items` are arriving. A large response can take long on a slow
/// link, in which time this event arrives several times a second.
struct items_read_progress
{
    read_id read;
};

/// A read of published items ended. Arrives exactly once for each `read_items`.
struct items_read_finished
{
    read_id read;
    result<item_page> page;
};

/// A graceful shutdown was requested, by SIGTERM or by the operator. It must be complete by the
/// deadline. `route_gateway` ignores the deadline and applies its own `drainTimeout`.
struct drain_requested
{
    instant deadline = instant::never();
};

/// The time returned by `nextWake` was reached.
struct timer_expired
{ };

using event = std::variant<call_received, caller_disconnected, attempt_finished, probe_finished,
                           entry_query, peer_message_received, peer_send_failed,
                           platform_value_read_finished, items_read_progress, items_read_finished,
                           drain_requested, timer_expired>;

} // namespace almondnotch
