#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/error.h"
#include "core/time.h"
#include "decision/peer_messages.h"
#include "decision/routing/published.h"
#include "decision/types.h"

namespace almondnotch {

/// Version of the lists of events and actions. Raised with each change of meaning.
constexpr unsigned decisionInterfaceVersion = 1;

/// A caller's whole request arrived at the entry port.
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

/// An attempt at a worker ended. Arrives exactly once for each `start_attempt`.
struct attempt_finished
{
    attempt_id attempt;
    attempt_end end = attempt_end::broken;
    /// Set if and only if `end` is `answered`.
    shared_response response;
    /// Load from the response headers, if the worker sent it.
    std::optional<load_report> load;
    /// The worker refused with `Almondnotch-Outcome: not-run`.
    bool refusedNotRun = false;
    /// Reason for logs; empty if answered.
    std::string detail;
    /// Another worker has the address now; it did not run the call.
    bool wrongInstance = false;
};

/// A probe of a load endpoint ended. Arrives exactly once for each `start_probe`.
struct probe_finished
{
    probe_id probe;
    std::optional<load_report> load;
    std::uint32_t bytes = 0;
    /// The worker considers itself healthy and is not leaving.
    bool healthy = true;
};

/// A caller asked which addresses to use for a service.
struct entry_query
{
    query_id query;
    std::string service;
};

/// An authenticated message of another gateway.
struct peer_message_received
{
    process_id from;
    peer_message message;
};

/// A message could not be delivered. It may have arrived all the same.
struct peer_send_failed
{
    std::string peerAddress;
    /// Identifier that `send_peer_message` gave.
    std::uint64_t messageId = 0;
};

/// A value or the VM list was read, or a watch ended without change.
struct platform_value
{
    /// Platform's version of this value; 0 if the key does not exist.
    std::uint64_t version = 0;
    /// False if a watch ended without change.
    bool changed = false;
    std::string text;
};

/// A read or watch ended. Arrives exactly once for each `read_platform`.
struct platform_read_finished
{
    read_id read;
    result<platform_value> value;
};

/// A read of published items ended. Arrives exactly once for each `read_items`.
struct items_read
{
    read_id read;
    result<item_page> page;
};

/// The process shall leave (SIGTERM or operator), by the deadline at the latest.
struct drain_requested
{
    instant deadline = instant::never();
};

/// The time returned by `nextWake` has come.
struct timer_expired
{ };

using event = std::variant<call_received, caller_disconnected, attempt_finished, probe_finished,
                           entry_query, peer_message_received, peer_send_failed,
                           platform_read_finished, items_read, drain_requested, timer_expired>;

} // namespace almondnotch
