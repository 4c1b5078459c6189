#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

constexpr std::uint32_t followerCapacity = 1;
constexpr std::uint32_t readerCapacity = 100;
/// Time within which a gateway requests changes that it has been told of, unless a read of it is
/// in flight.
constexpr duration requestTimeMax = milliseconds(200);
/// As `requestTimeMax`, after a read that failed.
constexpr duration retryTimeMax = milliseconds(1300);

const std::vector<item_scope> scopes {item_scope::configuration, item_scope::workers};

std::string workerOf(std::uint64_t revision)
{
    return "w-" + std::to_string(revision);
}

/// The change at a revision: version `revision` of the configuration, or a further worker.
published_item changeAt(item_scope scope, std::uint64_t revision)
{
    return withRevision(scope == item_scope::configuration
                            ? configItem(shopRoutes(revision))
                            : workerItem(workerEntry(workerOf(revision), "reads")),
                        revision);
}

bool knows(const routing_fixture &fixture, item_scope scope, std::uint64_t revision)
{
    const nlohmann::json dump = fixture.gateway->dump(fixture.now);
    if (scope == item_scope::configuration)
        return dump["config_version"] == revision;
    return std::any_of(
        dump["workers"].begin(), dump["workers"].end(),
        [revision](const nlohmann::json &row) { return row["name"] == workerOf(revision); });
}

/// The changes of a scope after one revision up to another.
item_page changesBetween(item_scope scope, std::uint64_t after, std::uint64_t revision)
{
    item_page page = pageOf({}, revision);
    for (std::uint64_t next = after + 1; next <= revision; ++next)
        page.items.push_back(changeAt(scope, next));
    return page;
}

/// A gateway that follows the readers of its failure domain and knows all changes up to revision
/// 10.
struct follower : reader_fixture
{
    follower() : reader_fixture(followerCapacity) { startFollowing(); }

    void relay(item_scope scope, std::uint64_t after, std::uint64_t revision)
    {
        handle(peer_message_received {
            {nameOf(0), 1},
            items_update {scope, after, revision, changesBetween(scope, after, revision).items}});
    }

    /// Advances until a read of the scope that was not in flight before is sent.
    /// \return null if none is sent in time.
    const read_items *awaitRead(item_scope scope, duration timeMax)
    {
        const read_items *before = inFlightRead(scope);
        const read_id known = before == nullptr ? read_id {} : before->read;
        for (duration passed {0}; passed <= timeMax; passed += milliseconds(10)) {
            const read_items *read = inFlightRead(scope);
            if (read != nullptr && read->read != known)
                return read;
            advance(milliseconds(10));
        }
        return nullptr;
    }

    /// Answers the next read of the scope with the changes that it lacks up to a revision.
    void answerNextRead(item_scope scope, duration timeMax, std::uint64_t revision)
    {
        const read_items *read = awaitRead(scope, timeMax);
        BOOST_REQUIRE(read != nullptr);
        answerRead(scope, changesBetween(scope, read->afterRevision, revision));
    }
};

