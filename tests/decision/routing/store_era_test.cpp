#include <set>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

using namespace almondnotch;

namespace {

/// Time in which what was lost is written again.
constexpr duration renewalTime = seconds(3);
/// How long a gateway waits for the list of an era that another gateway relays.
constexpr duration relayTime = milliseconds(150);

item_page makePage(std::uint64_t era, std::uint64_t revision,
                   std::vector<published_item> items = {})
{
    item_page page;
    page.era = era;
    page.revision = revision;
    page.items = std::move(items);
    return page;
}

published_item readyWorkerItem(const std::string &name, std::uint64_t revision)
{
    return withRevision(workerItem(workerEntry(name, "reads")), revision);
}

published_item versionItem(std::uint64_t version, std::uint64_t revision)
{
    return withRevision(configItem(shopRoutes(version)), revision);
}

/// Answers the lists of both scopes with version 3 of the configuration and the workers w-1 to w-3,
/// in era 5 up to revision 100.
void answerFirstLists(routing_fixture &fixture)
{
    fixture.answerRead(item_scope::configuration, makePage(5, 100, {versionItem(3, 90)}));
    fixture.answerRead(item_scope::workers,
                       makePage(5, 100,
                                {readyWorkerItem("w-1", 70), readyWorkerItem("w-2", 71),
                                 readyWorkerItem("w-3", 95)}));
}

/// A gateway that reads the store itself, in era 5.
struct watching_fixture : routing_fixture
{
    watching_fixture() { answerFirstLists(*this); }
};

/// Changes of the workers, relayed by vm-2.
template <typename Fixture>
void relay(Fixture &fixture, std::uint64_t era, std::uint64_t after, std::uint64_t revision,
           std::vector<published_item> items, item_scope scope = item_scope::workers)
{
    fixture.handle(peer_message_received {
        {Fixture::nameOf(0), 1}, items_update {scope, after, revision, std::move(items), era}});
}

/// A gateway that follows the readers of its failure domain, in era 5.
struct following_fixture : reader_fixture
{
    following_fixture() : reader_fixture(1)
    {
        startFollowing();
        relay(*this, 5, 0, 100, {versionItem(3, 90)}, item_scope::configuration);
        relay(*this, 5, 0, 100,
              {readyWorkerItem("w-1", 70), readyWorkerItem("w-2", 71), readyWorkerItem("w-3", 95)});
    }

    void report(std::uint64_t era, std::uint64_t revision)
    {
        handle(
            peer_message_received {{nameOf(0), 1}, reader_report {true, revision, revision, era}});
    }
};

/// Workers that get some of several requests at the same time.
std::set<std::string> workersInUse(routing_fixture &fixture)
{
    for (int i = 0; i < 12; ++i)
        fixture.call("GET", "/read/x");
    std::set<std::string> names;
    for (const start_attempt &attempt : fixture.take<start_attempt>()) {
        names.insert(attempt.workerName);
        fixture.answer(attempt);
    }
    return names;
}

std::uint64_t versionInForce(const routing_fixture &fixture)
{
    return fixture.gateway->dump(fixture.now)["config_version"];
}

bool isListInFlight(const routing_fixture &fixture, item_scope scope)
{
    const read_items *read = fixture.inFlightRead(scope);
    return read != nullptr && read->afterRevision == 0;
}

/// Lets the gateway list the workers of a copy that has these items.
void restoreWorkers(routing_fixture &fixture, std::uint64_t era, std::uint64_t revision,
                    std::vector<published_item> items)
{
    if (!isListInFlight(fixture, item_scope::workers))
        fixture.answerRead(item_scope::workers, makePage(era, revision));
    fixture.answerRead(item_scope::workers, makePage(era, revision, std::move(items)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_era_suite)

// Guards against ignoring all versions that are written after the store came back from a copy,
// because their revisions were given out before.
BOOST_AUTO_TEST_CASE(versionWrittenAfterTheCopyIsApplied)
{
    watching_fixture fixture;
    item_page lost = makePage(6, 0);
    lost.historyLost = true;
    fixture.answerRead(item_scope::configuration, lost);
    BOOST_REQUIRE(isListInFlight(fixture, item_scope::configuration));
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration)->needsNewConnection);
    fixture.answerRead(item_scope::configuration, makePage(6, 76, {versionItem(2, 60)}));
    BOOST_TEST(versionInForce(fixture) == 3);
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration)->afterRevision == 76);
    fixture.answerRead(item_scope::configuration, makePage(6, 80, {versionItem(4, 80)}));
    BOOST_TEST(versionInForce(fixture) == 4);
}

