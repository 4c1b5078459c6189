#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

/// Maximum time until the gateways apply a change that was made in the store.
constexpr duration propagationTimeMax = seconds(2);

} // namespace

BOOST_AUTO_TEST_SUITE(reader_group_suite)

// Guards against reads of the store by every gateway of a large failure domain, although two
// readers relay the changes.
BOOST_AUTO_TEST_CASE(aGatewayOfALargeFailureDomainFollowsItsReaders)
{
    reader_fixture fixture;
    fixture.startFollowing();
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration) == nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers) == nullptr);
    for (unsigned second = 0; second < 10; ++second) {
        fixture.advance(seconds(1));
        fixture.receiveDigestsFromOthers();
        fixture.receiveReport(second % 2);
    }
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration) == nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers) == nullptr);
}

// Guards against requests to a draining worker from a gateway that does not read the store itself.
BOOST_AUTO_TEST_CASE(relayedChangesAreApplied)
{
    reader_fixture fixture;
    fixture.startFollowing();
    fixture.receiveUpdate(10, 12, {drainingWorkerItem("w-1", 12)});
    fixture.expectReadsAt("w-2", 20);
}

// Guards against changes that no gateway reads from the store after all readers of a failure domain
// were killed.
BOOST_AUTO_TEST_CASE(silentReadersAreReplacedWithinThePropagationTime)
{
    reader_fixture fixture;
    fixture.startFollowing();
    fixture.advance(propagationTimeMax - milliseconds(300));
    BOOST_REQUIRE(fixture.isWatching());
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 10U);
}

// Guards against following a reader that has lost its connection to the store.
BOOST_AUTO_TEST_CASE(aReaderThatLostTheStoreIsNotFollowed)
{
    reader_fixture fixture;
    fixture.startFollowing();
    fixture.receiveReport(0, false);
    fixture.advance(milliseconds(600));
    BOOST_TEST(fixture.isWatching());
}

// Guards against missing a relayed change that was lost in transit.
BOOST_AUTO_TEST_CASE(advertisedChangesThatDoNotArriveAreRead)
{
    reader_fixture fixture;
    fixture.startFollowing();
    fixture.receiveReport(0, true, 15);
    fixture.advance(milliseconds(200));
    const read_items *read = fixture.inFlightRead(item_scope::workers);
    BOOST_REQUIRE(read != nullptr);
    BOOST_TEST(read->afterRevision == 10U);
    BOOST_TEST(read->wait < seconds(1));
}

// Guards against needless reads of the store when relayed updates arrive out of order.
BOOST_AUTO_TEST_CASE(changesThatArriveOutOfOrderAreBuffered)
{
    reader_fixture fixture;
    fixture.startFollowing();
    fixture.receiveUpdate(12, 14, {drainingWorkerItem("w-1", 14)});
    fixture.receiveUpdate(10, 12, {withRevision(workerItem(workerEntry("w-3", "reads")), 12)});
    fixture.advance(milliseconds(400));
    BOOST_TEST(fixture.inFlightRead(item_scope::workers) == nullptr);
    for (unsigned i = 0; i < 10; ++i) {
        fixture.call("GET", "/read/x");
        const start_attempt attempt = fixture.takeOne<start_attempt>();
        BOOST_TEST(attempt.workerName != "w-1");
        fixture.answer(attempt);
    }
}

// Guards against a late response to the gateway's own watch that undoes a relayed change.
BOOST_AUTO_TEST_CASE(anOlderEntryOfAWatchDoesNotUndoAChange)
{
    reader_fixture fixture;
    fixture.receiveReport(0);
    fixture.receiveUpdate(10, 14, {drainingWorkerItem("w-1", 14)});
    item_page page;
    page.revision = 13;
    page.items = {withRevision(workerItem(workerEntry("w-1", "reads")), 13)};
    fixture.answerRead(item_scope::workers, page);
    fixture.call("GET", "/read/x");
    BOOST_TEST(fixture.takeOne<start_attempt>().workerName == "w-2");
}

// Guards against missing a change that the store did not deliver to a waiting watch. Without a
// list, the gateway would learn of it only with the next change.
BOOST_AUTO_TEST_CASE(watchWithoutTheAdvertisedChangeIsFollowedByAList)
{
    reader_fixture fixture;
    BOOST_REQUIRE(fixture.isWatching());
    fixture.receiveReport(0, true, 15);
    fixture.advance(milliseconds(700));
    const read_items *read = fixture.inFlightRead(item_scope::configuration);
    BOOST_REQUIRE(read != nullptr);
    BOOST_TEST(read->afterRevision == 0U);
}

