#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/routing/items/item_relay.h"
#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

constexpr std::uint32_t followerCapacity = 1;
constexpr std::uint32_t readerCapacity = 100;

published_item addedWorker(const std::string &name, std::uint64_t revision)
{
    return withRevision(workerItem(workerEntry(name, "reads")), revision);
}

/// Passes updates on to a gateway as if vm-3, the other reader, had sent them.
void relay(reader_fixture &fixture, const std::vector<items_update> &updates)
{
    for (const items_update &update : updates)
        fixture.handle(peer_message_received {{reader_fixture::nameOf(1), 1}, update});
}

/// The updates by which a reader that knows the revision 10 relays a list, each once.
std::vector<items_update> updatesOfList(item_scope scope, std::vector<published_item> items,
                                        std::uint64_t revision,
                                        const std::vector<std::string> &removedNames = {})
{
    return makeUpdates(scope, {true, std::move(items), 10, revision}, removedNames);
}

bool isInUse(const reader_fixture &fixture, const std::string &worker)
{
    const nlohmann::json workers = fixture.gateway->dump(fixture.now)["workers"];
    return std::any_of(workers.begin(), workers.end(), [&worker](const nlohmann::json &row) {
        return row["name"] == worker && row["unavailable"] == "none";
    });
}

/// Answers the read by which the gateway requests the changes that it lacks.
void answerCatchUp(reader_fixture &fixture, item_scope scope, std::uint64_t afterRevision,
                   item_page page)
{
    fixture.advance(milliseconds(200));
    const read_items *read = fixture.inFlightRead(scope);
    BOOST_REQUIRE(read != nullptr);
    BOOST_TEST(read->afterRevision == afterRevision);
    fixture.answerRead(scope, std::move(page));
}

} // namespace

BOOST_AUTO_TEST_SUITE(relayed_lists_suite)

// Guards against a worker that stays in use after its removal because a reader that wakes from a
// freeze, and never knew the worker, relays its list as if it held all changes.
BOOST_AUTO_TEST_CASE(listOfAWokenReaderDoesNotHideARemoval)
{
    reader_fixture woken(readerCapacity);
    woken.simulatePause(seconds(5));
    woken.advance(milliseconds(1));
    woken.takeSent<items_update>();
    woken.answerRead(
        item_scope::workers,
        pageOf({addedWorker("w-1", 5), addedWorker("w-2", 6), addedWorker("w-4", 12)}, 13));
    const std::vector<items_update> updates = woken.takeSent<items_update>();
    BOOST_REQUIRE(!updates.empty());

    reader_fixture follower(followerCapacity);
    follower.startFollowing();
    follower.receiveUpdate(10, 11, {addedWorker("w-3", 11)});
    follower.receiveUpdate(11, 12, {addedWorker("w-4", 12)});
    BOOST_TEST(isInUse(follower, "w-3"));
    relay(follower, {updates.front()});
    answerCatchUp(follower, item_scope::workers, 12,
                  pageOf({withRevision(removedItem("w-3"), 13)}, 13));
    BOOST_TEST(!isInUse(follower, "w-3"));
    BOOST_TEST(isInUse(follower, "w-4"));
}

// Guards against the same when the other reader relays the removal after the list: it must not
// count as known.
BOOST_AUTO_TEST_CASE(removalThatFollowsAListIsApplied)
{
    reader_fixture follower(followerCapacity);
    follower.startFollowing();
    follower.receiveUpdate(10, 11, {addedWorker("w-3", 11)});
    relay(follower, updatesOfList(item_scope::workers, {addedWorker("w-1", 5)}, 12, {"w-2"}));
    follower.receiveUpdate(11, 12, {withRevision(removedItem("w-3"), 12)});
    BOOST_TEST(!isInUse(follower, "w-3"));
}