// Guards against a watch of the workers that waits for revisions of the earlier era while an answer
// about the configuration shows the new one.
BOOST_AUTO_TEST_CASE(eraOfOneScopeConcernsTheOther)
{
    watching_fixture fixture;
    fixture.answerRead(item_scope::configuration, makePage(6, 80));
    BOOST_TEST(isListInFlight(fixture, item_scope::workers));
}

// Guards against undoing what was read in an era by an answer that an earlier one gave.
BOOST_AUTO_TEST_CASE(answerOfAnEarlierEraIsIgnored)
{
    watching_fixture fixture;
    fixture.answerRead(item_scope::configuration, makePage(6, 80));
    fixture.answerRead(item_scope::configuration, makePage(5, 100, {versionItem(9, 99)}));
    BOOST_TEST(versionInForce(fixture) == 3);
    fixture.advance(milliseconds(300));
    BOOST_REQUIRE(isListInFlight(fixture, item_scope::configuration));
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration)->needsNewConnection);
}

// Guards against a list whose pages hold items of two eras.
BOOST_AUTO_TEST_CASE(listOfTwoErasStartsAgain)
{
    watching_fixture fixture;
    fixture.answerRead(item_scope::workers, makePage(6, 80));
    item_page first = makePage(6, 80, {readyWorkerItem("w-1", 70)});
    first.hasMore = true;
    first.lastKey = "w-1";
    fixture.answerRead(item_scope::workers, first);
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers)->afterKey == "w-1");
    fixture.answerRead(item_scope::workers, makePage(7, 75, {readyWorkerItem("w-2", 71)}));
    BOOST_REQUIRE(isListInFlight(fixture, item_scope::workers));
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterKey.empty());
    BOOST_TEST(workersInUse(fixture).size() == 3U);
}

// Guards against a gateway that starts with a list of a replica which still has the earlier era.
BOOST_AUTO_TEST_CASE(staleFirstListOfAnEarlierEraIsReplaced)
{
    routing_fixture fixture;
    fixture.answerRead(item_scope::workers, makePage(5, 100, {readyWorkerItem("w-1", 70)}));
    fixture.answerRead(item_scope::configuration, makePage(6, 80, {versionItem(2, 60)}));
    BOOST_REQUIRE(isListInFlight(fixture, item_scope::workers));
    BOOST_TEST(!fixture.inFlightRead(item_scope::workers)->allowStale);
}

// Guards against requests to a worker that has left, because the copy still says that it is ready.
// Only an entry that was written after the copy, also at a revision that was given out before, or
// another start of the worker ends this.
BOOST_AUTO_TEST_CASE(leaveOutlastsTheCopy)
{
    for (const bool wasRemoved : {false, true}) {
        watching_fixture fixture;
        published_item left = wasRemoved ? removedItem("w-1") : drainingWorkerItem("w-1", 101);
        left.revision = 101;
        fixture.answerRead(item_scope::workers, makePage(5, 101, {left}));
        fixture.advance(seconds(1));
        const std::vector<published_item> copy
            = {readyWorkerItem("w-1", 70), readyWorkerItem("w-2", 71), readyWorkerItem("w-3", 72)};
        const std::set<std::string> others = {"w-2", "w-3"};
        restoreWorkers(fixture, 6, 80, copy);
        BOOST_TEST(workersInUse(fixture) == others);
        // A copy of a copy.
        restoreWorkers(fixture, 7, 78, copy);
        BOOST_TEST(workersInUse(fixture) == others);
        fixture.advance(seconds(25));
        restoreWorkers(fixture, 8, 78, copy);
        BOOST_TEST(workersInUse(fixture) == others);
        fixture.answerRead(item_scope::workers, makePage(8, 79, {readyWorkerItem("w-1", 79)}));
        BOOST_TEST(workersInUse(fixture).contains("w-1"));
    }
}