// Guards against missing a change that the store did not deliver to a watch, in the case that the
// watch was sent to request this change.
BOOST_AUTO_TEST_CASE(emptyResponseAfterAnAdvertisedChangeIsFollowedByAList)
{
    reader_fixture fixture;
    fixture.startFollowing();
    fixture.receiveReport(0, true, 15);
    fixture.advance(milliseconds(200));
    item_page page;
    page.revision = 16;
    fixture.answerRead(item_scope::workers, page);
    const read_items *read = fixture.inFlightRead(item_scope::workers);
    BOOST_REQUIRE(read != nullptr);
    BOOST_TEST(read->afterRevision == 0U);
}

// Guards against all gateways listing the store after an outage, which costs one read per page for
// each of them, although nothing has changed.
BOOST_AUTO_TEST_CASE(unchangedScopesAreNotListedAfterAnOutage)
{
    reader_fixture fixture;
    fixture.answerRead(item_scope::workers, fail(error_code::unavailable, "read", "", "down"));
    fixture.receiveReport(0);
    fixture.advance(milliseconds(1000));
    BOOST_TEST(fixture.inFlightRead(item_scope::workers) == nullptr);
}

// Guards against frequent reads by all gateways of a failure domain while the store rejects every
// read.
BOOST_AUTO_TEST_CASE(followersRetryRarelyWhileTheStoreIsDown)
{
    constexpr unsigned outageSeconds = 8;
    reader_fixture fixture(1);
    fixture.startFollowing();
    unsigned reads = 0;
    for (unsigned step = 0; step < outageSeconds * 10; ++step) {
        fixture.advance(milliseconds(100));
        fixture.receiveDigestsFromOthers();
        for (const item_scope scope : {item_scope::configuration, item_scope::workers}) {
            if (fixture.inFlightRead(scope) == nullptr)
                continue;
            ++reads;
            fixture.answerRead(scope, fail(error_code::unavailable, "read", "", "busy"));
        }
    }
    BOOST_TEST(reads >= 2U);
    BOOST_TEST(reads <= outageSeconds);
}

// Guards against a gateway that cannot reach the store and therefore ignores relayed changes.
BOOST_AUTO_TEST_CASE(relayedChangesAreAppliedWhileReadsFail)
{
    reader_fixture fixture(1);
    fixture.answerRead(item_scope::workers, fail(error_code::unavailable, "read", "", "cut off"));
    fixture.receiveUpdate(10, 12, {drainingWorkerItem("w-1", 12)});
    fixture.expectReadsAt("w-2", 10);
}

// Guards against a gateway that still lacks changes 3 s after it can reach the store again.
BOOST_AUTO_TEST_CASE(missingChangesAreListedSoonAfterAnOutage)
{
    reader_fixture fixture(1);
    fixture.startFollowing();
    fixture.receiveReport(0, true, 15);
    fixture.advance(milliseconds(200));
    item_page empty;
    empty.revision = 16;
    fixture.answerRead(item_scope::workers, empty);
    fixture.answerRead(item_scope::workers, fail(error_code::timed_out, "read", "", "cut off"));
    fixture.advance(milliseconds(900));
    fixture.receiveReport(0, true, 15);
    fixture.advance(milliseconds(300));
    const read_items *read = fixture.inFlightRead(item_scope::workers);
    BOOST_REQUIRE(read != nullptr);
    BOOST_TEST(read->afterRevision == 0U);
}

// Guards against following a standby reader before it knows the changes made since the readers
// failed.
BOOST_AUTO_TEST_CASE(standbyReaderReportsOnlyAfterItHasRead)
{
    reader_fixture fixture(20);
    fixture.startFollowing();
    fixture.takeSent<reader_report>();
    fixture.advance(milliseconds(1300));
    BOOST_REQUIRE(fixture.isWatching());
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->wait < seconds(1));
    BOOST_REQUIRE(!fixture.revisionReads.empty());
    fixture.answerRevisionRead();
    fixture.advance(milliseconds(100));
    for (const reader_report &report : fixture.takeSent<reader_report>())
        BOOST_TEST(!report.isConnectedToStore);
    fixture.endWatches();
    fixture.advance(milliseconds(100));
    const std::vector<reader_report> reports = fixture.takeSent<reader_report>();
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.back().isConnectedToStore);
}

