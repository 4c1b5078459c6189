#pragma once

#include <functional>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/service_manager.h"
#include "decision/actions.h"
#include "decision/decision_core.h"
#include "decision/events.h"

namespace almondnotch {

/// Interfaces through which the services on the event loop call one another, so that the package of
/// one service does not depend on the package of another. All calls are made on the event loop's
/// thread. A service looks the others up in its `start` with `service_manager::find`, by the
/// service name given with each interface. The lookup finds every registered service, started or
/// not, so transports find "decision", which starts after them. Events that are delivered before it
/// has started are dropped.

/// Service "decision": receives events from the transports and listeners.
class event_sink : public service
{
public:
    /// An event that is delivered while another is being handled is queued and handled after it.
    virtual void deliver(event input) = 0;
};

/// Service "worker_transport": sends attempts and probes to workers.
class worker_transport_interface : public service
{
public:
    /// Delivers exactly one `attempt_finished` event for each attempt identifier, never before this
    /// function returns.
    virtual void startAttempt(const start_attempt &command) = 0;
    /// Has no effect if the attempt has ended.
    virtual void cancelAttempt(const cancel_attempt &command) = 0;
    /// Has no effect if the attempt has ended or a byte of its request was sent.
    virtual void withdrawAttempt(const withdraw_attempt &command) = 0;
    /// Delivers exactly one `probe_finished` event, never before this function returns.
    virtual void startProbe(const start_probe &command) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Service "platform_client": reads and watches the configuration service.
class platform_client_interface : public service
{
public:
    /// Delivers exactly one `platform_value_read_finished` event, never before this function
    /// returns.
    virtual void readPlatformValue(const read_platform_value &command) = 0;
    /// Delivers exactly one `items_read_finished` event, never before this function returns.
    virtual void readItems(const read_items &command) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Service "peer_link": sends messages to other gateways.
class peer_link_interface : public service
{
public:
    /// Sends a message asynchronously. Delivers a `peer_send_failed` event if sending fails.
    virtual void sendPeerMessage(const send_peer_message &command) = 0;
    /// Rejects incoming messages from now on. Calls `done` once, on the event loop's thread, when
    /// every outgoing message in flight has been acknowledged or has failed, or when `timeLimit`
    /// has passed. `done` is not called if the service is stopped before.
    virtual void flush(duration timeLimit, std::function<void()> done) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Service "http_entry": sends responses to callers.
class http_entry_interface : public service
{
public:
    /// Has no effect if the caller has disconnected.
    virtual void sendResponse(const send_response &command) = 0;
    /// Answers an entry query, which asks which gateway addresses to use for a service.
    virtual void sendEntryResponse(const send_entry_response &command) = 0;
    /// Stops accepting connections. Calls `done` once, on the event loop's thread, when every
    /// response has been written to the socket buffers of the operating system, or when `timeLimit`
    /// has passed. `done` is not called if the service is stopped before.
    virtual void flush(duration timeLimit, std::function<void()> done) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Read access to the state of the decision core, for the operator endpoint. Implemented by the
/// service "decision".
class decision_inspection
{
public:
    decision_inspection() = default;
    decision_inspection(const decision_inspection &) = delete;
    decision_inspection &operator=(const decision_inspection &) = delete;
    virtual ~decision_inspection() = default;

    /// Current state of the decision core, for GET /dump.
    virtual nlohmann::json dump() const = 0;
    /// Explains how a request with this method and target would be handled, for GET /explain.
    virtual nlohmann::json explain(std::string_view method, std::string_view target) const = 0;
    virtual const counter_set &counters() const = 0;
};

/// Selects the entry addresses, which are the addresses of gateways that callers should use, and
/// reports readiness. Used by the directory endpoint. Implemented by the service "decision".
class entry_directory
{
public:
    entry_directory() = default;
    entry_directory(const entry_directory &) = delete;
    entry_directory &operator=(const entry_directory &) = delete;
    virtual ~entry_directory() = default;

    /// True while the process can serve callers.
    virtual bool isReady() const = 0;
    /// Gateway addresses for a caller that looks up a host from the given region and failure
    /// domain; empty if no gateway is available.
    virtual entry_addresses selectEntryAddresses(const entry_lookup &lookup) = 0;
};

} // namespace almondnotch
