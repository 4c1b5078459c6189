#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

/// Time within which a change must be in force, see `store_silence_test.cpp`.
constexpr duration changeTimeMax = seconds(2);

published_item unusableItem(const std::string &name, std::uint64_t revision)
{
    published_item item;
    item.name = name;
    item.revision = revision;
    item.fault = "expected a worker entry";
    return item;
}

std::size_t logCount(const std::vector<write_log> &logs, const std::string &message)
{
    return static_cast<std::size_t>(
        std::count_if(logs.begin(), logs.end(),
                      [&message](const write_log &log) { return log.message == message; }));
}

} // namespace

// Guards against relaying, advertising and logging an item that cannot be used each time that it is
// written.
BOOST_AUTO_TEST_CASE(rewrittenUnusableItemIsNoChange)
{
    reader_fixture fixture(100);
    fixture.takeSent<items_update>();
    fixture.take<write_log>();
    fixture.answerRead(item_scope::workers, pageOf({unusableItem("odd", 20)}, 20));
    BOOST_TEST(fixture.takeSent<items_update>().size() == 9U);
    BOOST_TEST(logCount(fixture.take<write_log>(), "An item of the store is invalid.") == 1U);
    for (std::uint64_t revision = 21; revision < 30; ++revision) {
        fixture.advance(seconds(1));
        fixture.receiveDigestsFromOthers();
        fixture.answerRead(item_scope::workers, pageOf({unusableItem("odd", revision)}, revision));
    }
    fixture.advance(seconds(1));
    for (const send_peer_message &command : fixture.take<send_peer_message>()) {
        BOOST_TEST(!std::holds_alternative<items_update>(command.message));
        const reader_report *report = std::get_if<reader_report>(&command.message);
        BOOST_TEST((report == nullptr || report->workersRevision == 20U));
    }
    BOOST_TEST(logCount(fixture.take<write_log>(), "An item of the store is invalid.") == 0U);
    // What is written next covers the revisions that were not told.
    fixture.answerRead(item_scope::workers,
                       pageOf({withRevision(workerItem(workerEntry("odd", "reads")), 31)}, 31));
    const std::vector<items_update> updates = fixture.takeSent<items_update>();
    BOOST_REQUIRE(!updates.empty());
    BOOST_TEST(updates[0].afterRevision == 20U);
    BOOST_TEST(updates[0].revision == 31U);
    // That the item cannot be used any more is a change.
    fixture.advance(seconds(1));
    fixture.answerRead(item_scope::workers, pageOf({unusableItem("odd", 32)}, 32));
    BOOST_TEST(fixture.takeSent<items_update>().size() == 9U);
    BOOST_TEST(logCount(fixture.take<write_log>(), "An item of the store is invalid.") == 1U);
}

// Guards against the same for an item that was written many times before the watch that tells of
// it.
BOOST_AUTO_TEST_CASE(unusableItemIsToldOnceInABatch)
{
    reader_fixture fixture(100);
    fixture.takeSent<items_update>();
    fixture.take<write_log>();
    std::vector<published_item> written;
    for (std::uint64_t revision = 20; revision < 120; ++revision)
        written.push_back(unusableItem("odd", revision));
    written.push_back(withRevision(workerItem(workerEntry("odd", "reads")), 120));
    written.push_back(unusableItem("odd", 121));
    fixture.answerRead(item_scope::workers, pageOf(written, 121));
    const std::vector<items_update> updates = fixture.takeSent<items_update>();
    BOOST_REQUIRE_EQUAL(updates.size(), 9U);
    BOOST_TEST(updates[0].items.size() == 3U);
    BOOST_TEST(updates[0].revision == 121U);
    BOOST_TEST(logCount(fixture.take<write_log>(), "An item of the store is invalid.") == 2U);
}

// Guards against reading the configuration's scope each time that an item of no meaning is written
// to it.
BOOST_AUTO_TEST_CASE(watchesOfItemsThatSayNothingArePaced)
{
    reader_fixture fixture(100);
    item_page page = pageOf({}, 20);
    page.ignoredCount = 1;
    unsigned watches = 0;
    const instant end = fixture.now + seconds(10);
    while (fixture.now < end) {
        if (fixture.inFlightRead(item_scope::configuration) != nullptr) {
            ++watches;
            ++page.revision;
            fixture.answerRead(item_scope::configuration, page);
        }
        fixture.advance(milliseconds(10));
    }
    BOOST_TEST(watches <= 22U);
    // A configuration is still read in time.
    const instant written = fixture.now;
    while (fixture.inFlightRead(item_scope::configuration) == nullptr)
        fixture.advance(milliseconds(10));
    BOOST_TEST((fixture.now - written < changeTimeMax));
}

// Guards against a message to each gateway of the failure domain that holds a large configuration.
BOOST_AUTO_TEST_CASE(configurationWithLongTextsIsOnlyAdvertised)
{
    reader_fixture fixture(100);
    fixture.advance(seconds(1));
    route_config config = shopRoutes(2);
    config.routes[0].prefix = "/" + std::string(900'000, 'x') + "/";
    fixture.takeSent<items_update>();
    fixture.answerRead(item_scope::configuration,
                       pageOf({withRevision(configItem(config), 20)}, 20));
    BOOST_TEST(fixture.gateway->dump(fixture.now)["config_version"] == 2);
    fixture.advance(milliseconds(100));
    bool isAdvertised = false;
    for (const send_peer_message &command : fixture.take<send_peer_message>()) {
        BOOST_TEST(!std::holds_alternative<items_update>(command.message));
        const reader_report *report = std::get_if<reader_report>(&command.message);
        isAdvertised = isAdvertised || (report != nullptr && report->configurationRevision == 20U);
    }
    BOOST_TEST(isAdvertised);
}

// Guards against a watch whose changes are too large that is repeated, or followed by others
// without a pause.
BOOST_AUTO_TEST_CASE(tooLargeChangesAreListed)
{
    reader_fixture fixture(100);
    item_page tooLarge;
    tooLarge.changesTooLarge = true;
    fixture.answerRead(item_scope::workers, tooLarge);
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 0U);
    fixture.answerRead(
        item_scope::workers,
        pageOf({workerItem(workerEntry("w-1", "reads")), unusableItem("odd", 19)}, 20));
    BOOST_TEST((fixture.inFlightRead(item_scope::workers) == nullptr));
    fixture.advance(milliseconds(1100));
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 20U);
    fixture.expectReadsAt("w-1", 5);
}

// Guards against giving up a watch whose response is still arriving.
BOOST_AUTO_TEST_CASE(arrivingResponseIsAwaited)
{
    reader_fixture fixture(100);
    const read_id watch = fixture.inFlightRead(item_scope::workers)->read;
    for (unsigned i = 0; i < 50; ++i) {
        fixture.advance(milliseconds(100));
        fixture.handle(items_read_progress {watch});
    }
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST((fixture.inFlightRead(item_scope::workers)->read == watch));
    fixture.answerRead(item_scope::workers, pageOf({withRevision(removedItem("w-1"), 20)}, 20));
    fixture.expectReadsAt("w-2", 5);
    // The response took long, so that the next watch follows at once.
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 20U);
    // One whose response stops to arrive is given up.
    fixture.handle(items_read_progress {fixture.inFlightRead(item_scope::workers)->read});
    fixture.advance(seconds(5));
    BOOST_REQUIRE(fixture.inFlightRead(item_scope::workers) != nullptr);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->afterRevision == 0U);
}

} // namespace almondnotch
