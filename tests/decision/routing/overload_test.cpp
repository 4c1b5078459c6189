#include <boost/test/unit_test.hpp>

#include "decision/routing/requests/worker_selector.h"
#include "decision/routing/workers/saturation_slowdown.h"
#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

load_report reportWithSlowdown(unsigned slowdownPercent, std::uint32_t running = 0)
{
    load_report report {running, 0, 4};
    report.slowdownPercent = slowdownPercent;
    return report;
}

const std::vector<published_worker> twoWorkers {workerEntry("b-1", "books"),
                                                workerEntry("b-2", "books")};

/// A worker selector with the criteria of one booking. Workers have no load report until the test
/// calls `report`.
struct selector_fixture
{
    selector_fixture()
    {
        criteria.service = "books";
        criteria.serviceTime = milliseconds(70);
        criteria.objective = milliseconds(200);
        criteria.timeToObjective = milliseconds(200);
        criteria.timeToDeadline = milliseconds(600);
    }

    worker_index add(const std::string &name)
    {
        pool.apply(now, workerItem(workerEntry(name, "books")));
        return pool.workersOf("books").back();
    }
    void report(worker_index worker, const load_report &load)
    {
        pool.probeFinished(now, worker, {probe_id {1}, load, 100});
    }
    std::vector<scored_worker> rank() { return selector.rank(now, criteria, {}); }

    counter_set counters;
    random_source random {1};
    worker_pool pool {counters};
    worker_selector selector {pool, random, "near"};
    selection_criteria criteria;
    instant now {seconds(100)};
};

/// Sends one booking, which may be deferred first, and answers its attempt after `responseTime`.
void serveBooking(routing_fixture &fixture, duration responseTime)
{
    fixture.call("POST", "/book/1");
    std::vector<start_attempt> sent = fixture.take<start_attempt>();
    for (int i = 0; i < 15 && sent.empty(); ++i) {
        fixture.advance(milliseconds(10));
        sent = fixture.take<start_attempt>();
    }
    BOOST_REQUIRE(sent.size() == 1U);
    fixture.advance(responseTime);
    fixture.answer(sent.front());
    fixture.take<send_response>();
    fixture.advance(milliseconds(50));
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_suite)

// Load pattern: a burst on a service whose workers are all slow or full, with few requests at each
// gateway. Guards against sending requests that will miss their latency objective anyway: they
// would hold slots for several times their service time and delay other requests.
BOOST_AUTO_TEST_CASE(lateRequestsAreRejectedWhileFewWorkersAreUsable)
{
    routing_fixture fixture;
    fixture.loads["b-1"] = reportWithSlowdown(400);
    fixture.loads["b-2"] = reportWithSlowdown(400);
    fixture.becomeReady(twoWorkers);
    unsigned attemptsAfterTenRequests = 0;
    for (int i = 0; i < 30; ++i) {
        fixture.call("POST", "/book/1");
        fixture.advance(milliseconds(200));
        for (const start_attempt &attempt : fixture.take<start_attempt>()) {
            attemptsAfterTenRequests += i >= 10 ? 1 : 0;
            fixture.endAttempt(attempt, attempt_end::timed_out);
        }
    }
    BOOST_TEST(attemptsAfterTenRequests == 0U);
    for (const send_response &sent : fixture.take<send_response>())
        BOOST_TEST((sent.response->status == 503 || sent.response->status == 504));

    fixture.loads["b-2"] = reportWithSlowdown(100);
    fixture.advance(seconds(4));
    fixture.call("POST", "/book/1");
    BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "b-2");
}

// Load pattern: most machines are slow. Guards against preferring workers without a load report
// because they are assumed to run at nearly full speed.
BOOST_FIXTURE_TEST_CASE(workersWithoutReportCountAsSlowAsTheMean, selector_fixture)
{
    const worker_index known = add("known");
    const worker_index slow = add("slow");
    add("unknown");
    for (int i = 0; i < 200; ++i)
        report(slow, reportWithSlowdown(700));
    report(known, reportWithSlowdown(300));
    const std::vector<scored_worker> ranked = rank();
    BOOST_REQUIRE(ranked.size() == 3U);
    BOOST_TEST((ranked.front().worker == known));
    BOOST_TEST(pool.usableFraction("books") < 0.1);
}

