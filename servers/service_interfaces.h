#pragma once

#include <functional>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/kernel.h"
#include "decision/actions.h"
#include "decision/decision_core.h"
#include "decision/events.h"

namespace almondnotch {

/// The interfaces through which the tasks on the loop reach one another, so that no task's package
/// depends on another's. All calls are made on the loop's thread. A task finds the others in its
/// `start` with `kernel::find`, under the service name given with each interface; a transport,
/// which starts before the decision task, finds "decision" all the same, since the kernel knows
/// every registered service, and may call `deliver` once it has started.

/// Service "decision": receives what happened outside.
class event_sink : public service
{
public:
    /// Events delivered while another is being handled are queued and handled after it.
    virtual void deliver(event input) = 0;
};

/// Service "worker_transport": sends calls and probes to workers.
class worker_transport_interface : public service
{
public:
    /// Ends with exactly one `attempt_finished`, never before this function returns.
    virtual void startAttempt(const start_attempt &command) = 0;
    /// Ignored if the attempt has ended.
    virtual void cancelAttempt(const cancel_attempt &command) = 0;
    /// Ends with exactly one `probe_finished`, never before this function returns.
    virtual void startProbe(const start_probe &command) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Service "platform_client": reads and watches the configuration service.
class platform_client_interface : public service
{
public:
    /// Ends with exactly one `platform_read_finished`, never before this function returns.
    virtual void readPlatform(const read_platform &command) = 0;
    /// Ends with exactly one `items_read`, never before this function returns.
    virtual void readItems(const read_items &command) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Service "peer_link": sends messages to other gateways.
class peer_link_interface : public service
{
public:
    /// Takes the message; `peer_send_failed` follows if it could not be delivered.
    virtual void sendPeerMessage(const send_peer_message &command) = 0;
    /// Refuses messages from now on, and calls `done` once, on the loop's thread, when every
    /// message under way has arrived or failed or the time limit has passed.
    virtual void flush(duration timeLimit, std::function<void()> done) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Service "http_entry": answers callers.
class http_entry_interface : public service
{
public:
    /// Ignored if the caller has disconnected.
    virtual void sendResponse(const send_response &command) = 0;
    virtual void sendEntryResponse(const send_entry_response &command) = 0;
    /// Stops accepting connections and calls `done` once, on the loop's thread, when every response
    /// has been handed to the kernel's socket buffers or the time limit has passed.
    virtual void flush(duration timeLimit, std::function<void()> done) = 0;
    virtual const counter_set &counters() const = 0;
};

/// Implemented by the service "decision" for the operator endpoint.
class decision_inspection
{
public:
    decision_inspection() = default;
    decision_inspection(const decision_inspection &) = delete;
    decision_inspection &operator=(const decision_inspection &) = delete;
    virtual ~decision_inspection() = default;

    virtual nlohmann::json dump() const = 0;
    virtual nlohmann::json explain(std::string_view method, std::string_view target) const = 0;
    virtual const counter_set &counters() const = 0;
};

/// Implemented by the service "decision" for the directory port.
class entry_directory
{
public:
    entry_directory() = default;
    entry_directory(const entry_directory &) = delete;
    entry_directory &operator=(const entry_directory &) = delete;
    virtual ~entry_directory() = default;

    /// True while the process can serve callers.
    virtual bool isReady() const = 0;
    virtual entry_addresses chooseEntry(const entry_lookup &question) = 0;
};

} // namespace almondnotch
