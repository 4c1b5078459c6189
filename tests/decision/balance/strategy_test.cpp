#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/decision/balance/balance_scenario.h"

namespace almondnotch {

namespace {

constexpr std::uint64_t seeds = 3;

/// Comparison of the default strategy with a baseline strategy.
struct comparison
{
    /// Median over the seeds of the ratio of p99 to the baseline's p99 with the same seed.
    double p99Ratio = 0;
    /// Largest rate of probes per worker and second of the default strategy.
    double probesPerWorker = 0;
    /// Probes beyond the budget and violated invariants in all runs.
    std::uint64_t violations = 0;
};

comparison compare(const deployment_profile &deployment, double load, const std::string &baseline)
{
    comparison out;
    std::vector<double> ratios;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        scenario_settings settings;
        settings.deployment = deployment;
        settings.deployment.worker.noise = noisyNeighbours();
        settings.load = load;
        settings.seed = seed;
        settings.measuredTime = seconds(4);
        const scenario_result testedResult = runScenario(settings);
        settings.strategy = baseline;
        const scenario_result baselineResult = runScenario(settings);
        ratios.push_back(testedResult.p99 / baselineResult.p99);
        out.probesPerWorker = std::max(out.probesPerWorker, testedResult.probeRate);
        out.violations += testedResult.overruns + testedResult.invariantFailures
                          + baselineResult.overruns + baselineResult.invariantFailures;
    }
    std::sort(ratios.begin(), ratios.end());
    out.p99Ratio = ratios[ratios.size() / 2];
    return out;
}

void checkDeployment(const deployment_profile &deployment)
{
    const comparison busy = compare(deployment, 0.85, "power_of_two");
    BOOST_TEST(busy.p99Ratio <= 0.6);
    // A fifth of the probe rate of 13 gateways that poll each worker every 100 ms.
    BOOST_TEST(busy.probesPerWorker <= 0.2 * 13 * 10);
    BOOST_TEST(busy.violations == 0U);
    const comparison quiet = compare(deployment, 0.5, "power_of_two");
    BOOST_TEST(quiet.p99Ratio <= 1);
    BOOST_TEST(quiet.violations == 0U);
}

} // namespace

// Guards against a change after which the default strategy misses its targets while other VMs on
// the hosts slow the workers down: for the p99 latency, relative to `power_of_two`, and for the
// probe rate. This deployment gives priority to tail latency.
BOOST_AUTO_TEST_CASE(default_strategy_meets_its_targets_at_kestrelwood)
{
    checkDeployment(kestrelwood());
}

// Guards against missing the same targets in a deployment that gives priority to a low cost of
// probes.
BOOST_AUTO_TEST_CASE(default_strategy_meets_its_targets_at_obrt_horvatic)
{
    checkDeployment(obrtHorvatic());
}

} // namespace almondnotch
