#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/invariants.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/events.h"

namespace almondnotch {

/// A caller's request for gateway addresses: the requested host and the location of the caller.
/// Answered by `decision_core::selectEntryAddresses`. Gateways that own idempotency keys answer
/// `entry_query` events instead.
struct entry_lookup
{
    std::string host;
    std::string region;
    std::string failureDomain;

    bool operator==(const entry_lookup &) const = default;
};

/// Gateway addresses for callers and the time for which they may be used; empty if no gateway is
/// available.
struct entry_addresses
{
    std::vector<std::string> addresses;
    duration ttl {0};

    bool operator==(const entry_addresses &) const = default;
};

/// All decisions of one gateway process, as a state machine without I/O.
///
/// The driver passes in each event with the current time, executes the resulting actions in order,
/// and passes in `timer_expired` at the time returned by `nextWake()`. Not thread-safe: only one
/// task may use it.
class decision_core
{
public:
    decision_core() = default;
    decision_core(const decision_core &) = delete;
    decision_core &operator=(const decision_core &) = delete;
    virtual ~decision_core() = default;

    /// Must be called once before the first event.
    virtual void start(instant now, action_list &actions) = 0;
    /// Handles one event. `now` must not be earlier than in the previous call.
    virtual void handle(instant now, const event &input, action_list &actions) = 0;
    /// Time at which `timer_expired` is due. It may change with each call of `handle`.
    virtual instant nextWake() const = 0;
    virtual nlohmann::json dump(instant now) const = 0;
    /// Explains how a request would be routed.
    /// \param target path with query; "//HOST/PATH" in implementations that route by host.
    virtual nlohmann::json explain(instant now, std::string_view method,
                                   std::string_view target) const = 0;
    virtual const counter_set &counters() const = 0;
    virtual invariant_set &invariants() = 0;

    /// True if the process can serve callers and is not draining. Always true in implementations
    /// that do not track this.
    virtual bool isReady(instant /*now*/) const { return true; }
    /// Returns the gateway addresses for a lookup; none in implementations that answer
    /// `entry_query` events instead.
    virtual entry_addresses selectEntryAddresses(instant /*now*/, const entry_lookup & /*lookup*/)
    {
        return {};
    }
};

} // namespace almondnotch
