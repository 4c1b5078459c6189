#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

published_item unusableItem(const std::string &name, std::uint64_t revision)
{
    published_item item;
    item.name = name;
    item.revision = revision;
    item.fault = "expected a worker entry";
    return item;
}

item_page pageOf(std::vector<published_item> items, std::uint64_t revision)
{
    item_page page;
    page.items = std::move(items);
    page.revision = revision;
    return page;
}

} // namespace

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
