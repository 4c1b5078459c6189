#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "servers/event_loop/register_services.h"
#include "servers/http_entry/register_services.h"
#include "tests/servers/loop_driver.h"
#include "tests/servers/raw_client.h"

namespace almondnotch {

/// Service "decision" of a test: records the events that the entry delivers.
class recording_sink : public event_sink
{
public:
    result<void> start(service_manager & /*owner*/) override { return {}; }
    void stop() override { }
    void deliver(event input) override
    {
        events.push_back(std::move(input));
        if (onEvent)
            onEvent();
    }

    std::vector<event> events;
    std::function<void()> onEvent;
};

/// A `http_entry` on a loopback port with small limits.
struct entry_fixture
{
    explicit entry_fixture(const entry_settings &settings = defaultSettings())
    {
        loop = *registerEventLoop(serviceManager);
        std::unique_ptr<recording_sink> created = std::make_unique<recording_sink>();
        sink = created.get();
        BOOST_REQUIRE(serviceManager.add("decision", start_level::decisions, std::move(created)));
        entry = *registerHttpEntry(serviceManager, settings);
        BOOST_REQUIRE(serviceManager.start());
    }
    entry_fixture(const entry_fixture &) = delete;
    entry_fixture &operator=(const entry_fixture &) = delete;

    static entry_settings defaultSettings()
    {
        entry_settings settings;
        settings.address = "127.0.0.1:0";
        settings.receiveTimeMax = milliseconds(300);
        settings.bodyBytesMax = 65536;
        settings.heldBodyBytesMax = 102400;
        settings.heldResponseBytesMax = std::size_t {8} * 1024 * 1024;
        return settings;
    }

    bool waitForEvents(std::size_t count)
    {
        return runUntil(*loop, [this, count] { return sink->events.size() >= count; });
    }

    bool waitForResponse(raw_client &client, bool isHeadRequest = false)
    {
        return runUntil(*loop,
                        [&client, isHeadRequest] { return client.hasResponse(isHeadRequest); });
    }

    const call_received &call(std::size_t index)
    {
        return std::get<call_received>(sink->events.at(index));
    }

    void respond(std::size_t index, call_response response, bool close = false)
    {
        entry->sendResponse(
            {call(index).call, std::make_shared<const call_response>(std::move(response)), close});
    }

    /// Sends a request that must not be delivered as a call.
    /// \return the status of its response.
    int statusOf(const std::string &request)
    {
        raw_client client(entry->port());
        client.send(request);
        BOOST_TEST(waitForResponse(client));
        BOOST_TEST(sink->events.empty());
        lastResponse = client.received();
        return client.status();
    }

    std::uint64_t refusedCount(const std::string &reason)
    {
        return entry->counters().value("entry_refused_total{reason=\"" + reason + "\"}");
    }

    service_manager serviceManager;
    event_loop *loop = nullptr;
    recording_sink *sink = nullptr;
    http_entry *entry = nullptr;
    /// What the last client of `statusOf` has received.
    std::string lastResponse;
};

inline std::string getRequest(const std::string &path, const std::string &fields = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

} // namespace almondnotch
