#include <boost/test/unit_test.hpp>

#include "tests/decision/balance/balance_scenario.h"

namespace almondnotch {

namespace {

/// Number of attempts that the faulty worker gets, as a multiple of the mean over the workers of
/// its service. The fault begins `leadTime` before the measurement.
double shareUnderFault(worker_fault kind, duration leadTime, std::uint64_t seed)
{
    scenario_settings settings;
    settings.deployment = kestrelwood();
    settings.load = 0.6;
    settings.seed = seed;
    settings.measuredTime = seconds(2);
    settings.faults = {{settings.unmeasuredTime - leadTime, 0, kind}};
    const scenario_result run = runScenario(settings);
    BOOST_TEST(run.invariantFailures == 0U);
    BOOST_TEST(run.overruns == 0U);
    const std::size_t workerCount = settings.deployment.workersPerService[0];
    std::uint64_t sum = 0;
    for (std::size_t worker = 0; worker < workerCount; ++worker)
        sum += run.attempts[worker];
    return static_cast<double>(run.attempts[0]) * static_cast<double>(workerCount)
           / static_cast<double>(sum);
}

} // namespace

// Guards against a worker that becomes ten times slower and keeps its share until its slow calls
// end. Such a call takes 80 ms, and the share is measured from 160 ms after the fault.
BOOST_AUTO_TEST_CASE(a_ten_times_slower_worker_loses_most_of_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        BOOST_TEST(shareUnderFault(worker_fault::slow, milliseconds(160), seed) <= 0.25);
}

// Guards against relying on load reports that show an idle worker while its responses are slow.
BOOST_AUTO_TEST_CASE(a_slow_worker_that_reports_idle_loses_most_of_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        BOOST_TEST(shareUnderFault(worker_fault::slow_but_reports_idle, milliseconds(160), seed)
                   <= 0.35);
}

// Guards against a worker that attracts calls by failing fast, since it appears to have the
// shortest response time. Each of the 13 to 16 gateways needs a few failures to detect it.
BOOST_AUTO_TEST_CASE(a_fast_failing_worker_loses_most_of_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        BOOST_TEST(shareUnderFault(worker_fault::fails_fast, milliseconds(160), seed) <= 0.1);
}

// Guards against new calls to a worker later than 3 s after its drain began, which no gateway may
// send (docs/design.md, invariant 5).
BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_calls_after_three_seconds)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        scenario_settings settings;
        settings.deployment = kestrelwood();
        settings.load = 0.6;
        settings.seed = seed;
        settings.unmeasuredTime = seconds(4);
        settings.measuredTime = seconds(1);
        settings.faults = {{seconds(1), 0, worker_fault::drains}};
        BOOST_TEST(runScenario(settings).attempts[0] == 0U);
    }
}

// Guards against a worker that gets far too many or too few calls because its reports are late.
BOOST_AUTO_TEST_CASE(late_reports_keep_the_share_near_even)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const double share = shareUnderFault(worker_fault::reports_late, milliseconds(500), seed);
        BOOST_TEST(share >= 0.5);
        BOOST_TEST(share <= 1.5);
    }
}

} // namespace almondnotch
