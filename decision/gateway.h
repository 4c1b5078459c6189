#pragma once

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/error.h"
#include "core/invariants.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/balance/balancer.h"
#include "decision/calls/call_settings.h"
#include "decision/claims/claim_settings.h"
#include "decision/decision_core.h"
#include "decision/events.h"
#include "decision/fleet/fleet.h"

namespace almondnotch {

/// Everything that one gateway process needs to decide.
struct gateway_settings
{
    /// Seeds the random source; the same seed and events give the same actions.
    std::uint64_t seed = 0;
    /// A timer that is later than this shows that the process did not run.
    duration pauseThreshold {milliseconds(500)};
    /// Longest time from the start of a drain to the exit, if no deadline is known.
    duration drainTimeMax {seconds(120)};
    /// Wall clock at origin of the monotonic clock, milliseconds since 1970; only for the notice
    /// period of leaving VMs.
    std::int64_t unixMsAtOrigin = 0;
    fleet_settings fleetSettings;
    balancer_settings balancerSettings;
    call_settings calls;
    claim_settings claims;
};

/// All decisions of one gateway process, as a state machine without I/O.
///
/// The driver hands in events with the time at which they are handled, carries out the actions in
/// order, and hands in `timer_expired` at `nextWake()`. Not thread-safe: one task owns it.
class gateway : public decision_core
{
public:
    static result<std::unique_ptr<gateway>> create(gateway_settings settings);
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;
    ~gateway() override;

    /// Must be called once before the first event.
    void start(instant now, action_list &actions) override;

    /// Handles one event. `now` must not be earlier than in the call before.
    void handle(instant now, const event &input, action_list &actions) override;

    /// Time at which `timer_expired` is due; changes with each `handle`.
    instant nextWake() const override;

    /// Every table with its bounds, counters, invariants and the configuration version.
    nlohmann::json dump(instant now) const override;

    /// Why a call would go where: rule, service, group and the workers' scores.
    nlohmann::json explain(instant now, std::string_view method,
                           std::string_view target) const override;

    const counter_set &counters() const override;
    invariant_set &invariants() override;

private:
    struct state;
    explicit gateway(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
