#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

result<item_page> failedWatch()
{
    return fail(error_code::unavailable, "read store", "", "the connection was lost");
}

} // namespace

BOOST_AUTO_TEST_SUITE(published_items_suite)

// Guards against requests to a worker that is draining or whose entry was removed from the store.
BOOST_AUTO_TEST_CASE(drainingAndRemovedWorkersGetNoRequests)
{
    routing_fixture fixture;
    fixture.becomeReady(
        {workerEntry("b-1", "books"), workerEntry("b-2", "books"), workerEntry("b-3", "books")});
    published_worker leaving = workerEntry("b-1", "books");
    leaving.leaving = true;
    fixture.answerRead(item_scope::workers, pageOf({workerItem(leaving), removedItem("b-2")}, 11));
    for (int i = 0; i < 20; ++i) {
        fixture.advance(milliseconds(50));
        fixture.call("POST", "/book/1");
        const start_attempt attempt = fixture.takeOne<start_attempt>();
        BOOST_TEST(attempt.workerName == "b-3");
        fixture.answer(attempt);
    }
}

// Guards against a log from which it cannot be seen when and from where a gateway learned of the
// drain or removal of a worker.
BOOST_AUTO_TEST_CASE(drainsAndRemovalsAreLogged)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books"), workerEntry("b-2", "books")});
    fixture.take<write_log>();
    published_worker leaving = workerEntry("b-1", "books");
    leaving.leaving = true;
    fixture.answerRead(item_scope::workers, pageOf({workerItem(leaving), removedItem("b-2")}, 11));
    const std::vector<write_log> records = fixture.take<write_log>();
    BOOST_REQUIRE_EQUAL(records.size(), 2U);
    BOOST_TEST(
        (records[0].fields
         == std::vector<header_field> {
             {"worker", "b-1"}, {"change", "draining"}, {"source", "watch"}, {"revision", "11"}}));
    BOOST_TEST(records[1].fields[1].value == "removed");
}

// Guards against a service without usable workers while the workers renew their expired entries.
BOOST_AUTO_TEST_CASE(recentlyRemovedWorkersServeAsLastResort)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    fixture.answerRead(item_scope::workers, pageOf({removedItem("b-1")}, 11));
    fixture.advance(milliseconds(500));
    fixture.call("POST", "/book/1");
    fixture.answer(fixture.takeOne<start_attempt>());
    fixture.take<send_response>();
    // After the grace period, the removed worker is no longer used.
    fixture.advance(milliseconds(1500));
    fixture.call("POST", "/book/2");
    fixture.advance(milliseconds(700));
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST(fixture.takeOne<send_response>().response->status == 503);
}

// Guards against a watch that resumes after a broken connection and misses changes that the store
// has compacted meanwhile.
BOOST_AUTO_TEST_CASE(brokenWatchIsFollowedByAList)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::configuration)->afterRevision == 10U);
    fixture.answerRead(item_scope::configuration, failedWatch());
    fixture.advance(seconds(1));
    const read_items *nextRead = fixture.inFlightRead(item_scope::configuration);
    BOOST_REQUIRE(nextRead != nullptr);
    BOOST_TEST(nextRead->afterRevision == 0U);
}

// Guards against a gateway that keeps an outdated configuration because the store has compacted the
// changes that its watch requested.
BOOST_AUTO_TEST_CASE(compactedHistoryIsFollowedByAList)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    item_page compactedPage;
    compactedPage.historyLost = true;
    fixture.answerRead(item_scope::configuration, compactedPage);
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::configuration) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration)->afterRevision == 0U);
    fixture.answerRead(item_scope::configuration, pageOf({configItem(shopRoutes(7))}, 12));
    BOOST_TEST(fixture.gateway->dump(fixture.now)["config_version"] == 7);
}

// Guards against the cost of a consistent list of all workers at each start. Also guards against a
// second stale list after the first one: the store may have compacted the changes after a stale
// list, so that each watch fails and leads to the next list.
BOOST_AUTO_TEST_CASE(onlyTheFirstListOfWorkersMayBeStale)
{
    routing_fixture fixture;
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->allowStale);
    BOOST_TEST(!fixture.inFlightRead(item_scope::configuration)->allowStale);
    fixture.becomeReady({workerEntry("b-1", "books")});
    item_page compactedPage;
    compactedPage.historyLost = true;
    fixture.answerRead(item_scope::workers, compactedPage);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 0U);
    BOOST_TEST(!fixture.inFlightRead(item_scope::workers)->allowStale);
}

