#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "servers/platform_client/register_services.h"
#include "tests/servers/transport_fixture.h"

namespace almondnotch {

namespace {

constexpr duration itemsTimeLimit = milliseconds(300);
constexpr std::size_t neededBytesMax = 100'000;

/// Needs this many bytes, and counts them as the revision of the page.
class counting_decoder : public item_page_decoder
{
public:
    bool add(std::string_view bytes) override
    {
        m_page.revision += bytes.size();
        m_page.changesTooLarge = m_page.revision > neededBytesMax;
        return !m_page.changesTooLarge;
    }

    result<item_page> finish(const response_reader & /*reader*/) override { return m_page; }

private:
    item_page m_page;
};

class counting_protocol : public store_protocol
{
public:
    std::string target(const read_items & /*command*/) const override { return "/items"; }
    std::unique_ptr<item_page_decoder> makeDecoder(const read_items & /*command*/) const override
    {
        return std::make_unique<counting_decoder>();
    }
};

/// A client of a store that writes parts of its response at intervals.
struct items_fixture : transport_fixture
{
    items_fixture()
    {
        store = startFakeServer([this](http_fake::connection_id id, const received_request &) {
            connection = id;
            writer = std::make_unique<timer_watcher>(*loop, [this]() { writePart(); });
            writer->startRepeating(milliseconds(50));
        });
        platform_client_settings settings;
        settings.address = store->address();
        settings.itemsTimeLimit = itemsTimeLimit;
        client = registerPlatformClient(serviceManager, settings, &protocol).value();
        BOOST_REQUIRE(serviceManager.start());
    }

    void writePart()
    {
        if (written < parts.size())
            store->write(connection, parts[written++]);
        else if (endsConnection)
            store->close(connection);
    }

    /// Reads a response that arrives in these parts.
    result<item_page> read(std::vector<std::string> responseParts)
    {
        parts = std::move(responseParts);
        written = 0;
        sink->received.clear();
        client->readItems({});
        BOOST_REQUIRE(
            runUntil([&]() { return !sink->eventsOfType<items_read_finished>().empty(); }));
        writer.reset();
        return sink->eventsOfType<items_read_finished>().front().page;
    }

    counting_protocol protocol;
    std::unique_ptr<http_fake> store;
    platform_client *client = nullptr;
    http_fake::connection_id connection = 0;
    std::vector<std::string> parts;
    std::size_t written = 0;
    /// The store closes the connection after the last part.
    bool endsConnection = false;
    std::unique_ptr<timer_watcher> writer;
};

std::string head(std::size_t bodyBytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace

// Guards against ending a read whose response takes longer than the time limit while it arrives.
BOOST_FIXTURE_TEST_CASE(arriving_response_is_read_to_its_end, items_fixture)
{
    std::vector<std::string> slow {head(20)};
    slow.resize(21, "x");
    const result<item_page> page = read(slow);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->revision == 20U);
    BOOST_TEST(sink->eventsOfType<items_read_progress>().size() >= 3U);
    BOOST_TEST(sink->eventsOfType<items_read_progress>().size() <= 11U);
}

// Guards against waiting for a response that does not begin, or does not go on.
BOOST_FIXTURE_TEST_CASE(response_that_stops_is_an_error, items_fixture)
{
    for (const std::vector<std::string> &stopped :
         {std::vector<std::string> {}, std::vector<std::string> {head(20), "x"}}) {
        const instant sentAt = loop->now();
        const result<item_page> page = read(stopped);
        BOOST_REQUIRE(!page.has_value());
        BOOST_TEST((page.error().code == error_code::timed_out));
        BOOST_TEST((loop->now() - sentAt >= itemsTimeLimit));
        BOOST_TEST((loop->now() - sentAt < seconds(2)));
    }
}

// Guards against a list that waits for the end of a watch before it is given up.
BOOST_FIXTURE_TEST_CASE(silent_list_is_an_error_beside_a_watch, items_fixture)
{
    read_items watch;
    watch.read = read_id(1);
    watch.afterRevision = 1;
    watch.wait = seconds(20);
    client->readItems(watch);
    runFor(milliseconds(50));
    const instant sentAt = loop->now();
    const result<item_page> page = read({});
    BOOST_REQUIRE(!page.has_value());
    BOOST_TEST((page.error().code == error_code::timed_out));
    BOOST_TEST((loop->now() - sentAt < seconds(1)));
}

// Guards against taking a truncated response for a whole one.
BOOST_FIXTURE_TEST_CASE(truncated_response_of_items_is_an_error, items_fixture)
{
    endsConnection = true;
    BOOST_TEST(!read({head(20) + "x"}).has_value());
}

// Guards against reading on when the decoder needs no more bytes.
BOOST_FIXTURE_TEST_CASE(response_is_read_as_far_as_it_is_needed, items_fixture)
{
    const result<item_page> page
        = read({head(1'000'000'000), std::string(2 * neededBytesMax, 'x')});
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->changesTooLarge);
    BOOST_TEST(page->revision < 2 * neededBytesMax);
}

} // namespace almondnotch
