#include <boost/test/unit_test.hpp>

#include "tests/decision/balance/balance_scenario.h"

namespace almondnotch {

namespace {

/// Share of one worker's attempts in a service of equal workers, as a multiple of the even share,
/// when the fault begins `before` the measured time.
double shareUnderFault(worker_fault kind, duration before, std::uint64_t seed)
{
    scenario_settings settings;
    settings.deployment = kestrelwood();
    settings.load = 0.6;
    settings.seed = seed;
    settings.measured = seconds(2);
    settings.faults = {{settings.warmUp - before, 0, kind}};
    const scenario_result run = runScenario(settings);
    BOOST_TEST(run.invariantFailures == 0U);
    BOOST_TEST(run.overruns == 0U);
    const std::size_t members = settings.deployment.services[0];
    std::uint64_t sum = 0;
    for (std::size_t worker = 0; worker < members; ++worker)
        sum += run.attempts[worker];
    return static_cast<double>(run.attempts[0]) * static_cast<double>(members)
           / static_cast<double>(sum);
}

} // namespace

// Guards against a worker slowed by ten times that keeps its share until its calls end: one end
// of a slowed call takes 80 ms, and the share is measured from 160 ms on.
BOOST_AUTO_TEST_CASE(a_worker_slowed_ten_times_loses_most_of_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        BOOST_TEST(shareUnderFault(worker_fault::slow, milliseconds(160), seed) <= 0.25);
}

// Guards against trust in reports that say idle while responses are slow.
BOOST_AUTO_TEST_CASE(a_slow_worker_that_claims_to_be_idle_loses_most_of_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        BOOST_TEST(shareUnderFault(worker_fault::slow_and_claims_idle, milliseconds(160), seed)
                   <= 0.35);
}

// Guards against a black hole: fast failures look like the shortest response time. Thirteen to
// sixteen gateways each need a few failures to see it.
BOOST_AUTO_TEST_CASE(a_fast_failing_worker_loses_most_of_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        BOOST_TEST(shareUnderFault(worker_fault::fails_fast, milliseconds(160), seed) <= 0.1);
}

// Guards against new work for a worker that has been leaving for 3 s (invariant 5).
BOOST_AUTO_TEST_CASE(a_draining_worker_gets_nothing_after_three_seconds)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        scenario_settings settings;
        settings.deployment = kestrelwood();
        settings.load = 0.6;
        settings.seed = seed;
        settings.warmUp = seconds(4);
        settings.measured = seconds(1);
        settings.faults = {{seconds(1), 0, worker_fault::drains}};
        BOOST_TEST(runScenario(settings).attempts[0] == 0U);
    }
}

// Guards against a worker whose late reports give it far too many or too few calls.
BOOST_AUTO_TEST_CASE(late_reports_keep_the_share_near_even)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const double share = shareUnderFault(worker_fault::reports_late, milliseconds(500), seed);
        BOOST_TEST(share >= 0.5);
        BOOST_TEST(share <= 1.5);
    }
}

} // namespace almondnotch