// Guards against treating the first page of a list as the complete list: the workers on later pages
// would be removed.
BOOST_AUTO_TEST_CASE(aListIsReadToItsLastPage)
{
    routing_fixture fixture;
    item_page config = pageOf({configItem(shopRoutes(1))}, 10);
    fixture.answerRead(item_scope::configuration, config);
    item_page first = pageOf({workerItem(workerEntry("b-1", "books"))}, 10);
    first.hasMore = true;
    first.lastKey = "servers/b-1";
    fixture.answerRead(item_scope::workers, first);
    BOOST_TEST(!fixture.gateway->isReady(fixture.now));
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterKey == "servers/b-1");
    // The second page has a newer revision. The watch starts at the revision of the first page;
    // otherwise changes to entries of the first page between the two revisions would be missed.
    fixture.answerRead(item_scope::workers, pageOf({workerItem(workerEntry("b-2", "books"))}, 15));
    BOOST_TEST(fixture.gateway->isReady(fixture.now));
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 10U);
    BOOST_TEST(fixture.gateway->dump(fixture.now)["workers"].size() == 2U);
}

// Guards against a worker that stays in use for good after it left: a stale list whose later page
// is older than its first one still names it, and a watch from the first page misses the removal.
BOOST_AUTO_TEST_CASE(aPageOlderThanTheFirstOneDoesNotHideARemoval)
{
    routing_fixture fixture;
    fixture.answerRead(item_scope::configuration, pageOf({configItem(shopRoutes(1))}, 20));
    item_page first = pageOf({workerItem(workerEntry("b-1", "books"))}, 20);
    first.hasMore = true;
    first.lastKey = "servers/b-1";
    fixture.answerRead(item_scope::workers, first);
    // This page is from before the removal of b-2 at revision 18.
    fixture.answerRead(item_scope::workers, pageOf({workerItem(workerEntry("b-2", "books"))}, 15));
    BOOST_TEST(fixture.gateway->isReady(fixture.now));
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 15U);
    fixture.answerRead(item_scope::workers, pageOf({withRevision(removedItem("b-2"), 18)}, 20));
    for (int i = 0; i < 10; ++i) {
        fixture.call("POST", "/book/1");
        const start_attempt attempt = fixture.takeOne<start_attempt>();
        BOOST_TEST(attempt.workerName == "b-1");
        fixture.answer(attempt);
    }
}

// Guards against a list that undoes changes because one of its later pages comes from a replica
// that lags behind.
BOOST_AUTO_TEST_CASE(aListWithAnOutdatedPageIsReadAgain)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books"), workerEntry("b-2", "books")});
    fixture.answerRead(item_scope::workers, pageOf({withRevision(removedItem("b-2"), 18)}, 20));
    fixture.simulatePause(seconds(3));
    fixture.handle(timer_expired {});
    item_page first = pageOf({workerItem(workerEntry("b-1", "books"))}, 20);
    first.hasMore = true;
    first.lastKey = "servers/b-1";
    fixture.answerRead(item_scope::workers, first);
    fixture.answerRead(item_scope::workers, pageOf({workerItem(workerEntry("b-2", "books"))}, 15));
    fixture.call("POST", "/book/1");
    BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "b-1");
    fixture.advance(seconds(2));
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 0U);
}

// Guards against replacing the configuration with an older version, which a store returns if its
// response is late or it was restored from a backup, and with an invalid one.
BOOST_AUTO_TEST_CASE(olderConfigurationIsNotApplied)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")}, shopRoutes(5));
    fixture.answerRead(item_scope::configuration, pageOf({configItem(shopRoutes(4))}, 11));
    BOOST_TEST(fixture.gateway->dump(fixture.now)["config_version"] == 5);
    published_item unreadable;
    unreadable.name = "configuration";
    unreadable.fault = "expected routes";
    fixture.advance(seconds(1));
    fixture.answerRead(item_scope::configuration, pageOf({unreadable}, 12));
    BOOST_TEST(fixture.gateway->dump(fixture.now)["config_version"] == 5);
}

// Guards against attributing the statistics of an earlier run to a worker that was restarted under
// the same name.
BOOST_AUTO_TEST_CASE(restartedWorkerStartsWithoutStatistics)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books"), workerEntry("b-2", "books")});
    fixture.loads["b-2"] = load_report {4, 8, 4};
    fixture.call("POST", "/book/1");
    const start_attempt attempt = fixture.takeOne<start_attempt>();
    BOOST_TEST(attempt.workerName == "b-1");
    published_worker restarted = workerEntry("b-1", "books");
    restarted.startedUnixMs = 2;
    fixture.answerRead(item_scope::workers, pageOf({workerItem(restarted)}, 11));
    fixture.endAttempt(attempt, attempt_end::broken);
    const nlohmann::json workers = fixture.gateway->dump(fixture.now)["workers"];
    BOOST_TEST(workers[0]["name"] == "b-1");
    BOOST_TEST(workers[0]["in_flight"] == 0);
    BOOST_TEST(workers[0]["failure_share"] == 0.0);
}

