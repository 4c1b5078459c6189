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

/// Settings of worker selection from the daemon's own settings file.
struct balancer_settings
{
    /// Failure domain of this gateway.
    std::string failureDomain;
    /// Random seed, different in each gateway, so that gateways with identical load data do not all
    /// select the same worker.
    std::uint64_t selectionSeed = 0;
    duration probeTimeout {milliseconds(500)};
    /// Length of the slow start, over which the traffic share of a new or readmitted worker grows
    /// to the full share.
    duration slowStart {seconds(5)};
    /// Duration of a worker's first ejection. Repeated ejections last longer, see `ejection_state`.
    duration baseEjectionTime {seconds(2)};
    /// Constants of the load estimate. The daemon uses the defaults; only benchmarks vary them.
    estimate_tuning tuning;

    bool operator==(const balancer_settings &) const = default;
};

struct selection_request
{
    const worker_group *group = nullptr;
    /// Workers that earlier attempts of the call were sent to.
    std::vector<worker_index> excluded;
    /// Time until the deadline of the call. No strategy uses it at present.
    duration timeLeft {0};
    instant now;
};

struct selected_worker
{
    worker_index worker {};
    std::string name;
    std::string address;
    /// Maximum number of connections from this gateway to the worker.
    unsigned connectionLimit = 1;
    /// Estimated time until the response arrives, for hedging and admission.
    duration expectedResponseTime {0};
};

/// Result of one attempt, from which the balancer learns the health and load of the worker.
struct attempt_observation
{
    worker_index worker {};
    attempt_end end = attempt_end::broken;
    /// Time from the start to the end of the attempt.
    duration elapsed {0};
    /// HTTP status code; 0 if no response arrived.
    int status = 0;
    /// The worker rejected the call with the outcome `not-run`, so the call was not executed.
    bool rejectedBeforeRun = false;
    std::optional<load_report> load;
};

/// Probe of a worker's load endpoint that the owner of the balancer has to send.
struct probe_request
{
    worker_index worker {};
    std::string name;
    std::string address;
    duration timeLimit {0};
};

/// Selects a worker for each attempt. Holds the load estimate, drain state, ejection state and
/// probe budget of every worker.
class balancer
{
public:
    /// \param random, invariants, counters must outlive the balancer.
    static std::unique_ptr<balancer> create(balancer_settings settings, random_source &random,
                                            invariant_set &invariants, counter_set &counters);
    balancer(const balancer &) = delete;
    balancer &operator=(const balancer &) = delete;
    ~balancer();

    /// Applies a new configuration. Workers that are still configured under the same name and
    /// address keep their state.
    void applyConfig(instant now, const shared_config &config);

    /// Selects a worker for an attempt. Never selects a worker that is draining or whose VM is
    /// leaving.
    /// \return std::nullopt if the group has no usable worker outside `excluded`.
    std::optional<selected_worker> select(const selection_request &request);

    /// Records the start of an attempt. Every started attempt must be finished exactly once.
    void attemptStarted(instant now, worker_index worker);
    void attemptFinished(instant now, const attempt_observation &observation);

    /// Records that a worker is draining; `age` is the time since the drain was first observed.
    void markDraining(instant now, const std::string &worker, duration age);

    /// Records that the platform will take a VM down at `leaveAt`, which is `instant::never()` if
    /// the time is not known. The workers on the VM are no longer selected.
    void markVmLeaving(instant now, const std::string &vm, instant leaveAt);

    /// Records that the platform no longer plans to take down a VM that was marked as leaving.
    void clearVmLeaving(instant now, const std::string &vm);

    /// Draining workers to announce to the other gateways, most recently observed first, at most
    /// `limit`.
    std::vector<worker_drain> recentDrains(instant now, std::size_t limit) const;

    /// Marks all load estimates as stale after this process was suspended for some time, and
    /// spreads the probes that have become due meanwhile.
    void pauseDetected(instant now);

    /// Returns the probes that are due and within the probe budget. Each of them must be sent, and
    /// its end reported with `probeFinished`.
    std::vector<probe_request> dueProbes(instant now);

    /// Requests an immediate probe of one worker, to find out whether it has crashed. The probe
    /// counts against the same budget as scheduled probes.
    /// \return std::nullopt if the budget is exhausted, a probe of the worker is already in flight
    /// or the worker is not configured.
    std::optional<probe_request> tryProbe(instant now, worker_index worker);

    /// Records the end of a probe.
    /// \param load nothing if the probe failed.
    /// \param bytes size of the request and the response on the wire.
    void probeFinished(instant now, worker_index worker, const std::optional<load_report> &load,
                       std::uint32_t bytes);

    /// Time at which `dueProbes` should be called next.
    instant nextWake() const;

    /// State of the balancer as JSON: all workers with their load estimates and the age of their
    /// last report, groups, drains and leaving VMs.
    nlohmann::json dump(instant now) const;

    /// Scores of a group's workers at `now`, as the strategy `expected_wait` computes them without
    /// its random part.
    nlohmann::json explain(instant now, const worker_group &group) const;

private:
    struct state;
    explicit balancer(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
