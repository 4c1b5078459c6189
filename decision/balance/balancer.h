#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/model.h"
#include "core/counters.h"
#include "core/error.h"
#include "core/invariants.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/balance/load_estimate.h"
#include "decision/peer_messages.h"
#include "decision/types.h"

namespace almondnotch {

/// Settings of worker selection that the daemon's own file gives.
struct balancer_settings
{
    /// Failure domain of this gateway.
    std::string failureDomain;
    /// Seed that differs between gateways, so that equal knowledge does not give equal choices.
    std::uint64_t gatewaySeed = 0;
    duration probeTimeout {milliseconds(500)};
    /// A returning or new worker's share grows to the full share over this time.
    duration slowStart {seconds(5)};
    /// Time for which a failing worker is left out after its first ejection.
    duration baseEjectionTime {seconds(2)};
    /// Constants of the load estimate; changed by measurements only.
    estimate_tuning tuning;

    bool operator==(const balancer_settings &) const = default;
};

struct selection_request
{
    const worker_group *group = nullptr;
    /// Workers that the call has tried already.
    std::vector<worker_index> excluded;
    /// Time left for the call.
    duration timeLeft {0};
    instant now;
};

struct selected_worker
{
    worker_index worker {};
    std::string name;
    std::string address;
    /// Connections that this gateway may hold to the worker.
    unsigned connectionLimit = 1;
    /// Estimated time until a response, for hedging and admission.
    duration expectedResponseTime {0};
};

/// What an attempt showed about a worker.
struct attempt_observation
{
    worker_index worker {};
    attempt_end end = attempt_end::broken;
    /// Time from start to end of the attempt.
    duration elapsed {0};
    /// HTTP status, 0 without a response.
    int status = 0;
    bool refusedNotRun = false;
    std::optional<load_report> load;
};

struct probe_request
{
    worker_index worker {};
    std::string name;
    std::string address;
    duration timeLimit {0};
};

/// Knows the workers and chooses one for each attempt. Owns load estimates, drains, ejections
/// and the probe budget.
class balancer
{
public:
    /// \param random, invariants, counters outlive the balancer.
    static std::unique_ptr<balancer> create(balancer_settings settings, random_source &random,
                                            invariant_set &invariants, counter_set &counters);
    balancer(const balancer &) = delete;
    balancer &operator=(const balancer &) = delete;
    ~balancer();

    /// Takes over a configuration. Workers that stay keep what is known of them.
    void applyConfig(instant now, const shared_config &config);

    /// Chooses a worker. Never one that is known to leave.
    /// \return nothing if the group has no usable worker outside `excluded`.
    std::optional<selected_worker> select(const selection_request &request);

    void attemptStarted(instant now, worker_index worker);
    void attemptFinished(instant now, const attempt_observation &observation);

    /// Records that a worker leaves; `age` is the time since the fact was first observed.
    void markDraining(instant now, const std::string &worker, duration age);

    /// Records that a VM leaves at `leaveAt`, or that it no longer leaves.
    void markVmLeaving(instant now, const std::string &vm, instant leaveAt);
    void clearVmLeaving(instant now, const std::string &vm);

    /// Drains to tell other gateways, most recent first, at most `limit`.
    std::vector<worker_drain> recentDrains(instant now, std::size_t limit) const;

    /// The process did not run for a while: what was known is old.
    void pauseDetected(instant now);

    /// Probes that are due and within the budget. Each is followed by `probeFinished`.
    std::vector<probe_request> dueProbes(instant now);

    /// A probe of one worker now, to find out whether it crashed. Counts against the same budget.
    /// \return nothing if the budget is used up or a probe is under way.
    std::optional<probe_request> tryProbe(instant now, worker_index worker);
    void probeFinished(instant now, worker_index worker, const std::optional<load_report> &load,
                       std::uint32_t bytes);

    /// When `dueProbes` should be called next.
    instant nextWake() const;

    /// All workers with what is known of them and its age.
    nlohmann::json dump(instant now) const;

    /// Scores of a group's workers as `select` would see them now.
    nlohmann::json explain(instant now, const worker_group &group) const;

private:
    struct state;
    explicit balancer(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
