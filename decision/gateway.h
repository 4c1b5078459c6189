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

/// Settings of the decision core of one gateway process.
struct gateway_settings
{
    /// Seeds the random source; the same seed and events give the same actions.
    std::uint64_t seed = 0;
    /// A timer that fires more than this after its due time shows that the process was paused.
    duration pauseThreshold {milliseconds(500)};
    /// Maximum time from the start of a drain to the exit. An earlier deadline takes precedence.
    duration drainTimeMax {seconds(120)};
    /// Wall-clock time at the origin of the monotonic clock, in milliseconds since 1970. Used only
    /// for the notice periods of leaving VMs.
    std::int64_t unixMsAtOrigin = 0;
    fleet_settings fleetSettings;
    balancer_settings balancerSettings;
    call_settings calls;
    claim_settings claims;
};

/// Decision core of a gateway that reads its configuration (a manifest and its parts) and the VM
/// list from the platform, routes by rules, and owns idempotency keys. See `route_gateway` for the
/// other kind of gateway.
class gateway : public decision_core
{
public:
    /// \return invalid_settings if the VM name is empty, or if `acceptPeriod` or `replayPeriod` of
    /// the claims is not positive.
    static result<std::unique_ptr<gateway>> create(gateway_settings settings);
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;
    ~gateway() override;

    /// Must be called once before the first event.
    void start(instant now, action_list &actions) override;

    /// Handles one event. `now` must not be earlier than in the previous call.
    void handle(instant now, const event &input, action_list &actions) override;

    /// Time at which `timer_expired` is due. It may change with each call of `handle`.
    instant nextWake() const override;

    /// State of every table with its limits, all counters and invariants, and the configuration
    /// version.
    nlohmann::json dump(instant now) const override;

    /// Explains how a call would be routed: rule, service, group and the scores of the workers.
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
