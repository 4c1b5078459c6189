#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"
#include "decision/balance/load_estimate.h"
#include "tests/decision/driver/fake_worker.h"

namespace almondnotch {

/// A reference deployment (docs/design.md, section 1.1), reduced to the values that affect
/// selection.
struct deployment_profile
{
    std::string name;
    unsigned failureDomainCount = 1;
    /// One-way network delay between failure domains.
    duration oneWayDelay {0};
    /// Number of workers of each service.
    std::vector<unsigned> workersPerService;
    /// Maximum number of connections that one worker accepts from all gateways together.
    unsigned connectionsPerWorker = 1;
    worker_profile worker;
};

/// Three failure domains, services of 13, 7, 6 and 6 workers with 6 slots.
deployment_profile kestrelwood();
/// Four failure domains, services of 17, 9, 8 and 8 workers with 4 slots.
deployment_profile obrtHorvatic();
/// Interference from other VMs on the host: bursts of 5 to 500 ms, on average 2 s apart, each of
/// which takes 50 to 95% of a worker's capacity.
noise_profile noisyNeighbours();

/// Fault that is injected into one worker during a run.
enum class worker_fault {
    /// Ten times slower.
    slow,
    /// Ten times slower, while it reports that it is idle.
    slow_but_reports_idle,
    /// Responds immediately with status 500.
    fails_fast,
    /// Rejects new calls with the outcome `not-run` and reports that it is draining.
    drains,
    /// Reports from the load endpoint and in responses to executed calls are 2 s old.
    reports_late,
};

/// A fault and the time at which it begins. It lasts until the end of the run.
struct scheduled_fault
{
    /// Time after the start of the run.
    duration at {0};
    /// Index of the worker, counted over all services in their order.
    std::size_t worker = 0;
    worker_fault kind = worker_fault::slow;
};

struct scenario_settings
{
    deployment_profile deployment;
    /// Name of the selection strategy.
    std::string strategy = "expected_wait";
    /// Offered load as a share of the capacity without noise.
    double load = 0.5;
    std::uint64_t seed = 1;
    /// Probe budget of one worker for the probes of all gateways together.
    double probesPerSecond = 4;
    double bytesPerSecond = 4096;
    /// Interval at which each gateway polls each worker, in addition to the probes within the
    /// budget; 0 for no polling.
    duration pollInterval {0};
    /// Simulated time before the measurement begins.
    duration unmeasuredTime {seconds(1)};
    duration measuredTime {seconds(4)};
    /// Responses that take longer do not count towards the goodput.
    duration callerTimeout {seconds(1)};
    estimate_tuning tuning;
    std::vector<scheduled_fault> faults;
};

struct scenario_result
{
    /// Percentiles of the response times at the gateway in ms, including the time of rejected first
    /// attempts.
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    /// Share of the calls that were rejected, by the balancer for lack of a worker or by the
    /// worker.
    double rejectedShare = 0;
    /// Rate of successful responses within `scenario_settings::callerTimeout` as a share of the
    /// capacity.
    double goodputShare = 0;
    /// Probes and their bytes per worker and second, from all gateways together.
    double probeRate = 0;
    double probeByteRate = 0;
    /// Rate of probes as a share of the budget.
    double budgetShare = 0;
    /// Number of probes beyond the budget of a worker or the share of a gateway, counted
    /// independently of the balancer.
    std::uint64_t overruns = 0;
    /// Number of violated invariants in all gateways.
    std::uint64_t invariantFailures = 0;
    /// Calls that arrived during the measured time.
    std::uint64_t calls = 0;
    /// Attempts sent to each worker during the measured time.
    std::vector<std::uint64_t> attempts;
    /// Number of callbacks that the simulation ran.
    std::uint64_t events = 0;
};

/// Runs the balancers of 13 to 16 gateways under open-loop load in simulated time.
scenario_result runScenario(const scenario_settings &settings);

} // namespace almondnotch
