#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "decision/balance/probe_budget.h"
#include "tests/decision/balance/balancer_fixture.h"

namespace almondnotch {

namespace {

/// Runs the due probes of all workers once per millisecond for `length`, with `selectionsEachMs`
/// selections in each millisecond.
/// \return the times at which probes were started.
std::vector<instant> runProbes(balancer_fixture &fixture, duration length, int selectionsEachMs)
{
    std::vector<instant> starts;
    const instant end = fixture.now + length;
    while (fixture.now < end) {
        for (int i = 0; i < selectionsEachMs; ++i)
            fixture.select();
        if (fixture.loadBalancer->nextWake() <= fixture.now) {
            for (const probe_request &probeRequest : fixture.loadBalancer->dueProbes(fixture.now)) {
                starts.push_back(fixture.now);
                fixture.loadBalancer->probeFinished(fixture.now, probeRequest.worker,
                                                    load_report {1, 0, 4, worker_state::ready},
                                                    400);
            }
        }
        fixture.now = fixture.now + milliseconds(1);
    }
    return starts;
}

} // namespace

// Guards against a probe rate that grows with the number of calls (docs/design.md, invariant 1).
BOOST_AUTO_TEST_CASE(a_surge_of_calls_does_not_raise_the_probe_rate)
{
    for (const int selectionsEachMs : {1, 100}) {
        balancer_fixture fixture(3);
        const std::vector<instant> starts = runProbes(fixture, seconds(10), selectionsEachMs);
        // The share of one gateway is 16 / 16 = 1 probe per worker and second.
        BOOST_TEST(starts.size() <= 30U);
        BOOST_TEST(starts.size() >= 15U);
        BOOST_TEST(fixture.invariants.failures() == 0U);
    }
}

// Guards against a burst of probes after a pause of the process.
BOOST_AUTO_TEST_CASE(a_pause_is_not_followed_by_a_burst_of_probes)
{
    balancer_fixture fixture(20);
    runProbes(fixture, seconds(3), 1);
    fixture.now = fixture.now + seconds(60);
    fixture.loadBalancer->pauseDetected(fixture.now);
    // This gateway's share allows 20 probes per second for 20 workers; the buckets hold at most one
    // more for each worker.
    const std::vector<instant> starts = runProbes(fixture, seconds(1), 1);
    BOOST_TEST(starts.size() <= 40U);
    // The probes are spread over time.
    const instant earlyUntil = starts.empty() ? fixture.now : starts.front() + milliseconds(100);
    const std::ptrdiff_t earlyCount = std::count_if(
        starts.begin(), starts.end(), [earlyUntil](instant at) { return at <= earlyUntil; });
    BOOST_TEST(earlyCount <= 10);
}

// Guards against exceeding the budget because a process restarts repeatedly and sends a probe
// immediately after each start.
BOOST_AUTO_TEST_CASE(a_new_process_starts_with_empty_buckets)
{
    probe_budget budget;
    budget.setRates(instant(seconds(50)), 2, 4096);
    BOOST_TEST(!budget.tryStartProbe(instant(seconds(50))));
    BOOST_TEST((budget.readyAt() == instant(milliseconds(50500))));
    BOOST_TEST(budget.tryStartProbe(budget.readyAt()));
    BOOST_TEST(budget.isWithinShare(instant(milliseconds(50500))));
}

// Guards against exceeding the byte budget because responses are larger than the reserved size.
BOOST_AUTO_TEST_CASE(large_responses_lower_the_probe_rate)
{
    probe_budget budget;
    const instant begin {seconds(1)};
    budget.setRates(begin, 1000, 1024);
    double bytes = 0;
    for (int ms = 0; ms < 100000; ++ms) {
        const instant now = begin + milliseconds(ms);
        if (!budget.tryStartProbe(now))
            continue;
        BOOST_TEST(budget.isWithinShare(now));
        budget.finishProbe(5000);
        bytes += 5000;
    }
    BOOST_TEST(bytes <= 1024 * 100 + 5000);
    BOOST_TEST(bytes >= 1024 * 90);
}

// Guards against treating a budget of 0 as unlimited.
BOOST_AUTO_TEST_CASE(a_budget_of_zero_permits_no_probe)
{
    probe_budget budget;
    budget.setRates(instant(seconds(1)), 0, 1000000);
    BOOST_TEST((budget.readyAt() == instant::never()));
    BOOST_TEST(!budget.tryStartProbe(instant(seconds(1000000))));
}

// Guards against refilling the buckets when the rates change.
BOOST_AUTO_TEST_CASE(configuration_changes_do_not_refill_the_buckets)
{
    probe_budget budget;
    std::uint64_t started = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        const instant now = instant(seconds(1)) + milliseconds(ms);
        budget.setRates(now, ms % 2 == 0 ? 1 : 1.001, 1 << 20);
        if (budget.tryStartProbe(now)) {
            ++started;
            budget.finishProbe(400);
        }
    }
    BOOST_TEST(started <= 11U);
}

// Guards against unnecessary probes of workers whose responses carry recent load reports.
BOOST_AUTO_TEST_CASE(workers_with_recent_reports_are_not_probed)
{
    balancer_fixture fixture(3);
    fixture.serveInitialCalls();
    std::size_t probes = 0;
    for (int round = 0; round < 200; ++round) {
        for (std::size_t i = 0; i < 3; ++i) {
            fixture.select();
            fixture.serve(balancer_fixture::indexOf(i), milliseconds(10),
                          load_report {1, 0, 4, worker_state::ready});
        }
        probes += fixture.loadBalancer->dueProbes(fixture.now).size();
    }
    BOOST_TEST(probes == 0U);
}

// Guards against probing a group at the full rate while it receives no calls.
BOOST_AUTO_TEST_CASE(idle_groups_are_probed_rarely)
{
    balancer_fixture fixture(3);
    const std::vector<instant> starts = runProbes(fixture, seconds(60), 0);
    BOOST_TEST(starts.size() >= 3U);
    BOOST_TEST(starts.size() <= 18U);
}

} // namespace almondnotch