// Guards against standby readers that all stop reading because each of them has received the report
// of another one.
BOOST_AUTO_TEST_CASE(standbyReaderYieldsOnlyToHigherRankedGateways)
{
    reader_fixture fixture(20);
    fixture.startFollowing();
    fixture.advance(milliseconds(1300));
    fixture.endWatches();
    BOOST_REQUIRE(fixture.isWatching());
    fixture.receiveReport(5);
    fixture.endWatches();
    BOOST_TEST(fixture.isWatching());
    fixture.receiveReport(0);
    fixture.endWatches();
    BOOST_TEST(fixture.inFlightRead(item_scope::workers) == nullptr);
}

// Guards against a standby reader that takes over late because it still receives reports of a
// lower-ranked one.
BOOST_AUTO_TEST_CASE(standbyReaderTakesOverOnTimeWhileLowerRankedOnesReport)
{
    reader_fixture fixture(20);
    fixture.startFollowing();
    const instant lastReportAt = fixture.now;
    fixture.advance(milliseconds(800));
    fixture.receiveReport(5);
    fixture.advance(milliseconds(300));
    BOOST_TEST(!fixture.isWatching());
    fixture.advance(milliseconds(101));
    BOOST_TEST(fixture.isWatching());
    BOOST_TEST(toMilliseconds(fixture.now - lastReportAt) == 1201);
}

// Guards against a small failure domain in which all gateways depend on one or two readers to learn
// of changes.
BOOST_AUTO_TEST_CASE(gatewaysOfASmallFailureDomainReadForThemselves)
{
    reader_fixture fixture(10, 4);
    fixture.startFollowing();
    BOOST_TEST(fixture.isWatching());
}

// Guards against a failure domain in which no gateway relays changes.
BOOST_AUTO_TEST_CASE(largestGatewaysRelayChanges)
{
    reader_fixture fixture(100);
    fixture.takeSent<items_update>();
    item_page page;
    page.revision = 17;
    page.items = {drainingWorkerItem("w-1", 17)};
    fixture.answerRead(item_scope::workers, page);
    const std::vector<items_update> updates = fixture.takeSent<items_update>();
    BOOST_REQUIRE_EQUAL(updates.size(), otherGatewayCount);
    BOOST_TEST(updates.front().afterRevision == 10U);
    BOOST_TEST(updates.front().revision == 17U);
    BOOST_REQUIRE_EQUAL(updates.front().items.size(), 1U);
    BOOST_TEST(updates.front().items.front().worker->leaving);
}

// Guards against a watch of the store by every gateway that starts, although the readers of its
// failure domain relay all changes.
BOOST_AUTO_TEST_CASE(startingGatewayWaitsForReadersBeforeItWatches)
{
    reader_fixture fixture(1, otherGatewayCount, seconds(2));
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration) == nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers) == nullptr);
    for (unsigned second = 0; second < 4; ++second) {
        fixture.receiveReport(0);
        fixture.advance(seconds(1));
        fixture.receiveDigestsFromOthers();
    }
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration) == nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers) == nullptr);
}

// Guards against a gateway without readers that does not watch the store after its start.
BOOST_AUTO_TEST_CASE(startingGatewayWithoutReadersWatchesAfterTheHoldoff)
{
    reader_fixture fixture(1, otherGatewayCount, seconds(2));
    fixture.advance(milliseconds(1450));
    BOOST_TEST(fixture.isWatching());
}

// Guards against a gateway that waits for readers although there are no other gateways.
BOOST_AUTO_TEST_CASE(startingGatewayWithoutSeedsWatchesAtOnce)
{
    routing_settings settings = localGatewaySettings();
    settings.startupWatchHoldoff = seconds(2);
    routing_fixture alone(settings);
    alone.becomeReady({workerEntry("w-1", "reads")});
    BOOST_TEST(alone.inFlightRead(item_scope::workers) != nullptr);
}

// Guards against a restarted reader on which its failure domain depends and that does not watch the
// store for the first seconds.
BOOST_AUTO_TEST_CASE(restartedReaderWatchesAtOnce)
{
    reader_fixture fixture(100, otherGatewayCount, milliseconds(2400));
    BOOST_REQUIRE(fixture.isWatching());
    item_page page;
    page.revision = 17;
    page.items = {drainingWorkerItem("w-1", 17)};
    fixture.answerRead(item_scope::workers, page);
    fixture.advance(milliseconds(1050));
    BOOST_TEST(fixture.isWatching());
}

