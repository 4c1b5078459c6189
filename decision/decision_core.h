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

/// Where a caller is that asks which addresses to use.
struct entry_lookup
{
    std::string host;
    std::string region;
    std::string failureDomain;

    bool operator==(const entry_lookup &) const = default;
};

/// Entry addresses and how long a caller may use them; none if there is no gateway to name.
struct entry_addresses
{
    std::vector<std::string> addresses;
    duration ttl {0};

    bool operator==(const entry_addresses &) const = default;
};

/// All decisions of one gateway process, as a state machine without I/O.
///
/// The driver hands in events with the time at which they are handled, carries out the actions in
/// order, and hands in `timer_expired` at `nextWake()`. Not thread-safe: one task owns it.
class decision_core
{
public:
    decision_core() = default;
    decision_core(const decision_core &) = delete;
    decision_core &operator=(const decision_core &) = delete;
    virtual ~decision_core() = default;

    /// Must be called once before the first event.
    virtual void start(instant now, action_list &actions) = 0;
    /// Handles one event. `now` must not be earlier than in the call before.
    virtual void handle(instant now, const event &input, action_list &actions) = 0;
    /// Time at which `timer_expired` is due; changes with each `handle`.
    virtual instant nextWake() const = 0;
    virtual nlohmann::json dump(instant now) const = 0;
    virtual nlohmann::json explain(instant now, std::string_view method,
                                   std::string_view target) const = 0;
    virtual const counter_set &counters() const = 0;
    virtual invariant_set &invariants() = 0;

    /// True while the process can serve callers and does not leave.
    virtual bool isReady(instant /*now*/) const { return true; }
    /// Addresses for a caller at a place; gateways that answer `entry_query` instead have none.
    virtual entry_addresses chooseEntry(instant /*now*/, const entry_lookup & /*question*/)
    {
        return {};
    }
};

} // namespace almondnotch
