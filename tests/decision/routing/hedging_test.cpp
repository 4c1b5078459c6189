#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random_source.h"
#include "decision/routing/requests/hedge_policy.h"
#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

routing_settings settingsWithHedges(double share, double quantile)
{
    routing_settings settings = localGatewaySettings();
    settings.hedges.share = share;
    settings.hedges.quantile = quantile;
    return settings;
}

std::vector<published_worker> readWorkers(unsigned count)
{
    std::vector<published_worker> out;
    for (unsigned i = 0; i < count; ++i)
        out.push_back(workerEntry("r-" + std::to_string(i), "reads"));
    return out;
}

/// A gateway with six workers of service "reads" and one of "books". The objective is 200 ms.
struct hedging_fixture : routing_fixture
{
    explicit hedging_fixture(double share = 1, double quantile = 0)
        : hedging_fixture(settingsWithHedges(share, quantile))
    { }
    explicit hedging_fixture(const routing_settings &settings) : routing_fixture(settings)
    {
        std::vector<published_worker> workers = readWorkers(6);
        for (const published_worker &worker : workers)
            loads[worker.name] = {0, 0, 200};
        workers.push_back(workerEntry("b-1", "books"));
        workers.push_back(workerEntry("b-2", "books"));
        becomeReady(workers);
        // The gateway now knows that it is alone, and that all of the retry budget is its own.
        advance(seconds(4));
    }

    std::uint64_t counted(std::string_view name) const { return gateway->counters().value(name); }

    /// Sends a request that its worker does not answer. \return its attempt.
    start_attempt stalledRead()
    {
        call("GET", "/read/1");
        return takeOne<start_attempt>();
    }

    /// Sends requests one after the other that are answered after 40 ms.
    void learnLatency(unsigned count = 80)
    {
        for (unsigned i = 0; i < count; ++i) {
            const start_attempt attempt = stalledRead();
            advance(milliseconds(40));
            answer(attempt);
        }
        actions.clear();
    }
};

/// Latencies of requests and what they cost.
struct trial_result
{
    std::vector<duration> latencies;
    std::uint64_t hedges = 0;

    duration quantile(double fraction)
    {
        std::sort(latencies.begin(), latencies.end());
        const double last = static_cast<double>(latencies.size() - 1);
        return latencies.at(static_cast<std::size_t>(fraction * last));
    }
};

/// Sends a request every 10 ms of simulated time to workers that need about 40 ms, but ten times as
/// long for one attempt in forty.
trial_result runTrial(double share, double quantile)
{
    constexpr unsigned requestCount = 4000;
    hedging_fixture fixture(share, quantile);
    random_source random(7);
    std::vector<std::pair<instant, start_attempt>> running;
    std::map<call_id, instant> arrivals;
    trial_result out;
    while (out.latencies.size() < requestCount) {
        if (toMilliseconds(fixture.now.sinceOrigin()) % 10 == 0)
            arrivals[fixture.call("GET", "/read/1")] = fixture.now;
        for (const start_attempt &attempt : fixture.take<start_attempt>()) {
            const duration work = milliseconds(random.below(40) == 0 ? 400 : 35 + random.below(10));
            running.emplace_back(fixture.now + work, attempt);
        }
        for (const cancel_attempt &cancelled : fixture.take<cancel_attempt>()) {
            const auto found
                = std::find_if(running.begin(), running.end(),
                               [&cancelled](const std::pair<instant, start_attempt> &row) {
                                   return row.second.attempt == cancelled.attempt;
                               });
            const start_attempt attempt = found->second;
            running.erase(found);
            fixture.endAttempt(attempt, attempt_end::cancelled);
        }
        const auto due = std::partition(running.begin(), running.end(),
                                        [&fixture](const std::pair<instant, start_attempt> &row) {
                                            return row.first > fixture.now;
                                        });
        const std::vector<std::pair<instant, start_attempt>> ended(due, running.end());
        running.erase(due, running.end());
        for (const std::pair<instant, start_attempt> &row : ended)
            fixture.answer(row.second);
        for (const send_response &sent : fixture.take<send_response>())
            out.latencies.push_back(fixture.now - arrivals.at(sent.call));
        fixture.advance(milliseconds(1));
    }
    out.hedges = fixture.counted("hedges_total");
    BOOST_TEST_MESSAGE("share " << share << " quantile " << quantile << ": p50 "
                                << out.quantile(0.5).count() << " us, p99 "
                                << out.quantile(0.99).count() << " us, p99.9 "
                                << out.quantile(0.999).count() << " us, hedges " << out.hedges);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(hedging_suite)

// Guards against a hedge at a worker that is still warming up, which answers slowly and has few
// requests to spare.
BOOST_AUTO_TEST_CASE(warmingWorkerGetsNoHedge)
{
    published_worker warming = workerEntry("r-2", "reads");
    warming.warmUpLeft = seconds(5);
    unsigned candidates = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        routing_fixture fixture(localGatewaySettings(seed));
        fixture.becomeReady({workerEntry("r-1", "reads"), warming});
        fixture.call("GET", "/read/1");
        if (fixture.takeOne<start_attempt>().workerName != "r-1")
            continue;
        ++candidates;
        fixture.advance(milliseconds(500));
        BOOST_TEST(fixture.take<start_attempt>().empty());
    }
    BOOST_TEST(candidates > 0U);
}

