#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/routing/items/item_relay.h"
#include "tests/decision/routing/reader_fixture.h"
#include "tests/decision/routing/routing_fixture.h"

namespace almondnotch {

namespace {

published_item evacuationItem(const std::string &failureDomain, std::uint64_t revision)
{
    published_item item;
    item.name = "evacuation of " + failureDomain;
    item.revision = revision;
    item.evacuatedDomain = failureDomain;
    return item;
}

published_item evacuationEnd(const std::string &failureDomain, std::uint64_t revision)
{
    published_item item = evacuationItem(failureDomain, revision);
    item.removed = true;
    return item;
}

/// A gateway with two workers of service "reads" in failure domain "near" and one in "far".
struct evacuation_fixture : routing_fixture
{
    evacuation_fixture()
    {
        becomeReady({workerEntry("near-1", "reads"), workerEntry("near-2", "reads"),
                     workerEntry("far-1", "reads", "far")});
    }

    void beginEvacuation(const std::string &failureDomain = "near")
    {
        answerRead(item_scope::configuration, pageOf({evacuationItem(failureDomain, 11)}, 11));
    }

    /// Workers that get requests and their retries, each of which fails.
    std::set<std::string> workersOfRequests(unsigned count)
    {
        std::set<std::string> out;
        for (unsigned i = 0; i < count; ++i) {
            call("GET", "/read/x");
            for (const start_attempt &first : take<start_attempt>()) {
                out.insert(first.workerName);
                rejectBeforeRun(first);
            }
            for (const start_attempt &retry : take<start_attempt>()) {
                out.insert(retry.workerName);
                answer(retry);
            }
            advance(milliseconds(700));
            for (const start_attempt &late : take<start_attempt>()) {
                out.insert(late.workerName);
                answer(late);
            }
        }
        return out;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_suite)

// Guards against first attempts and retries at workers of an evacuated failure domain.
BOOST_AUTO_TEST_CASE(evacuatedDomainGetsNoFirstAttemptsAndNoRetries)
{
    evacuation_fixture fixture;
    fixture.beginEvacuation();
    BOOST_TEST((fixture.workersOfRequests(10) == std::set<std::string> {"far-1"}));
    BOOST_TEST(fixture.probes.size() > 0U);
    BOOST_TEST(fixture.gateway->counters().value("evacuations_begun_total") == 1);
}

// Guards against a request that is never refused, or sent all the same, if its whole service is
// evacuated.
BOOST_AUTO_TEST_CASE(evacuationOfAllWorkersRefusesRequests)
{
    evacuation_fixture fixture;
    fixture.answerRead(item_scope::configuration,
                       pageOf({evacuationItem("near", 11), evacuationItem("far", 12)}, 12));
    BOOST_TEST(fixture.workersOfRequests(3).empty());
    for (const send_response &refused : fixture.take<send_response>())
        BOOST_TEST(refused.response->status == 503);
}

// Guards against attempts that wait for a connection and are sent after the evacuation began.
BOOST_AUTO_TEST_CASE(unsentAttemptsAreWithdrawn)
{
    evacuation_fixture fixture;
    std::set<attempt_id> atNearWorkers;
    for (int i = 0; i < 6; ++i) {
        fixture.call("GET", "/read/x");
        for (const start_attempt &attempt : fixture.take<start_attempt>()) {
            if (attempt.workerName != "far-1")
                atNearWorkers.insert(attempt.attempt);
        }
    }
    BOOST_REQUIRE(!atNearWorkers.empty());
    fixture.beginEvacuation();
    std::set<attempt_id> withdrawn;
    for (const withdraw_attempt &one : fixture.take<withdraw_attempt>())
        withdrawn.insert(one.attempt);
    BOOST_TEST((withdrawn == atNearWorkers));
}

// Guards against hedges at workers of an evacuated failure domain.
BOOST_AUTO_TEST_CASE(evacuatedDomainGetsNoHedges)
{
    evacuation_fixture fixture;
    fixture.call("GET", "/read/x");
    BOOST_REQUIRE_EQUAL(fixture.take<start_attempt>().size(), 1U);
    fixture.beginEvacuation();
    fixture.advance(milliseconds(550));
    for (const start_attempt &hedge : fixture.take<start_attempt>())
        BOOST_TEST(hedge.workerName == "far-1");
}

// Guards against a request that was still selecting its worker when the evacuation began, and is
// sent to the worker whose probe is answered afterwards.
BOOST_AUTO_TEST_CASE(selectionInProgressObeysTheEvacuation)
{
    evacuation_fixture fixture;
    fixture.advance(seconds(2));
    fixture.answersProbes = false;
    fixture.probes.clear();
    fixture.call("GET", "/read/x");
    BOOST_REQUIRE(!fixture.probes.empty());
    BOOST_REQUIRE(fixture.take<start_attempt>().empty());
    fixture.beginEvacuation();
    for (const start_probe &probe : std::vector<start_probe>(fixture.probes))
        fixture.answerProbe(probe, load_report {0, 0, 4});
    fixture.answersProbes = true;
    fixture.advance(milliseconds(500));
    for (const start_attempt &attempt : fixture.take<start_attempt>())
        BOOST_TEST(attempt.workerName == "far-1");
}

// Guards against a removed worker that serves as the last resort in an evacuated failure domain.
BOOST_AUTO_TEST_CASE(lastResortObeysTheEvacuation)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    fixture.answerRead(item_scope::configuration, pageOf({evacuationItem("near", 11)}, 11));
    fixture.answerRead(item_scope::workers, pageOf({removedItem("b-1")}, 12));
    fixture.call("POST", "/book/1");
    fixture.advance(milliseconds(700));
    BOOST_TEST(fixture.take<start_attempt>().empty());
}

// Guards against a gateway that starts during an evacuation and serves before it knows of it, and
// against one that takes a list with nothing but an evacuation for a configuration.
BOOST_AUTO_TEST_CASE(startingGatewayObeysTheEvacuation)
{
    routing_fixture fixture;
    fixture.answerRead(item_scope::workers,
                       pageOf({workerItem(workerEntry("near-1", "reads")),
                               workerItem(workerEntry("far-1", "reads", "far"))},
                              10));
    fixture.answerRead(item_scope::configuration, pageOf({evacuationItem("near", 9)}, 10));
    BOOST_TEST(!fixture.gateway->isReady(fixture.now));
    // Whatever makes the gateway ready is awaited without a delay.
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::configuration) != nullptr);
    fixture.answerRead(item_scope::configuration, pageOf({configItem(shopRoutes(1))}, 11));
    BOOST_TEST(fixture.gateway->isReady(fixture.now));
    for (int i = 0; i < 3; ++i) {
        fixture.call("GET", "/read/x");
        BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "far-1");
    }
}

