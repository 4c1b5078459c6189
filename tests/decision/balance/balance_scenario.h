#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"
#include "decision/balance/load_estimate.h"
#include "tests/decision/driver/fake_worker.h"

namespace almondnotch {

/// A user of design section 1.1, reduced to what selection depends on.
struct deployment_profile
{
    std::string name;
    unsigned domains = 1;
    duration oneWay {0};
    /// Workers of each service.
    std::vector<unsigned> services;
    unsigned connections = 1;
    worker_profile worker;
};

/// Three domains, services of 13, 7, 6 and 6 workers with 6 slots.
deployment_profile kestrelwood();
/// Four domains, services of 17, 9, 8 and 8 workers with 4 slots.
deployment_profile obrtHorvatic();
/// Bursts of 5 to 500 ms that take 50 to 95% of a worker's capacity, on average every 2 s.
noise_profile noisyNeighbours();

/// What goes wrong with one worker during a run.
enum class worker_fault {
    /// Ten times slower.
    slow,
    /// Ten times slower, while all reports say that it is idle.
    slow_and_claims_idle,
    /// Answers at once with status 500.
    fails_fast,
    /// Refuses new calls as `not-run` and reports that it drains.
    drains,
    /// Load endpoint and headers are 2 s behind.
    reports_late,
};

struct scheduled_fault
{
    duration at {0};
    /// Index in the order of the services.
    std::size_t worker = 0;
    worker_fault kind = worker_fault::slow;
};

struct scenario_settings
{
    deployment_profile deployment;
    /// Name of a selection strategy.
    std::string policy = "expected_wait";
    /// Offered work as a share of the capacity without noise.
    double load = 0.5;
    std::uint64_t seed = 1;
    double probesPerSecond = 4;
    double bytesPerSecond = 4096;
    /// Each gateway polls each worker at this interval outside the budget; 0 for none.
    duration pollInterval {0};
    duration warmUp {seconds(1)};
    duration measured {seconds(4)};
    /// A response that comes later than this is of no use to the caller.
    duration callerTimeout {seconds(1)};
    estimate_tuning tuning;
    std::vector<scheduled_fault> faults;
};

struct scenario_result
{
    /// Response times at the gateway, with refused first attempts, ms.
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    /// Share of the calls.
    double refusedShare = 0;
    /// Useful responses as a share of the capacity.
    double goodputShare = 0;
    /// Per worker and second, from all gateways together.
    double probeRate = 0;
    double probeByteRate = 0;
    /// Probes as a share of the budget.
    double budgetShare = 0;
    /// Probes beyond the budget, by a count of its own.
    std::uint64_t overruns = 0;
    std::uint64_t invariantFailures = 0;
    std::uint64_t calls = 0;
    /// Attempts sent to each worker in the measured time.
    std::vector<std::uint64_t> attempts;
    std::uint64_t events = 0;
};

/// Runs the balancers of 13 to 16 gateways under open-loop load in fake time.
scenario_result runScenario(const scenario_settings &settings);

} // namespace almondnotch
