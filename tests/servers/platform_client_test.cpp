#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "servers/platform_client/register_services.h"
#include "tests/servers/transport_fixture.h"
#include "tests/standins/platform_standin/platform_server.h"

namespace almondnotch {

namespace {

struct platform_fixture : transport_fixture
{
    platform_fixture()
    {
        server = platform_server::create(ev::loop_ref(loop->handle().get()), "127.0.0.1:0").value();
        startClient(server->address());
    }

    /// Registers the client with the address of the platform and starts the services.
    void startClient(const std::string &address)
    {
        platform_client_settings settings;
        settings.address = address;
        client = registerPlatformClient(serviceManager, settings).value();
        BOOST_REQUIRE(serviceManager.start());
    }

    void startRead(const read_platform_value &command) { client->readPlatformValue(command); }

    /// Waits until this number of reads has ended. Returns the results of all reads in the order in
    /// which they ended.
    std::vector<platform_value_read_finished> waitForResults(std::size_t count)
    {
        BOOST_REQUIRE(runUntil(
            [&]() { return sink->eventsOfType<platform_value_read_finished>().size() == count; }));
        return sink->eventsOfType<platform_value_read_finished>();
    }

    std::unique_ptr<platform_server> server;
    platform_client *client = nullptr;
};

read_platform_value watch(std::uint64_t id, platform_key key, std::uint64_t after, duration maxWait)
{
    return {read_id(id), key, {}, after, maxWait};
}

} // namespace

// Guards against losing a value, its version, or the information that a key is missing, and against
// a request for a part whose name is not a SHA-256.
BOOST_FIXTURE_TEST_CASE(plain_reads_return_text_and_version, platform_fixture)
{
    const std::string hash(64, 'a');
    BOOST_REQUIRE(server->store().publish("manifest", "version = 7", 7));
    startRead({read_id(1), platform_key::manifest, {}, 0, {}});
    waitForResults(1);
    startRead({read_id(2), platform_key::part, hash, 0, {}});
    waitForResults(2);
    startRead({read_id(3), platform_key::part, "../manifest", 0, {}});
    const std::vector<platform_value_read_finished> ended = waitForResults(3);
    BOOST_REQUIRE(ended[0].value && ended[1].value);
    BOOST_CHECK(ended[0].value->changed && ended[0].value->version == 7);
    BOOST_CHECK_EQUAL(ended[0].value->text, "version = 7");
    BOOST_CHECK_EQUAL(ended[1].value->version, 0U);
    BOOST_CHECK(!ended[2].value && ended[2].value.error().code == error_code::invalid_argument);
}

// Guards against a watch that misses a publication or reports an unchanged value as new.
BOOST_FIXTURE_TEST_CASE(watch_reports_a_change_or_an_unchanged_value, platform_fixture)
{
    BOOST_REQUIRE(server->store().publish("manifest", "version = 1", 1));
    startRead(watch(1, platform_key::manifest, 1, milliseconds(50)));
    startRead(watch(2, platform_key::manifest, 1, seconds(5)));
    const std::vector<platform_value_read_finished> first = waitForResults(1);
    BOOST_REQUIRE(first[0].read == read_id(1) && first[0].value);
    BOOST_CHECK(!first[0].value->changed && first[0].value->version == 1);
    BOOST_REQUIRE(server->store().publish("manifest", "version = 2", 2));
    server->notifyWatches();
    const std::vector<platform_value_read_finished> both = waitForResults(2);
    BOOST_REQUIRE(both[1].value);
    BOOST_CHECK(both[1].value->changed && both[1].value->version == 2);
    BOOST_CHECK_EQUAL(both[1].value->text, "version = 2");
}

// Guards against a VM list that is reported without the version in its document.
BOOST_FIXTURE_TEST_CASE(vm_list_version_is_read_from_the_document, platform_fixture)
{
    BOOST_REQUIRE(server->store().publish("", R"([{"name":"a","state":"live"}])", 4));
    startRead({read_id(1), platform_key::vm_list, {}, 0, {}});
    const std::vector<platform_value_read_finished> ended = waitForResults(1);
    BOOST_REQUIRE(ended[0].value);
    BOOST_CHECK_EQUAL(ended[0].value->version, 4U);
    BOOST_CHECK(ended[0].value->text.find(R"("name":"a")") != std::string::npos);
}

// Guards against taking a truncated, unframed, oversized or unversioned response for a value.
BOOST_AUTO_TEST_CASE(faulty_responses_are_errors)
{
    const std::string version = "Platform-Version: 3\r\n";
    const std::vector<std::pair<std::string, error_code>> responses {
        {"HTTP/1.1 200 OK\r\n" + version + "Content-Length: 9\r\n\r\nhalf",
         error_code::unavailable},
        {"HTTP/1.1 200 OK\r\n" + version + "\r\nunframed", error_code::unavailable},
        {"HTTP/1.1 200 OK\r\n" + version + "Content-Length: 1000001\r\n\r\n",
         error_code::out_of_bounds},
        {"HTTP/1.1 200 OK\r\n" + version + "Transfer-Encoding: chunked\r\n\r\nf4241\r\n"
             + std::string(1'000'001, 'x') + "\r\n0\r\n\r\n",
         error_code::out_of_bounds},
        {framedResponse(200, {}, "x"), error_code::invalid_message},
        {framedResponse(200, {{"Platform-Version", "-1"}}, "x"), error_code::invalid_message},
        {framedResponse(304, {}, ""), error_code::invalid_message},
        {framedResponse(503, {}, ""), error_code::unavailable},
    };
    for (const std::pair<std::string, error_code> &response : responses) {
        transport_fixture fixture;
        http_fake *fakeServer = nullptr;
        const std::unique_ptr<http_fake> fake = fixture.startFakeServer(
            [&](http_fake::connection_id connection, const received_request &) {
                fakeServer->respond(connection, response.first, true);
            });
        fakeServer = fake.get();
        platform_client_settings settings;
        settings.address = fake->address();
        platform_client *client = registerPlatformClient(fixture.serviceManager, settings).value();
        BOOST_REQUIRE(fixture.serviceManager.start());
        client->readPlatformValue({read_id(1), platform_key::manifest, {}, 0, {}});
        BOOST_REQUIRE(fixture.runUntil(
            [&]() { return !fixture.sink->eventsOfType<platform_value_read_finished>().empty(); }));
        const platform_value_read_finished ended
            = fixture.sink->eventsOfType<platform_value_read_finished>().front();
        BOOST_REQUIRE(!ended.value);
        BOOST_CHECK_MESSAGE(ended.value.error().code == response.second,
                            toString(ended.value.error())
                                << " for " << response.first.substr(0, 99));
    }
}

// Guards against a watch that never ends because the platform does not respond, and against a watch
// whose failure is never reported because the platform is down.
BOOST_AUTO_TEST_CASE(unresponsive_and_unreachable_platforms_are_errors)
{
    for (const bool listening : {true, false}) {
        transport_fixture fixture;
        const std::unique_ptr<http_fake> fake
            = fixture.startFakeServer([](http_fake::connection_id, const received_request &) {});
        platform_client_settings settings;
        settings.address = listening ? fake->address() : fixture.closedAddress();
        settings.watchGracePeriod = milliseconds(50);
        platform_client *client = registerPlatformClient(fixture.serviceManager, settings).value();
        BOOST_REQUIRE(fixture.serviceManager.start());
        client->readPlatformValue(watch(1, platform_key::manifest, 1, milliseconds(50)));
        BOOST_REQUIRE(fixture.runUntil(
            [&]() { return !fixture.sink->eventsOfType<platform_value_read_finished>().empty(); }));
        const platform_value_read_finished ended
            = fixture.sink->eventsOfType<platform_value_read_finished>().front();
        BOOST_REQUIRE(!ended.value);
        BOOST_CHECK(ended.value.error().code
                    == (listening ? error_code::timed_out : error_code::unavailable));
    }
}

} // namespace almondnotch
