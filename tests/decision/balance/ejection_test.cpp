#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tests/decision/balance/balancer_fixture.h"

namespace almondnotch {

namespace {

const load_report idle {0, 0, 4, worker_state::ready};

/// Simulates a call that ends with status 500 after 200 us, with a report of an idle worker.
void failFast(balancer_fixture &fixture, std::size_t worker)
{
    fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(worker));
    fixture.now = fixture.now + microseconds(200);
    fixture.finish(balancer_fixture::indexOf(worker), microseconds(200), attempt_end::answered, 500,
                   idle);
}

} // namespace

// Guards against a worker that attracts calls because it fails faster than other workers respond.
BOOST_AUTO_TEST_CASE(a_fast_failing_worker_attracts_no_calls)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls(3);
    failFast(fixture, 0);
    BOOST_TEST(fixture.selectionCounts(400)[0] <= 100);
    failFast(fixture, 0);
    failFast(fixture, 0);
    BOOST_TEST(fixture.selectionCounts(400)[0] == 0);
    BOOST_TEST(fixture.counters.value("balancer_ejections_total{result=\"ejected\"}") == 1U);
}

// Guards against ejecting so many workers that the rest of the group is overloaded.
BOOST_AUTO_TEST_CASE(ejections_stay_within_the_configured_share)
{
    balancer_fixture fixture(10);
    fixture.serveInitialCalls();
    for (std::size_t worker = 0; worker < 8; ++worker) {
        for (int i = 0; i < 5; ++i)
            failFast(fixture, worker);
    }
    BOOST_TEST(fixture.counters.value("balancer_ejections_total{result=\"ejected\"}") == 3U);
    BOOST_TEST(fixture.counters.value("balancer_ejections_total{result=\"bound\"}") >= 1U);
    BOOST_TEST(fixture.invariants.failures() == 0U);
    // Failing workers that cannot be ejected because of the limit still lose most of their traffic.
    const std::vector<int> counts = fixture.selectionCounts(400);
    BOOST_TEST(counts[8] + counts[9] >= 320);
}

// Guards against ejecting all workers of a group that fail for a shared cause: all of them must
// stay in use.
BOOST_AUTO_TEST_CASE(all_workers_stay_in_use_when_all_fail)
{
    balancer_fixture fixture(4);
    fixture.objects.groups[0].ejectionShareMax = 0.5;
    fixture.apply();
    fixture.serveInitialCalls();
    for (int i = 0; i < 10; ++i) {
        for (std::size_t worker = 0; worker < 4; ++worker)
            failFast(fixture, worker);
    }
    fixture.now = fixture.now + seconds(10);
    const std::vector<int> counts = fixture.selectionCounts(400);
    BOOST_TEST(*std::min_element(counts.begin(), counts.end()) >= 20);
}

// Guards against a readmitted worker that gets its full share of the calls at once and fails again
// under the load.
BOOST_AUTO_TEST_CASE(readmission_begins_with_a_slow_start)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    for (int i = 0; i < 3; ++i)
        failFast(fixture, 0);
    fixture.now = fixture.now + milliseconds(1900);
    BOOST_TEST(fixture.selectionCounts(400)[0] == 0);
    fixture.now = fixture.now + milliseconds(400);
    const int first = fixture.selectionCounts(400)[0];
    BOOST_TEST(first <= 40);
    fixture.now = fixture.now + seconds(6);
    BOOST_TEST(fixture.selectionCounts(400)[0] >= 60);
}

// Guards against ejections of constant length, with which a permanently broken worker would often
// be readmitted and fail further calls.
BOOST_AUTO_TEST_CASE(repeated_ejections_last_longer)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    for (int i = 0; i < 3; ++i)
        failFast(fixture, 0);
    fixture.now = fixture.now + milliseconds(2100);
    fixture.select();
    failFast(fixture, 0);
    fixture.now = fixture.now + milliseconds(3500);
    BOOST_TEST(fixture.selectionCounts(200)[0] == 0);
}

// Guards against ejecting workers that correctly reject calls under overload.
BOOST_AUTO_TEST_CASE(rejections_do_not_eject)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    for (int i = 0; i < 10; ++i) {
        fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(0));
        fixture.finish(balancer_fixture::indexOf(0), microseconds(200), attempt_end::answered, 503,
                       load_report {4, 20, 4, worker_state::ready}, true);
    }
    BOOST_TEST(fixture.counters.value("balancer_ejections_total{result=\"ejected\"}") == 0U);
    BOOST_TEST(fixture.selectionCounts(400)[0] <= 20);
}

// Guards against ejecting healthy workers because the callers allow too little time for a response.
BOOST_AUTO_TEST_CASE(short_deadlines_do_not_eject)
{
    balancer_fixture fixture(4);
    fixture.serveInitialCalls();
    for (int i = 0; i < 10; ++i) {
        fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(0));
        fixture.now = fixture.now + milliseconds(2);
        fixture.finish(balancer_fixture::indexOf(0), milliseconds(2), attempt_end::timed_out, 0);
    }
    BOOST_TEST(fixture.counters.value("balancer_ejections_total{result=\"ejected\"}") == 0U);
}

// Guards against a cold worker that gets its full share before it has warmed up.
BOOST_AUTO_TEST_CASE(a_cold_worker_gets_a_slow_start)
{
    balancer_fixture fixture(3);
    fixture.serveInitialCalls();
    fixture.addWorker(3);
    fixture.apply();
    BOOST_TEST(fixture.selectionCounts(400)[3] <= 40);
    fixture.loadBalancer->probeFinished(fixture.now, balancer_fixture::indexOf(3),
                                        load_report {0, 0, 4, worker_state::cold}, 400);
    fixture.now = fixture.now + seconds(20);
    BOOST_TEST(fixture.selectionCounts(400)[3] <= 40);
    fixture.loadBalancer->probeFinished(fixture.now, balancer_fixture::indexOf(3), idle, 400);
    fixture.now = fixture.now + seconds(6);
    BOOST_TEST(fixture.selectionCounts(400)[3] >= 60);
}

} // namespace almondnotch