// Guards against a second copy that is less old than the first one: its entries are of the time
// before the leave, although their revisions are above those of the first copy.
BOOST_AUTO_TEST_CASE(leaveOutlastsALaterCopyOfAnEarlierEra)
{
    watching_fixture fixture;
    fixture.answerRead(item_scope::workers, makePage(5, 101, {drainingWorkerItem("w-1", 101)}));
    fixture.advance(seconds(1));
    const std::vector<published_item> others = {readyWorkerItem("w-2", 71)};
    restoreWorkers(fixture, 6, 80, {readyWorkerItem("w-1", 70), others.front()});
    restoreWorkers(fixture, 7, 95, {readyWorkerItem("w-1", 92), others.front()});
    BOOST_TEST(!workersInUse(fixture).contains("w-1"));
}

// Guards against an entry of the copy that is more recent than all that this gateway had read
// itself, but older than the leave that another gateway told while the store was away.
BOOST_AUTO_TEST_CASE(leaveToldByAPeerOutlastsTheCopy)
{
    watching_fixture fixture;
    fixture.answerRead(item_scope::workers, fail(error_code::unavailable, "read", "", "cut"));
    fleet_digest digest = localDigest("vm-2", 1);
    digest.drains = {{"w-1", seconds(1)}};
    fixture.handle(peer_message_received {digest.self.process, digest});
    BOOST_TEST(!workersInUse(fixture).contains("w-1"));
    fixture.advance(seconds(1));
    restoreWorkers(fixture, 6, 106, {readyWorkerItem("w-1", 105), readyWorkerItem("w-2", 71)});
    BOOST_TEST(!workersInUse(fixture).contains("w-1"));
    fixture.answerRead(item_scope::workers, makePage(6, 107, {readyWorkerItem("w-1", 107)}));
    BOOST_TEST(workersInUse(fixture).contains("w-1"));
}

// Guards against replacing a worker that has started again by the entry of its earlier run.
BOOST_AUTO_TEST_CASE(earlierRunInTheCopyIsIgnored)
{
    watching_fixture fixture;
    published_worker restarted = workerEntry("w-1", "reads");
    restarted.startedUnixMs = 2;
    restarted.address = "10.1.0.9:80";
    fixture.answerRead(item_scope::workers,
                       makePage(5, 101, {withRevision(workerItem(restarted), 101)}));
    fixture.advance(seconds(1));
    restoreWorkers(
        fixture, 6, 80,
        {readyWorkerItem("w-1", 70), readyWorkerItem("w-2", 71), readyWorkerItem("w-3", 72)});
    BOOST_TEST(fixture.gateway->dump(fixture.now)["workers"][0]["address"] == restarted.address);
}

// Guards against a drain that this gateway had not read before the copy, but another one had.
BOOST_AUTO_TEST_CASE(gossipTellsALostDrain)
{
    watching_fixture fixture;
    restoreWorkers(fixture, 6, 80, {readyWorkerItem("w-1", 70), readyWorkerItem("w-2", 71)});
    fleet_digest digest = localDigest("vm-2", 1);
    digest.drains = {{"w-1", seconds(1)}};
    fixture.handle(peer_message_received {digest.self.process, digest});
    BOOST_TEST(!workersInUse(fixture).contains("w-1"));
}

// Guards against dropping workers that the copy lacks before they could write their entries again,
// and against keeping those that do not.
BOOST_AUTO_TEST_CASE(workersThatTheCopyLacksAreKeptForAWhile)
{
    watching_fixture fixture;
    const std::vector<published_item> copy = {readyWorkerItem("w-1", 70)};
    restoreWorkers(fixture, 6, 80, copy);
    BOOST_TEST(workersInUse(fixture).size() == 3U);
    fixture.answerRead(item_scope::workers, makePage(6, 81, {readyWorkerItem("w-3", 81)}));
    fixture.advance(renewalTime);
    BOOST_REQUIRE(isListInFlight(fixture, item_scope::workers));
    fixture.answerRead(item_scope::workers,
                       makePage(6, 81, {copy.front(), readyWorkerItem("w-3", 81)}));
    const std::set<std::string> remaining = {"w-1", "w-3"};
    BOOST_TEST(workersInUse(fixture) == remaining);
}

