#include <stdexcept>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/routing_fixture.h"

namespace almondnotch {

namespace {

/// Number of requests that a case sends to find out whether a worker is used.
constexpr unsigned requestCount = 20;

bool isTo(const start_attempt &attempt, const std::string &worker)
{
    return attempt.workerName == worker;
}

/// A gateway with workers `w-1` and `w-2` of service "reads".
struct signals_fixture : routing_fixture
{
    /// \param objective latency objective of all routes.
    explicit signals_fixture(duration objective = milliseconds(200))
    {
        route_config config = shopRoutes(1);
        for (host_route &route : config.routes) {
            route.latencyObjective = objective;
            route.timeout = objective * 3;
        }
        becomeReady({workerEntry("w-1", "reads"), workerEntry("w-2", "reads")}, config);
    }

    /// Lets the load reports of the other worker say that it is full, so that `worker` is
    /// preferred if it is usable.
    void prefer(const std::string &worker)
    {
        loads.clear();
        loads[worker == "w-1" ? "w-2" : "w-1"] = load_report {4, 0, 4};
        advance(milliseconds(50));
    }

    /// Sends requests and answers their attempts. \return how many attempts `worker` got, although
    /// the other one is full.
    std::size_t countAttemptsAt(const std::string &worker)
    {
        prefer(worker);
        std::size_t count = 0;
        for (unsigned i = 0; i < requestCount; ++i) {
            call("GET", "/read/x");
            for (const start_attempt &attempt : take<start_attempt>()) {
                count += isTo(attempt, worker) ? 1 : 0;
                answer(attempt);
            }
            advance(milliseconds(5));
        }
        take<send_response>();
        return count;
    }

    /// Sends a request that is attempted at `worker`.
    start_attempt attemptAt(const std::string &worker)
    {
        prefer(worker);
        call("GET", "/read/x");
        const start_attempt attempt = takeOne<start_attempt>();
        if (!isTo(attempt, worker))
            throw std::runtime_error("the request was sent to " + attempt.workerName);
        return attempt;
    }

    /// Lets the worker say in one response that it leaves.
    void announceLeave(const std::string &worker)
    {
        const start_attempt attempt = attemptAt(worker);
        leavingWorkers.insert(worker);
        answer(attempt);
    }

