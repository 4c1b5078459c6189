#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/service_manager.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/register_services.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/service_interfaces.h"
#include "tests/standins/http_fake/http_fake.h"

namespace almondnotch {

/// Service "decision" that records the events delivered to it.
class recording_sink : public event_sink
{
public:
    result<void> start(service_manager & /*owner*/) override { return {}; }
    void stop() override { }
    void deliver(event input) override { received.push_back(std::move(input)); }

    /// All recorded events of one type, in the order of their arrival.
    template <typename Event>
    std::vector<Event> eventsOfType() const
    {
        std::vector<Event> out;
        for (const event &input : received) {
            if (std::holds_alternative<Event>(input))
                out.push_back(std::get<Event>(input));
        }
        return out;
    }

    std::vector<event> received;
};

/// A service manager with an event loop and a recording service "decision", to which a test adds
/// the transport under test.
struct transport_fixture
{
    transport_fixture()
    {
        loop = registerEventLoop(serviceManager).value();
        std::unique_ptr<recording_sink> recorder = std::make_unique<recording_sink>();
        sink = recorder.get();
        BOOST_REQUIRE(serviceManager.add("decision", start_level::decisions, std::move(recorder)));
    }

    ~transport_fixture() { serviceManager.stop(); }

    /// Runs the loop until the condition holds. \return false if it does not hold within the time
    /// limit.
    bool runUntil(const std::function<bool()> &condition, duration limit = seconds(10))
    {
        const instant end = loop->now() + limit;
        bool stopping = false;
        timer_watcher poll(*loop, [&]() {
            // A second stop request would stay in the queue of the loop and end the next run at
            // once.
            if (stopping || (!condition() && end - loop->now() > duration(0)))
                return;
            stopping = true;
            loop->requestStop();
        });
        poll.startRepeating(milliseconds(1));
        loop->run();
        return condition();
    }

    void runFor(duration length)
    {
        runUntil([]() { return false; }, length);
    }

    /// Starts a fake HTTP server on a loopback port.
    std::unique_ptr<http_fake> startFakeServer(http_fake::request_handler handler)
    {
        return http_fake::create(ev::loop_ref(loop->handle().get()), "127.0.0.1:0",
                                 std::move(handler))
            .value();
    }

    /// An address on which no process listens.
    std::string closedAddress()
    {
        return startFakeServer([](http_fake::connection_id, const received_request &) {})
            ->address();
    }

    service_manager serviceManager;
    event_loop *loop = nullptr;
    recording_sink *sink = nullptr;
};

} // namespace almondnotch