// Guards against an evacuation that does not end for the same reason: the reader never knew of it.
BOOST_AUTO_TEST_CASE(listOfAWokenReaderDoesNotHideTheEndOfAnEvacuation)
{
    published_item evacuation;
    evacuation.name = "evacuation/near";
    evacuation.evacuatedDomain = "near";
    published_item end = removedItem(evacuation.name);
    end.evacuatedDomain = "near";
    reader_fixture follower(followerCapacity);
    follower.startFollowing();
    relay(follower, {{item_scope::configuration, 10, 11, {withRevision(evacuation, 11)}}});
    BOOST_TEST(!isInUse(follower, "w-1"));
    relay(follower, updatesOfList(item_scope::configuration,
                                  {withRevision(configItem(shopRoutes(2)), 12)}, 13));
    answerCatchUp(follower, item_scope::configuration, 11,
                  pageOf({withRevision(configItem(shopRoutes(2)), 12), withRevision(end, 13)}, 13));
    BOOST_TEST(isInUse(follower, "w-1"));
    BOOST_TEST(follower.gateway->dump(follower.now)["config_version"] == 2);
}

// Guards against a lost removal if the message that told it, the last one of a list that needs
// several, is lost while the earlier ones count as all changes up to their revisions.
BOOST_AUTO_TEST_CASE(partOfAListHidesNoRemoval)
{
    std::vector<published_item> items {addedWorker("w-1", 5)};
    for (unsigned i = 1; i <= 2 * updateItemsMax; ++i)
        items.push_back(addedWorker("n-" + std::to_string(i), 20 + i));
    const std::vector<items_update> updates
        = updatesOfList(item_scope::workers, items, 200, {"w-2"});
    BOOST_REQUIRE(updates.size() > 1U);
    reader_fixture follower(followerCapacity);
    follower.startFollowing();
    relay(follower, {updates.front()});
    const std::uint64_t knownRevision = updates.front().revision;
    follower.receiveUpdate(knownRevision, knownRevision + 1,
                           {addedWorker("w-3", knownRevision + 1)});
    BOOST_TEST(isInUse(follower, "w-3"));
    BOOST_TEST(!isInUse(follower, "w-2"));
}

// Guards against a removal that a list hides because the gateway's own list named an item that was
// added after the revision up to which that list is complete.
BOOST_AUTO_TEST_CASE(listHidesNoRemovalOfAnItemFromALaterPage)
{
    reader_fixture follower(followerCapacity);
    follower.startFollowing();
    relay(follower,
          {{item_scope::workers, 10, 12, {addedWorker("w-3", 11), addedWorker("w-4", 14)}}});
    relay(follower, {{item_scope::workers, 12, 13, {}}});
    BOOST_TEST(isInUse(follower, "w-4"));
    std::vector<items_update> updates
        = makeUpdates(item_scope::workers, {true, {addedWorker("w-1", 5)}, 13, 16}, {"w-3"});
    relay(follower, updates);
    answerCatchUp(
        follower, item_scope::workers, 13,
        pageOf({withRevision(removedItem("w-4"), 15), withRevision(removedItem("w-3"), 16)}, 16));
    BOOST_TEST(!isInUse(follower, "w-3"));
    BOOST_TEST(!isInUse(follower, "w-4"));
}

// Guards against reads of the store by all gateways of the failure domain after each list of a
// reader: a gateway that knows what the reader knew needs none.
BOOST_AUTO_TEST_CASE(listIsAppliedByAGatewayThatKnowsNoLaterChange)
{
    reader_fixture follower(followerCapacity);
    follower.startFollowing();
    relay(follower, updatesOfList(item_scope::workers,
                                  {addedWorker("w-1", 5), addedWorker("w-3", 11)}, 12, {"w-2"}));
    follower.advance(milliseconds(400));
    BOOST_TEST(follower.inFlightRead(item_scope::workers) == nullptr);
    BOOST_TEST(isInUse(follower, "w-3"));
    BOOST_TEST(!isInUse(follower, "w-2"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