// Guards against a failed copy that takes a token from the retry budget although its request is not
// retried, since the other copy is still running.
BOOST_FIXTURE_TEST_CASE(failedCopyTakesNoRetry, hedging_fixture)
{
    const start_attempt first = stalledRead();
    advance(milliseconds(199));
    const start_attempt hedge = takeOne<start_attempt>();
    rejectBeforeRun(hedge);
    BOOST_TEST(counted("retries_total") == 0U);
    answer(first);
    BOOST_TEST(takeOne<send_response>().response->status == 200);
}

// Guards against a server failure that wins over a copy that is still running.
BOOST_FIXTURE_TEST_CASE(failureDoesNotWinOverARunningCopy, hedging_fixture)
{
    const start_attempt first = stalledRead();
    advance(milliseconds(199));
    const start_attempt hedge = takeOne<start_attempt>();
    answer(hedge, 500);
    BOOST_TEST(take<send_response>().empty());
    answer(first);
    BOOST_TEST(takeOne<send_response>().response->body == first.workerName);
    BOOST_TEST(counted("hedges_lost_total") == 1U);
}

// Guards against hedges that take room from requests that wait, outlast the drain, crash another
// worker, or come before the share has been earned.
BOOST_AUTO_TEST_CASE(conditionsForbidHedges)
{
    const hedge_settings settings {0.5, 0};
    counter_set counters;
    hedge_policy policy(settings, counters);
    retry_budget budget;
    budget.requestArrived(0, 100);
    const route_config config = shopRoutes(1);
    routed_request record;
    record.route = &config.routes.front();
    record.service = "reads";
    const instant now(seconds(10));
    record.objectiveAt = now + milliseconds(100);
    hedge_conditions usual;
    usual.serviceTime = milliseconds(40);
    usual.retryTokensMax = 100;
    policy.requestArrived(record);
    BOOST_TEST((policy.refusal(now, record, usual, budget) == hedge_refusal::share_used));
    policy.requestArrived(record);
    BOOST_TEST((policy.refusal(now, record, usual, budget) == hedge_refusal::none));
    hedge_conditions changed = usual;
    changed.isShortOfRoom = true;
    BOOST_TEST((policy.refusal(now, record, changed, budget) == hedge_refusal::no_room));
    changed = usual;
    changed.isQuarantined = true;
    BOOST_TEST((policy.refusal(now, record, changed, budget) == hedge_refusal::quarantined));
    changed = usual;
    changed.drainEnd = now + milliseconds(39);
    BOOST_TEST((policy.refusal(now, record, changed, budget) == hedge_refusal::leaving));
    BOOST_TEST((policy.refusal(now, record, usual, retry_budget()) == hedge_refusal::retry_budget));
    BOOST_TEST(policy.take(record, budget));
    BOOST_TEST(!policy.take(record, budget));
}

BOOST_AUTO_TEST_CASE(shareOfZeroSwitchesHedgesOff)
{
    hedging_fixture fixture(0, 0.95);
    fixture.learnLatency();
    fixture.stalledRead();
    fixture.advance(milliseconds(590));
    BOOST_TEST(fixture.take<start_attempt>().empty());
}

// Guards against more hedges than the operator allows while all workers stall at once.
BOOST_AUTO_TEST_CASE(shareHoldsInABurst)
{
    constexpr unsigned requestCount = 400;
    hedging_fixture fixture(0.05, 0.9);
    for (unsigned i = 0; i < requestCount; ++i) {
        fixture.call("GET", "/read/" + std::to_string(i));
        fixture.advance(milliseconds(i < 100 ? 20 : 1));
        for (const start_attempt &attempt : fixture.take<start_attempt>()) {
            if (i < 100)
                fixture.answer(attempt);
        }
    }
    fixture.advance(seconds(1));
    BOOST_TEST(fixture.counted("hedges_total") > 0U);
    BOOST_TEST(fixture.counted("hedges_total") <= requestCount / 20);
}

// Guards against a late copy for a worker that hangs, of which the usual latency tells long before
// the objective does.
BOOST_AUTO_TEST_CASE(stalledAnswerIsHedgedAfterTheUsualLatency)
{
    hedging_fixture fixture(0.1, 0.95);
    fixture.learnLatency();
    const start_attempt first = fixture.stalledRead();
    fixture.advance(milliseconds(39));
    BOOST_TEST(fixture.take<start_attempt>().empty());
    fixture.advance(milliseconds(21));
    const start_attempt hedge = fixture.takeOne<start_attempt>();
    fixture.answer(hedge);
    BOOST_TEST(fixture.takeOne<send_response>().response->body == hedge.workerName);
    BOOST_TEST((fixture.takeOne<cancel_attempt>().attempt == first.attempt));
    BOOST_TEST(fixture.counted("hedges_won_total") == 1U);
    BOOST_TEST(fixture.counted("hedge_cancelled_work_ms_total") == 60U);
}