// Guards against an evacuation that ends with an outage of the store, or with a worker's new entry.
BOOST_AUTO_TEST_CASE(evacuationOutlastsAnOutageOfTheStore)
{
    evacuation_fixture fixture;
    fixture.beginEvacuation();
    for (int i = 0; i < 20; ++i) {
        for (const item_scope scope : {item_scope::configuration, item_scope::workers}) {
            if (fixture.inFlightRead(scope) != nullptr)
                fixture.answerRead(scope, fail(error_code::unavailable, "read store", "", "down"));
        }
        fixture.advance(seconds(1));
    }
    BOOST_TEST((fixture.workersOfRequests(3) == std::set<std::string> {"far-1"}));
    published_worker restarted = workerEntry("near-1", "reads");
    restarted.startedUnixMs = 2;
    fixture.handle(peer_message_received {
        {"vm-2", 1},
        items_update {item_scope::workers, 10, 12, {withRevision(workerItem(restarted), 12)}}});
    BOOST_TEST((fixture.workersOfRequests(3) == std::set<std::string> {"far-1"}));
}

// Guards against a domain that stays evacuated: its item was removed, a complete list lacks it, or
// another gateway relays either.
BOOST_AUTO_TEST_CASE(evacuationEndsWithItsItem)
{
    const auto isNearUsed = [](evacuation_fixture &fixture) {
        fixture.advance(seconds(1));
        return fixture.workersOfRequests(10).size() > 1;
    };
    evacuation_fixture removed;
    removed.beginEvacuation();
    removed.answerRead(item_scope::configuration, pageOf({evacuationEnd("near", 12)}, 12));
    BOOST_TEST(isNearUsed(removed));

    evacuation_fixture missing;
    missing.beginEvacuation();
    item_page compacted;
    compacted.historyLost = true;
    missing.answerRead(item_scope::configuration, compacted);
    missing.answerRead(item_scope::configuration, pageOf({configItem(shopRoutes(1))}, 13));
    BOOST_TEST(isNearUsed(missing));

    evacuation_fixture told;
    told.beginEvacuation();
    const item_batch list {true, {configItem(shopRoutes(1))}, 11, 13};
    for (const items_update &update :
         makeUpdates(item_scope::configuration, list, {evacuationItem("near", 11).name}))
        told.handle(peer_message_received {{"vm-2", 1}, update});
    BOOST_TEST(isNearUsed(told));
}

// Guards against evacuations, and ends of them that only a list shows, that a reader keeps to
// itself.
BOOST_AUTO_TEST_CASE(readersRelayEvacuations)
{
    constexpr std::uint32_t readerCapacity = 100;
    reader_fixture fixture(readerCapacity);
    const auto relayed = [&fixture] {
        std::vector<published_item> out;
        for (const send_peer_message &sent : fixture.take<send_peer_message>()) {
            const items_update *update = std::get_if<items_update>(&sent.message);
            if (update != nullptr)
                out.insert(out.end(), update->items.begin(), update->items.end());
        }
        return out;
    };
    relayed();
    fixture.answerRead(item_scope::configuration, pageOf({evacuationItem("near", 11)}, 11));
    const std::vector<published_item> begun = relayed();
    BOOST_REQUIRE(!begun.empty());
    BOOST_TEST(begun.front().evacuatedDomain == "near");
    BOOST_TEST(!begun.front().removed);
    item_page compacted;
    compacted.historyLost = true;
    fixture.answerRead(item_scope::configuration, compacted);
    fixture.answerRead(item_scope::configuration, pageOf({configItem(shopRoutes(1))}, 13));
    const std::vector<published_item> ended = relayed();
    BOOST_TEST(std::any_of(ended.begin(), ended.end(), [](const published_item &item) {
        return item.removed && item.name == evacuationItem("near", 11).name;
    }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