// Guards against gateways that miss the change of era because the readers die in it, and against
// following a reader that is an era behind.
BOOST_AUTO_TEST_CASE(reportsAreOrderedByEra)
{
    following_fixture fixture;
    fixture.report(4, 500);
    fixture.advance(milliseconds(300));
    BOOST_TEST(!isListInFlight(fixture, item_scope::workers));
    fixture.report(6, 20);
    fixture.advance(relayTime);
    BOOST_REQUIRE(isListInFlight(fixture, item_scope::workers));
    fixture.answerRead(item_scope::workers, makePage(6, 80, {readyWorkerItem("w-1", 70)}));
    BOOST_TEST(isListInFlight(fixture, item_scope::configuration));
    fixture.answerRead(item_scope::configuration, makePage(6, 81, {versionItem(4, 81)}));
    BOOST_TEST(versionInForce(fixture) == 4);
    BOOST_TEST(fixture.gateway->counters().value("reader_reports_outdated_total") == 1);
}

// Guards against a list of all gateways, and against mixing relayed changes of two eras.
BOOST_AUTO_TEST_CASE(relayedListBeginsTheEra)
{
    following_fixture fixture;
    // Waits for changes of the earlier era.
    relay(fixture, 5, 110, 120, {removedItem("w-2")});
    relay(fixture, 6, 0, 80,
          {readyWorkerItem("w-1", 70), readyWorkerItem("w-2", 71), readyWorkerItem("w-3", 72)});
    relay(fixture, 6, 0, 80, {versionItem(2, 60)}, item_scope::configuration);
    fixture.advance(seconds(1));
    BOOST_TEST(!isListInFlight(fixture, item_scope::workers));
    BOOST_TEST(!isListInFlight(fixture, item_scope::configuration));
    relay(fixture, 5, 100, 130, {removedItem("w-3")});
    relay(fixture, 6, 80, 118, {withRevision(removedItem("w-1"), 81)});
    relay(fixture, 6, 80, 81, {versionItem(4, 81)}, item_scope::configuration);
    const std::set<std::string> remaining = {"w-2", "w-3"};
    BOOST_TEST(workersInUse(fixture) == remaining);
    BOOST_TEST(versionInForce(fixture) == 4);
    // The list of the other reader does not say what was removed up to its revision.
    relay(fixture, 6, 0, 125, {readyWorkerItem("w-2", 71)});
    BOOST_TEST(fixture.gateway->dump(fixture.now)["store"]["workers"]["revision"] == 118);
}

// Guards against a reader that does not notice the change of era while its watches wait, and does
// not tell the other gateways of it.
BOOST_AUTO_TEST_CASE(readerRelaysTheListOfTheEra)
{
    reader_fixture fixture(100);
    fixture.answerRead(item_scope::configuration, makePage(5, 100));
    answerFirstLists(fixture);
    fixture.takeSent<items_update>();
    fixture.advance(milliseconds(600));
    BOOST_REQUIRE(!fixture.revisionReads.empty());
    fixture.endRead(fixture.revisionReads.back().read, makePage(6, 80));
    BOOST_REQUIRE(isListInFlight(fixture, item_scope::configuration));
    fixture.answerRead(item_scope::workers, makePage(6, 80, {readyWorkerItem("w-1", 70)}));
    const std::vector<items_update> updates = fixture.takeSent<items_update>();
    BOOST_REQUIRE(!updates.empty());
    BOOST_TEST(updates.front().era == 6U);
    BOOST_TEST(updates.front().afterRevision == 0U);
    BOOST_TEST(updates.front().items.size() == 1U);
    fixture.advance(seconds(1));
    const std::vector<reader_report> reports = fixture.takeSent<reader_report>();
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.back().storeEra == 6U);
    BOOST_TEST(reports.back().workersRevision == 80U);
    BOOST_TEST(reports.back().configurationRevision == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