/// Ends the read in flight as failed, and the list after it unless that waits.
void failRead(follower &fixture, item_scope scope)
{
    fixture.endRead(fixture.inFlightRead(scope)->read,
                    fail(error_code::timed_out, "read", "", "no answer"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(missing_changes_suite)

// Guards against an outdated configuration until the next change, because the changes that were
// advertised last came while a read was in flight that the store had answered before them.
BOOST_AUTO_TEST_CASE(changesAdvertisedDuringAReadAreReadAfterIt)
{
    for (const item_scope scope : scopes) {
        follower fixture;
        fixture.receiveReport(0, true, 11);
        BOOST_REQUIRE(fixture.awaitRead(scope, requestTimeMax) != nullptr);
        fixture.receiveReport(0, true, 12);
        fixture.answerRead(scope, changesBetween(scope, 10, 11));
        fixture.receiveReport(1, true, 12);
        fixture.answerNextRead(scope, requestTimeMax, 12);
        BOOST_TEST(knows(fixture, scope, 12));
    }
}

// Guards against the same for changes that another gateway relays, and that wait for earlier ones.
BOOST_AUTO_TEST_CASE(changesRelayedDuringAReadAreAppliedAfterIt)
{
    for (const item_scope scope : scopes) {
        follower fixture;
        fixture.receiveReport(0, true, 11);
        BOOST_REQUIRE(fixture.awaitRead(scope, requestTimeMax) != nullptr);
        fixture.relay(scope, 11, 12);
        fixture.answerRead(scope, changesBetween(scope, 10, 11));
        BOOST_TEST(knows(fixture, scope, 12));
    }
}

// Guards against the same if more changes wait than the gateway keeps.
BOOST_AUTO_TEST_CASE(changesThatWereNotKeptAreRead)
{
    constexpr std::uint64_t lastRevision = 40;
    for (const item_scope scope : scopes) {
        follower fixture;
        fixture.receiveReport(0, true, 11);
        BOOST_REQUIRE(fixture.awaitRead(scope, requestTimeMax) != nullptr);
        for (std::uint64_t revision = 12; revision <= lastRevision; ++revision)
            fixture.relay(scope, revision - 1, revision);
        fixture.answerRead(scope, changesBetween(scope, 10, 11));
        fixture.answerNextRead(scope, requestTimeMax, lastRevision);
        BOOST_TEST(knows(fixture, scope, lastRevision));
    }
}

// Guards against the same for changes that are advertised or relayed while the scope is listed.
BOOST_AUTO_TEST_CASE(changesToldDuringAListAreReadAfterIt)
{
    for (const item_scope scope : scopes) {
        for (const bool isRelayed : {false, true}) {
            follower fixture;
            fixture.receiveReport(0, true, 11);
            BOOST_REQUIRE(fixture.awaitRead(scope, requestTimeMax) != nullptr);
            item_page lost;
            lost.historyLost = true;
            fixture.answerRead(scope, lost);
            const read_items *list = fixture.inFlightRead(scope);
            BOOST_REQUIRE(list != nullptr);
            BOOST_TEST(list->afterRevision == 0U);
            if (isRelayed)
                fixture.relay(scope, 12, 13);
            else
                fixture.receiveReport(0, true, 13);
            fixture.answerRead(scope, changesBetween(scope, 10, 11));
            fixture.answerNextRead(scope, requestTimeMax, 13);
            BOOST_TEST(knows(fixture, scope, 13));
        }
    }
}

// Guards against the same for changes that are told before the first list is complete.
BOOST_AUTO_TEST_CASE(changesToldDuringTheFirstListAreReadAfterIt)
{
    for (const item_scope scope : scopes) {
        routing_settings settings = reader_fixture::makeSettings(followerCapacity, seconds(2));
        routing_fixture fixture(settings);
        const item_scope other
            = scope == item_scope::workers ? item_scope::configuration : item_scope::workers;
        fixture.answerRead(other, changesBetween(other, 9, 10));
        fixture.handle(peer_message_received {{reader_fixture::nameOf(0), 1},
                                              items_update {scope, 11, 12, {changeAt(scope, 12)}}});
        fixture.answerRead(scope, changesBetween(scope, 9, 11));
        fixture.advance(requestTimeMax);
        const read_items *read = fixture.inFlightRead(scope);
        BOOST_REQUIRE(read != nullptr);
        BOOST_TEST(read->afterRevision == 11U);
        fixture.answerRead(scope, changesBetween(scope, 11, 12));
        BOOST_TEST(knows(fixture, scope, 12));
    }
}

// Guards against a wait for the backoff of gateways that know of no changes, 3 s or more, after a
// failed read of changes that are known to exist. No further report is needed.
BOOST_AUTO_TEST_CASE(failedReadOfMissingChangesIsRepeatedSoon)
{
    for (const item_scope scope : scopes) {
        follower fixture;
        fixture.receiveReport(0, true, 11);
        for (unsigned i = 0; i < 5; ++i) {
            BOOST_REQUIRE(fixture.awaitRead(scope, i == 0 ? requestTimeMax : retryTimeMax)
                          != nullptr);
            fixture.receiveReport(1, true, 11 + i);
            failRead(fixture, scope);
        }
        fixture.answerNextRead(scope, retryTimeMax, 15);
        BOOST_TEST(knows(fixture, scope, 15));
    }
}

// Guards against a read of missing changes that never starts, because each further change that
// another gateway tells postpones it.
BOOST_AUTO_TEST_CASE(furtherChangesDoNotPostponeTheRead)
{
    for (const item_scope scope : scopes) {
        follower fixture;
        for (std::uint64_t revision = 12; revision < 20; ++revision) {
            fixture.relay(scope, revision - 1, revision);
            fixture.advance(milliseconds(50));
        }
        BOOST_TEST((fixture.inFlightRead(scope) != nullptr));
    }
}

// Guards against a lost watch that counts as alive for as long as others advertise changes in quick
// succession that it should have delivered.
BOOST_AUTO_TEST_CASE(furtherChangesDoNotPostponeTheEndOfALostWatch)
{
    for (const item_scope scope : scopes) {
        reader_fixture fixture(readerCapacity);
        const read_id watch = fixture.inFlightRead(scope)->read;
        for (std::uint64_t revision = 11; revision < 21; ++revision) {
            fixture.receiveReport(0, true, revision);
            fixture.advance(milliseconds(100));
        }
        BOOST_TEST((fixture.inFlightRead(scope)->read != watch));
    }
}

// Guards against changes of a new era that are forgotten because they were advertised while the
// list that begins the era was in flight.
BOOST_AUTO_TEST_CASE(changesOfANewEraAdvertisedDuringItsListAreRead)
{
    constexpr std::uint64_t era = 6;
    for (const item_scope scope : scopes) {
        follower fixture;
        const auto report = [&fixture](std::uint64_t revision) {
            fixture.handle(peer_message_received {{reader_fixture::nameOf(0), 1},
                                                  reader_report {true, revision, revision, era}});
        };
        report(8);
        BOOST_REQUIRE(fixture.awaitRead(scope, requestTimeMax) != nullptr);
        report(9);
        item_page list = changesBetween(scope, 6, 8);
        list.era = era;
        fixture.answerRead(scope, list);
        const read_items *read = fixture.awaitRead(scope, requestTimeMax);
        BOOST_REQUIRE(read != nullptr);
        BOOST_TEST(read->afterRevision == 8U);
    }
}

// Guards against reads in quick succession if a change that was advertised never arrives.
BOOST_AUTO_TEST_CASE(changesThatTheStoreDoesNotHaveAreRequestedSeldom)
{
    for (const item_scope scope : scopes) {
        follower fixture;
        fixture.receiveReport(0, true, 11);
        unsigned reads = 0;
        for (duration passed {0}; passed < seconds(60); passed += milliseconds(10)) {
            fixture.advance(milliseconds(10));
            if (passed % seconds(1) == duration {0}) {
                fixture.receiveDigestsFromOthers();
                fixture.receiveReport(0, true, 11);
            }
            const read_items *read = fixture.inFlightRead(scope);
            if (read == nullptr)
                continue;
            ++reads;
            fixture.answerRead(scope, read->afterRevision == 0 ? changesBetween(scope, 9, 10)
                                                               : pageOf({}, 10));
        }
        // A request of the changes and a list each second.
        BOOST_TEST(reads <= 130U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