// Guards against reads of the store by all gateways of the failure domain after its reader had to
// list the store again.
BOOST_AUTO_TEST_CASE(readerRelaysWhatItsNextListHasChanged)
{
    reader_fixture fixture(100);
    fixture.takeSent<items_update>();
    item_page compacted;
    compacted.historyLost = true;
    fixture.answerRead(item_scope::workers, compacted);
    item_page list;
    list.revision = 20;
    list.items = {drainingWorkerItem("w-1", 15),
                  withRevision(workerItem(workerEntry("w-3", "reads")), 18)};
    fixture.answerRead(item_scope::workers, list);
    const std::vector<items_update> updates = fixture.takeSent<items_update>();
    BOOST_REQUIRE_EQUAL(updates.size(), otherGatewayCount);
    BOOST_TEST(updates.front().afterRevision == 10U);
    BOOST_TEST(updates.front().revision == 20U);
    std::vector<std::string> names;
    for (const published_item &item : updates.front().items)
        names.push_back((item.removed ? "-" : "+") + item.name);
    BOOST_TEST((names == std::vector<std::string> {"-w-2", "+w-1", "+w-3"}));
}

// Guards against reads of the store by all gateways of the failure domain after many workers have
// changed at once.
BOOST_AUTO_TEST_CASE(manyChangesAreRelayedInSeveralUpdates)
{
    constexpr unsigned changeCount = 2 * updateItemsMax + 1;
    reader_fixture fixture(100);
    fixture.takeSent<items_update>();
    item_page page;
    page.revision = 10 + changeCount;
    for (unsigned i = 1; i <= changeCount; ++i)
        page.items.push_back(
            withRevision(workerItem(workerEntry("w-" + std::to_string(i + 10), "reads")), 10 + i));
    fixture.answerRead(item_scope::workers, page);
    const std::vector<items_update> updates = fixture.takeSent<items_update>();
    BOOST_REQUIRE_EQUAL(updates.size(), 3 * otherGatewayCount);
    reader_fixture follower(1);
    follower.startFollowing();
    for (std::size_t i = 0; i < updates.size(); i += otherGatewayCount)
        follower.handle(peer_message_received {{reader_fixture::nameOf(0), 1}, updates[i]});
    follower.advance(milliseconds(400));
    BOOST_TEST(follower.inFlightRead(item_scope::workers) == nullptr);
    BOOST_TEST(follower.gateway->dump(follower.now)["workers"].size() == changeCount + 2);
}

// Guards against relaying a large configuration to all gateways, which would saturate the links of
// small gateways for seconds.
BOOST_AUTO_TEST_CASE(largeConfigurationsAreOnlyAdvertised)
{
    reader_fixture fixture(100);
    fixture.answerRevisionRead();
    fixture.advance(milliseconds(700));
    fixture.answerRevisionRead();
    fixture.takeSent<reader_report>();
    route_config config = shopRoutes(2);
    config.routes.resize(updateRoutesMax + 1, config.routes.front());
    item_page page;
    page.revision = 20;
    page.items = {withRevision(configItem(config), 20)};
    fixture.answerRead(item_scope::configuration, page);
    fixture.advance(milliseconds(5));
    std::vector<reader_report> reports;
    for (const send_peer_message &command : fixture.take<send_peer_message>()) {
        BOOST_TEST(!std::holds_alternative<items_update>(command.message));
        if (const reader_report *report = std::get_if<reader_report>(&command.message))
            reports.push_back(*report);
    }
    BOOST_REQUIRE_EQUAL(reports.size(), otherGatewayCount);
    BOOST_TEST(reports.front().configurationRevision == 20U);
}

// Guards against following a reader whose watch hangs on a dead connection.
BOOST_AUTO_TEST_CASE(readerWithoutStoreReportsThatItIsNotCurrent)
{
    reader_fixture fixture(100);
    BOOST_REQUIRE(!fixture.revisionReads.empty());
    fixture.answerRevisionRead();
    fixture.advance(milliseconds(1));
    fixture.takeSent<reader_report>();
    fixture.advance(milliseconds(1300));
    const std::vector<reader_report> reports = fixture.takeSent<reader_report>();
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(!reports.back().isConnectedToStore);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