// Guards against a copy that goes on after the first attempt was answered.
BOOST_AUTO_TEST_CASE(hedgeThatLosesIsCancelled)
{
    hedging_fixture fixture(0.1, 0.95);
    fixture.learnLatency();
    const start_attempt first = fixture.stalledRead();
    fixture.advance(milliseconds(60));
    const start_attempt hedge = fixture.takeOne<start_attempt>();
    fixture.answer(first);
    BOOST_TEST((fixture.takeOne<cancel_attempt>().attempt == hedge.attempt));
    BOOST_TEST(fixture.counted("hedges_lost_total") == 1U);
    BOOST_TEST(fixture.counted("hedges_won_total") == 0U);
}

// Guards against a second copy of a request that must not run twice.
BOOST_AUTO_TEST_CASE(bookingIsNeverHedged)
{
    hedging_fixture fixture(1, 0.5);
    for (unsigned i = 0; i < 80; ++i) {
        fixture.call("POST", "/book/1");
        const start_attempt attempt = fixture.takeOne<start_attempt>();
        fixture.advance(milliseconds(10));
        fixture.answer(attempt);
    }
    fixture.call("POST", "/book/2");
    BOOST_TEST(fixture.take<start_attempt>().size() == 1U);
    fixture.advance(milliseconds(590));
    BOOST_TEST(fixture.take<start_attempt>().empty());
}

// Guards against hedges beside the budget that they share with retries, and against hedges that
// leave nothing of it for retries.
BOOST_AUTO_TEST_CASE(hedgesAndRetriesShareABudget)
{
    constexpr unsigned requestCount = 200;
    routing_settings settings = settingsWithHedges(1, 0);
    settings.budgets.retryFraction = 0;
    settings.budgets.retryBurst = 50;
    hedging_fixture fixture(settings);
    for (unsigned i = 0; i < requestCount; ++i) {
        fixture.call("GET", "/read/1");
        fixture.advance(milliseconds(5));
    }
    fixture.advance(seconds(1));
    const std::uint64_t hedges = fixture.counted("hedges_total");
    BOOST_TEST(hedges > 0U);
    // The bucket of 40 tokens begins half full; a fifth of it is left to retries.
    BOOST_TEST(hedges <= 12U);
    BOOST_TEST(fixture.counted("hedges_not_sent_total{reason=\"retry-budget\"}") > 0U);
}

// Guards against hedges that take the room of requests that wait for a worker.
BOOST_AUTO_TEST_CASE(noHedgeWhileWorkersAreFull)
{
    hedging_fixture fixture(1, 0.95);
    fixture.learnLatency();
    for (unsigned i = 0; i < 6; ++i)
        fixture.loads["r-" + std::to_string(i)] = {3, 0, 4};
    fixture.call("GET", "/read/1");
    BOOST_TEST(fixture.take<start_attempt>().size() <= 1U);
    fixture.advance(milliseconds(590));
    BOOST_TEST(fixture.counted("hedges_total") == 0U);
}

// Guards against cross-domain traffic for a copy of a request that may still be answered in time.
BOOST_AUTO_TEST_CASE(earlyHedgeStaysInTheFailureDomain)
{
    routing_fixture fixture(settingsWithHedges(1, 0.95));
    fixture.becomeReady({workerEntry("r-1", "reads"), workerEntry("far-1", "reads", "far")});
    fixture.advance(seconds(4));
    for (unsigned i = 0; i < 80; ++i) {
        fixture.call("GET", "/read/1");
        const start_attempt attempt = fixture.takeOne<start_attempt>();
        fixture.advance(milliseconds(20));
        fixture.answer(attempt);
    }
    fixture.call("GET", "/read/1");
    BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "r-1");
    fixture.advance(milliseconds(100));
    BOOST_TEST(fixture.take<start_attempt>().empty());
    fixture.advance(milliseconds(99));
    BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "far-1");
}

// The load that hedging answers: one attempt in forty takes ten times as long as the others.
BOOST_AUTO_TEST_CASE(slowestAnswersAreCutWithinTheShare)
{
    trial_result off = runTrial(0, 0);
    trial_result byObjective = runTrial(1, 0);
    trial_result byQuantile = runTrial(0.05, 0.95);
    BOOST_TEST(off.hedges == 0U);
    BOOST_TEST(toMilliseconds(off.quantile(0.99)) >= 400);
    BOOST_TEST(toMilliseconds(byObjective.quantile(0.99)) <= 200);
    BOOST_TEST(toMilliseconds(byQuantile.quantile(0.99)) <= 130);
    BOOST_TEST(byQuantile.hedges <= 4000U / 20);
}

BOOST_AUTO_TEST_SUITE_END()