    /// Publishes an entry through the watch of the workers that is in flight.
    void publish(const published_item &item)
    {
        advance(seconds(3));
        item_page page;
        page.revision = ++m_revision;
        page.items = {withRevision(item, page.revision)};
        answerRead(item_scope::workers, page);
    }

private:
    std::uint64_t m_revision = 10;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_signals_suite, signals_fixture)

// Guards against requests at a worker whose responses say that it leaves, while the store still
// names it as ready.
BOOST_AUTO_TEST_CASE(workerThatSaysItLeavesGetsNoFirstAttempts)
{
    announceLeave("w-1");
    BOOST_TEST(countAttemptsAt("w-1") == 0U);
}

// Guards against a later entry of the store, written before the worker decided to leave, that makes
// the worker usable again.
BOOST_AUTO_TEST_CASE(entryThatIsStillReadyDoesNotUndoTheLeave)
{
    announceLeave("w-1");
    publish(workerItem(workerEntry("w-1", "reads")));
    BOOST_TEST(countAttemptsAt("w-1") == 0U);
}

// Guards against a worker that stays unused after a restart under its former name.
BOOST_AUTO_TEST_CASE(nextRunUnderTheSameNameIsUsed)
{
    announceLeave("w-1");
    leavingWorkers.clear();
    published_worker restarted = workerEntry("w-1", "reads");
    restarted.startedUnixMs = 2;
    publish(workerItem(restarted));
    BOOST_TEST(countAttemptsAt("w-1") > 0U);
}

// Guards against a worker that stays unused although its entry says that it no longer leaves.
BOOST_AUTO_TEST_CASE(withdrawnDrainEndsTheLeave)
{
    announceLeave("w-1");
    published_worker entry = workerEntry("w-1", "reads");
    entry.leaving = true;
    publish(workerItem(entry));
    leavingWorkers.clear();
    entry.leaving = false;
    publish(workerItem(entry));
    BOOST_TEST(countAttemptsAt("w-1") > 0U);
}

// Guards against a retry at a worker that said that it leaves while the first attempt ran
// elsewhere.
BOOST_AUTO_TEST_CASE(leavingWorkerGetsNoRetry)
{
    const start_attempt leavingAttempt = attemptAt("w-1");
    const start_attempt failing = attemptAt("w-2");
    leavingWorkers.insert("w-1");
    answer(leavingAttempt);
    endAttempt(failing, attempt_end::broken);
    advance(milliseconds(100));
    BOOST_TEST(take<start_attempt>().empty());
}

// Guards against a hedge at a worker that leaves.
BOOST_AUTO_TEST_CASE(leavingWorkerGetsNoHedge)
{
    announceLeave("w-1");
    attemptAt("w-2");
    advance(milliseconds(500));
    BOOST_TEST(take<start_attempt>().empty());
}

// Guards against missing the signal in the response to a probe.
BOOST_AUTO_TEST_CASE(leaveIsLearnedFromProbes)
{
    leavingWorkers.insert("w-1");
    BOOST_TEST(countAttemptsAt("w-1") == 0U);
}

// Guards against a request that waits for the probe of a worker and is sent to it although the
// worker began to drain in the meantime.
BOOST_AUTO_TEST_CASE(requestThatWaitsForAProbeIsNotSentToADrainingWorker)
{
    advance(seconds(3));
    answersProbes = false;
    call("GET", "/read/x");
    BOOST_REQUIRE(!probes.empty());
    const start_probe probe = probes.back();
    item_page page;
    page.revision = 11;
    page.items = {drainingWorkerItem(probe.workerName, 11)};
    answerRead(item_scope::workers, page);
    answersProbes = true;
    answerProbe(probe, load_report {0, 0, 4});
    advance(milliseconds(50));
    for (const start_attempt &attempt : take<start_attempt>())
        BOOST_TEST(attempt.workerName != probe.workerName);
}

// Guards against an attempt that waits in the transport and is sent after the worker has begun to
// leave.
BOOST_AUTO_TEST_CASE(unsentAttemptsAreWithdrawnFromALeavingWorker)
{
    const start_attempt first = attemptAt("w-1");
    const start_attempt second = attemptAt("w-1");
    leavingWorkers.insert("w-1");
    answer(first);
    BOOST_TEST((takeOne<withdraw_attempt>().attempt == second.attempt));
    attempt_finished withdrawn;
    withdrawn.attempt = second.attempt;
    withdrawn.end = attempt_end::not_sent;
    withdrawn.wasWithdrawn = true;
    loads.clear();
    handle(withdrawn);
    advance(milliseconds(100));
    BOOST_TEST(takeOne<start_attempt>().workerName == "w-2");
}

// Guards against an attempt that waits in the transport and is sent after the store has published
// the worker's drain.
BOOST_AUTO_TEST_CASE(unsentAttemptsAreWithdrawnAfterAPublishedDrain)
{
    advance(seconds(3));
    const start_attempt waiting = attemptAt("w-1");
    item_page page;
    page.revision = 11;
    page.items = {drainingWorkerItem("w-1", 11)};
    answerRead(item_scope::workers, page);
    BOOST_TEST((takeOne<withdraw_attempt>().attempt == waiting.attempt));
}

// Guards against requests at a worker during the pause that it asked for.
BOOST_AUTO_TEST_CASE(workerGetsNothingDuringItsPause)
{
    rejectBeforeRun(attemptAt("w-1"), seconds(2));
    take<start_attempt>();
    const instant rejectedAt = now;
    while (now + seconds(1) < rejectedAt + seconds(2))
        BOOST_TEST(countAttemptsAt("w-1") == 0U);
    advance(rejectedAt + seconds(2) - now);
    BOOST_TEST(countAttemptsAt("w-1") > 0U);
}

// Guards against a second, shorter pause that ends the first one early.
BOOST_AUTO_TEST_CASE(longestPauseApplies)
{
    const start_attempt first = attemptAt("w-1");
    const start_attempt second = attemptAt("w-1");
    rejectBeforeRun(first, seconds(3));
    rejectBeforeRun(second, milliseconds(200));
    take<start_attempt>();
    advance(seconds(1));
    BOOST_TEST(countAttemptsAt("w-1") == 0U);
}

// Guards against a list of the store that ends the pause of a worker, and against a pause that
// outlasts the run of the worker that asked for it.
BOOST_AUTO_TEST_CASE(pauseEndsWithTheRunOfTheWorkerOnly)
{
    rejectBeforeRun(attemptAt("w-1"), seconds(60));
    take<start_attempt>();
    publish(workerItem(workerEntry("w-1", "reads")));
    BOOST_TEST(countAttemptsAt("w-1") == 0U);
    published_worker restarted = workerEntry("w-1", "reads");
    restarted.startedUnixMs = 2;
    publish(workerItem(restarted));
    BOOST_TEST(countAttemptsAt("w-1") > 0U);
}

// Guards against a request that waits although all workers have asked for a longer pause than it
// can wait, and against a caller that is told to come back during the pause.
BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceIfAllWorkersPause)
{
    signals_fixture fixture(seconds(2));
    const start_attempt first = fixture.attemptAt("w-1");
    const start_attempt second = fixture.attemptAt("w-2");
    fixture.rejectBeforeRun(first, milliseconds(900));
    fixture.rejectBeforeRun(second, milliseconds(900));
    for (const start_attempt &retried : fixture.take<start_attempt>())
        fixture.answer(retried);
    fixture.take<send_response>();
    fixture.call("GET", "/read/x", seconds(6));
    const send_response refused = fixture.takeOne<send_response>();
    BOOST_TEST(refused.response->status == 503);
    const double retryAfter = std::stod(headerOf(refused.response, "Retry-After"));
    BOOST_TEST(retryAfter >= 0.8);
    BOOST_TEST(retryAfter <= 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