// Guards against a new connection for nearly every request in a large failure domain, where a
// gateway rarely selects the same worker twice.
BOOST_FIXTURE_TEST_CASE(connectedWorkersArePreferredAmongEquals, selector_fixture)
{
    const worker_index connected = add("connected");
    add("new");
    report(connected, reportWithSlowdown(200));
    now = now + seconds(3);
    int connectedFirst = 0;
    for (int i = 0; i < 200; ++i)
        connectedFirst += rank().front().worker == connected ? 1 : 0;
    BOOST_TEST(connectedFirst >= 150);
    // Other workers must be selected too, so that a new worker gets requests.
    BOOST_TEST(connectedFirst < 200);
}

// Load pattern: a burst of deferred requests. Guards against more probes than the budget allows: 16
// gateways together may send each of the two workers 60 probes per second, and one gateway a
// sixteenth of that, with a burst of four seconds.
BOOST_AUTO_TEST_CASE(probesStayWithinThisGatewaysShare)
{
    routing_settings settings = localGatewaySettings();
    settings.peers.assumedGatewayCount = 16;
    routing_fixture fixture(settings);
    fixture.loads["b-1"] = reportWithSlowdown(700, 4);
    fixture.loads["b-2"] = reportWithSlowdown(700, 4);
    fixture.becomeReady(twoWorkers);
    for (int i = 0; i < 200; ++i) {
        fixture.call("POST", "/book/1");
        fixture.advance(milliseconds(10));
        for (const start_attempt &attempt : fixture.take<start_attempt>())
            fixture.endAttempt(attempt, attempt_end::timed_out);
    }
    const double allowed = 2 * 60.0 * 2 / 16;
    const double burst = 4 * 60.0 * 2 / 16;
    BOOST_TEST(static_cast<double>(fixture.probes.size()) <= allowed + burst);
    BOOST_TEST(!fixture.probes.empty());
}

// Guards against leaving slots free on workers that do not slow down when they are full, and
// against a slowdown estimate that reacts to single responses.
BOOST_AUTO_TEST_CASE(slotsStayFreeOnlyWhereSaturationReducesThroughput)
{
    saturation_slowdown unaffected;
    saturation_slowdown saturating;
    BOOST_TEST(!unaffected.reducesThroughput(4));
    saturating.add(3.0);
    BOOST_TEST(!saturating.reducesThroughput(1));
    for (int i = 0; i < 60; ++i) {
        unaffected.add(i % 2 == 0 ? 0.7 : 1.3);
        saturating.add(i % 2 == 0 ? 1.2 : 2.2);
    }
    BOOST_TEST(!unaffected.reducesThroughput(4));
    BOOST_TEST(!unaffected.reducesThroughput(6));
    BOOST_TEST(saturating.reducesThroughput(4));
    BOOST_TEST(!saturating.reducesThroughput(1));
}

// Load pattern: a burst on workers that slow down when they are nearly full. Guards against using
// the last free slot of every worker as soon as possible, which reduces the throughput of all
// workers.
BOOST_AUTO_TEST_CASE(workersThatSlowDownWhenFullKeepASlotFree)
{
    routing_fixture fixture;
    fixture.becomeReady(twoWorkers);
    for (int i = 0; i < 10; ++i)
        serveBooking(fixture, milliseconds(70));
    for (const char *name : {"b-1", "b-2"})
        fixture.loads[name] = reportWithSlowdown(100, 3);
    for (int i = 0; i < 20; ++i)
        serveBooking(fixture, milliseconds(115));
    fixture.call("POST", "/book/1");
    fixture.advance(milliseconds(20));
    BOOST_TEST(fixture.take<start_attempt>().empty());
    fixture.loads["b-2"] = reportWithSlowdown(100, 2);
    fixture.advance(milliseconds(30));
    BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "b-2");

    // A nearly saturated worker is selected as long as it can still meet the objective.
    fixture.loads["b-2"] = reportWithSlowdown(100, 3);
    fixture.advance(milliseconds(100));
    fixture.call("POST", "/book/1");
    fixture.advance(milliseconds(100));
    BOOST_TEST(fixture.take<start_attempt>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
