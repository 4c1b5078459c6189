#include <set>

#include <boost/test/unit_test.hpp>

#include "servers/platform_client/register_services.h"
#include "tests/servers/transport_fixture.h"

namespace almondnotch {

namespace {

constexpr duration answerTimeMax = milliseconds(500);

/// Decodes the response of a store without items.
class empty_page_decoder : public item_page_decoder
{
public:
    bool add(std::string_view /*bytes*/) override { return true; }
    result<item_page> finish(const response_reader & /*reader*/) override { return item_page {}; }
};

/// Protocol of a store without items.
class empty_store_protocol : public store_protocol
{
public:
    std::string target(const read_items & /*command*/) const override { return "/items"; }
    std::unique_ptr<item_page_decoder> makeDecoder(const read_items & /*command*/) const override
    {
        return std::make_unique<empty_page_decoder>();
    }
};

/// A client of a store whose connections can go silent for good, while new ones work.
struct silence_fixture : transport_fixture
{
    silence_fixture()
    {
        store = startFakeServer(
            [this](http_fake::connection_id connection, const received_request & /*request*/) {
                used.insert(connection);
                if (!silent.contains(connection))
                    store->respond(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            });
        platform_client_settings settings;
        settings.address = store->address();
        client = registerPlatformClient(serviceManager, settings, &protocol).value();
        BOOST_REQUIRE(serviceManager.start());
    }

    /// Sends reads at the same time. \return true if all are answered soon.
    bool areAnswered(unsigned count, bool needsNewConnection = false)
    {
        sink->received.clear();
        for (unsigned i = 0; i < count; ++i) {
            read_items command;
            command.needsNewConnection = needsNewConnection;
            client->readItems(command);
        }
        return runUntil([&]() { return sink->eventsOfType<items_read_finished>().size() == count; },
                        answerTimeMax);
    }

    empty_store_protocol protocol;
    std::unique_ptr<http_fake> store;
    platform_client *client = nullptr;
    std::set<http_fake::connection_id> used;
    std::set<http_fake::connection_id> silent;
};

} // namespace

// Guards against reads on idle connections that have gone silent together with the one on which a
// read was lost.
BOOST_FIXTURE_TEST_CASE(reads_avoid_connections_that_may_be_dead, silence_fixture)
{
    BOOST_REQUIRE(areAnswered(3));
    BOOST_REQUIRE(used.size() == 3U);
    silent = used;
    BOOST_TEST(!areAnswered(1));
    BOOST_TEST(areAnswered(1, true));
    // Neither do later reads use the two connections that are left, soon afterwards or later.
    for (unsigned second = 0; second < 4; ++second) {
        BOOST_TEST(areAnswered(3));
        runFor(seconds(1));
    }
    // Connections that were opened afterwards are reused.
    const std::size_t openedCount = used.size();
    BOOST_TEST(areAnswered(2));
    BOOST_TEST(used.size() == openedCount);
}

} // namespace almondnotch