// Guards against relying on entries and a configuration that were read before a pause of the
// process.
BOOST_AUTO_TEST_CASE(storeIsListedAgainAfterAPause)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    fixture.simulatePause(seconds(3));
    fixture.handle(timer_expired {});
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 0U);
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration)->afterRevision == 0U);
}

// Guards against a route with weighted targets that deviates from the weights within a short
// sequence of requests.
BOOST_AUTO_TEST_CASE(splitRoutesKeepTheirWeights)
{
    route_config config = shopRoutes(1);
    config.routes[0].targets = {{"reads", 80}, {"books", 20}};
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("r-1", "reads"), workerEntry("b-1", "books")}, config);
    unsigned books = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.call("GET", "/read/1");
        const start_attempt attempt = fixture.takeOne<start_attempt>();
        books += attempt.workerName == "b-1" ? 1 : 0;
        fixture.answer(attempt);
    }
    BOOST_TEST(books >= 19U);
    BOOST_TEST(books <= 21U);
}

// Guards against a draining gateway that ends requests in progress without a response or rejects
// requests of callers that still know its address.
BOOST_AUTO_TEST_CASE(drainingGatewayCompletesAcceptedRequests)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    fixture.call("POST", "/book/1");
    const start_attempt attempt = fixture.takeOne<start_attempt>();
    fixture.handle(drain_requested {});
    BOOST_TEST(!fixture.gateway->isReady(fixture.now));
    BOOST_TEST(fixture.gateway->selectEntryAddresses(fixture.now, {"shop.example", "", "near"})
                   .addresses.empty());
    fixture.advance(milliseconds(400));
    fixture.answer(attempt);
    const send_response sent = fixture.takeOne<send_response>();
    BOOST_TEST(sent.response->status == 200);
    BOOST_TEST(sent.closeConnection);
    // Callers may send requests to this gateway until they request new addresses. These requests
    // must be served.
    fixture.call("POST", "/book/2");
    fixture.answer(fixture.takeOne<start_attempt>());
    BOOST_TEST(fixture.takeOne<send_response>().response->status == 200);
    BOOST_TEST(fixture.take<exit_process>().empty());
    fixture.advance(seconds(6));
    BOOST_TEST(fixture.take<exit_process>().size() == 1U);
}

// Guards against directing callers to a gateway that is leaving or does not answer.
BOOST_AUTO_TEST_CASE(entryAddressesNameServingGatewaysOfTheFailureDomain)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    const auto receiveDigest = [&fixture](const std::string &vm, const std::string &failureDomain,
                                          const std::string &entry, gateway_state state) {
        fleet_digest digest;
        digest.self.process = {vm, 1};
        digest.self.failureDomain = failureDomain;
        digest.self.entryAddress = entry;
        digest.self.peerAddress = entry;
        digest.self.state = state;
        digest.self.incarnation = state == gateway_state::alive ? 0 : 1;
        fixture.handle(peer_message_received {{vm, 1}, digest});
    };
    receiveDigest("vm-2", "near", "10.0.0.2:80", gateway_state::alive);
    receiveDigest("vm-3", "far", "10.0.0.3:80", gateway_state::alive);
    receiveDigest("vm-4", "near", "10.0.0.4:80", gateway_state::alive);
    const entry_lookup lookup {"shop.example", "", "near"};
    BOOST_TEST(fixture.gateway->selectEntryAddresses(fixture.now, lookup).addresses.size() == 3U);
    receiveDigest("vm-4", "near", "10.0.0.4:80", gateway_state::leaving);
    const std::vector<std::string> addressesAfterLeave
        = fixture.gateway->selectEntryAddresses(fixture.now, lookup).addresses;
    BOOST_TEST(addressesAfterLeave.size() == 2U);
    // vm-2 has been killed and sends no more digests.
    for (int i = 0; i < 10; ++i) {
        fixture.advance(milliseconds(500));
        receiveDigest("vm-3", "far", "10.0.0.3:80", gateway_state::alive);
    }
    const std::vector<std::string> addressesAfterKill
        = fixture.gateway->selectEntryAddresses(fixture.now, lookup).addresses;
    BOOST_TEST((addressesAfterKill == std::vector<std::string> {"10.0.0.1:80", "10.0.0.3:80"}));
}

BOOST_AUTO_TEST_SUITE_END()
