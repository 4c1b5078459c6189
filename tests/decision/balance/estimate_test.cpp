#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tests/decision/balance/balancer_fixture.h"

namespace almondnotch {

namespace {

const load_report idle {0, 0, 4, worker_state::ready};

} // namespace

// Guards against herding: gateways that have equal reports of the same age must not all select the
// worker that was idle according to them.
BOOST_AUTO_TEST_CASE(gateways_with_the_same_old_report_do_not_herd)
{
    std::vector<int> chosen(8);
    for (std::uint64_t gateway = 1; gateway <= 64; ++gateway) {
        balancer_fixture fixture(8, gateway);
        fixture.serveInitialCalls(4);
        for (std::size_t i = 0; i < 8; ++i) {
            const unsigned running = i == 0 ? 0 : 4;
            fixture.loadBalancer->probeFinished(fixture.now, balancer_fixture::indexOf(i),
                                                load_report {running, 2, 4, worker_state::ready},
                                                400);
        }
        fixture.now = fixture.now + milliseconds(400);
        ++chosen[static_cast<std::size_t>(fixture.select()->worker)];
    }
    // An even share is 8 of 64; with herding it would be near 64.
    BOOST_TEST(*std::max_element(chosen.begin(), chosen.end()) <= 24);
}

// Guards against a slow worker that keeps its share until its first slow call ends.
BOOST_AUTO_TEST_CASE(overdue_calls_lower_the_share_before_they_end)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    const std::vector<int> before = fixture.selectionCounts(400);
    BOOST_TEST(before[0] >= 50);
    fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(0));
    fixture.now = fixture.now + milliseconds(40);
    for (std::size_t i = 1; i < 4; ++i)
        fixture.serve(balancer_fixture::indexOf(i), milliseconds(1), idle);
    const std::vector<int> after = fixture.selectionCounts(400);
    BOOST_TEST(after[0] <= 40);
}

// Guards against relying on a lagging or wrong report: a worker that is ten times slower reports
// that it is idle.
BOOST_AUTO_TEST_CASE(latency_outweighs_a_contradicting_report)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    for (int i = 0; i < 3; ++i)
        fixture.serve(balancer_fixture::indexOf(0), milliseconds(100), idle);
    for (std::size_t i = 1; i < 4; ++i)
        fixture.serve(balancer_fixture::indexOf(i), milliseconds(10),
                      load_report {3, 0, 4, worker_state::ready});
    BOOST_TEST(fixture.selectionCounts(400)[0] <= 40);
}

// Guards against a worker that does not regain its share after it has recovered.
BOOST_AUTO_TEST_CASE(a_recovered_worker_regains_its_share)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    for (int i = 0; i < 3; ++i)
        fixture.serve(balancer_fixture::indexOf(0), milliseconds(100), idle);
    fixture.now = fixture.now + seconds(3);
    BOOST_TEST(fixture.selectionCounts(400)[0] >= 40);
}

// Guards against selections based on reports from before a pause of the process.
BOOST_AUTO_TEST_CASE(reports_from_before_a_pause_are_stale)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    for (std::size_t i = 1; i < 4; ++i)
        fixture.loadBalancer->probeFinished(fixture.now, balancer_fixture::indexOf(i),
                                            load_report {4, 20, 4, worker_state::ready}, 400);
    BOOST_TEST(fixture.selectionCounts(400)[0] >= 350);
    fixture.loadBalancer->pauseDetected(fixture.now);
    BOOST_TEST(fixture.selectionCounts(400)[0] <= 200);
}

// Guards against calls in flight that appear overdue only because this process was paused.
BOOST_AUTO_TEST_CASE(a_pause_does_not_make_calls_in_flight_overdue)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(0));
    fixture.now = fixture.now + seconds(5);
    fixture.loadBalancer->pauseDetected(fixture.now);
    fixture.finish(balancer_fixture::indexOf(0), seconds(5), attempt_end::answered, 200, idle);
    BOOST_TEST(fixture.selectionCounts(400)[0] >= 40);
}

// Guards against calls to another failure domain while local workers are free, and against
// selecting a local worker whose queueing delay exceeds the additional network delay to a worker of
// another failure domain.
BOOST_AUTO_TEST_CASE(far_workers_are_selected_only_if_they_respond_earlier)
{
    balancer_fixture fixture(4);
    fixture.objects.workers[2].failureDomain = "far";
    fixture.objects.workers[3].failureDomain = "far";
    fixture.apply();
    fixture.serveInitialCalls(0);
    const std::vector<int> quiet = fixture.selectionCounts(400);
    BOOST_TEST(quiet[2] + quiet[3] <= 20);
    for (std::size_t i = 0; i < 4; ++i)
        fixture.loadBalancer->probeFinished(
            fixture.now, balancer_fixture::indexOf(i),
            load_report {i < 2 ? 4U : 1U, i < 2 ? 8U : 0U, 4, worker_state::ready}, 400);
    const std::vector<int> busy = fixture.selectionCounts(400);
    BOOST_TEST(busy[0] + busy[1] <= 40);
}

// Guards against selecting a worker again and again because the calls in flight of this gateway are
// ignored until the next report includes them.
BOOST_AUTO_TEST_CASE(calls_in_flight_count_before_a_report_includes_them)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    std::vector<int> chosen(4);
    for (int i = 0; i < 16; ++i) {
        const std::optional<selected_worker> worker = fixture.select();
        ++chosen[static_cast<std::size_t>(worker->worker)];
        fixture.loadBalancer->attemptStarted(fixture.now, worker->worker);
    }
    BOOST_TEST(*std::max_element(chosen.begin(), chosen.end()) <= 6);
}

} // namespace almondnotch
