#include <algorithm>
#include <map>
#include <stdexcept>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/routing_fixture.h"

namespace almondnotch {

namespace {

constexpr duration drainTimeout = seconds(6);
/// Requests that arrive within this time after the drain began may be broken off at its end.
constexpr duration earlyArrivalMax = seconds(3);

route_config longRoutes()
{
    route_config config = shopRoutes(1);
    for (host_route &route : config.routes) {
        route.latencyObjective = seconds(1);
        route.timeout = seconds(3);
    }
    return config;
}

routing_settings drainSettings()
{
    routing_settings settings = localGatewaySettings();
    settings.drainTimeout = drainTimeout;
    return settings;
}

/// A gateway with one worker for each service and a drain timeout of `drainTimeout`.
struct drain_fixture : routing_fixture
{
    drain_fixture() : routing_fixture(drainSettings())
    {
        loads["w-1"] = load_report {0, 0, 20};
        loads["b-1"] = load_report {0, 0, 200};
        becomeReady({workerEntry("w-1", "reads"), workerEntry("b-1", "books")}, longRoutes());
    }

    /// Begins the drain and lets `passed` elapse. Short reads keep the gateway from exiting early.
    void beginDrain(duration passed)
    {
        drainBegan = now;
        handle(drain_requested {});
        while (now < drainBegan + passed) {
            call("GET", "/read/x", milliseconds(900));
            advance(std::min<duration>(milliseconds(300), drainBegan + passed - now));
        }
        take<start_attempt>();
        take<cancel_attempt>();
        take<send_response>();
    }

    /// Response to a request. Responses to other requests are dropped.
    send_response responseTo(call_id call)
    {
        const std::vector<send_response> all = take<send_response>();
        const auto found
            = std::find_if(all.begin(), all.end(),
                           [call](const send_response &response) { return response.call == call; });
        if (found == all.end())
            throw std::runtime_error("the request got no response");
        return *found;
    }

    /// Sends a booking that is attempted at once. \return its status if its worker answers with 200
    /// after `work`.
    int statusOfBooking(duration timeLimit, duration work)
    {
        const call_id booking = call("POST", "/book/1", timeLimit);
        const start_attempt attempt = takeOne<start_attempt>();
        advance(work);
        answer(attempt);
        return responseTo(booking).response->status;
    }

    instant drainBegan;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(drain_suite, drain_fixture)

// Guards against bookings that arrive late in the drain, are passed on, and are broken off with no
// answer at its end.
BOOST_AUTO_TEST_CASE(lateRequestThatMayNotEndInTimeIsRefused)
{
    beginDrain(milliseconds(3200));
    const call_id booking = call("POST", "/book/1", milliseconds(2500));
    BOOST_TEST(take<start_attempt>().empty());
    const send_response refused = responseTo(booking);
    BOOST_TEST(refused.response->status == 503);
    BOOST_TEST((refused.response->outcome == call_outcome::not_run));
    BOOST_TEST(refused.closeConnection);
}

// Guards against refusing late requests that end before the drain does in any case.
BOOST_AUTO_TEST_CASE(lateRequestThatEndsInTimeIsServed)
{
    beginDrain(milliseconds(4500));
    BOOST_TEST(statusOfBooking(milliseconds(600), milliseconds(300)) == 200);
}

// Guards against ending a request early although its worker still has time to answer.
BOOST_AUTO_TEST_CASE(earlyRequestIsServedUntilTheEndOfTheDrain)
{
    beginDrain(milliseconds(2500));
    BOOST_TEST(statusOfBooking(seconds(3), milliseconds(2700)) == 200);
}

// Guards against breaking off requests that arrived late, whatever their deadlines are.
BOOST_AUTO_TEST_CASE(onlyEarlyRequestsAreBrokenOff)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        drain_fixture fixture;
        fixture.beginDrain(duration {0});
        random_source random(seed);
        std::map<call_id, instant> arrivedAt;
        while (fixture.take<exit_process>().empty()) {
            const duration timeLimit = milliseconds(50 + random.below(2950));
            const call_id call = fixture.call("POST", "/book/1", timeLimit);
            arrivedAt.emplace(call, fixture.now);
            fixture.advance(milliseconds(20));
        }
        for (const send_response &response : fixture.take<send_response>()) {
            const bool isLate = arrivedAt.at(response.call) > fixture.drainBegan + earlyArrivalMax;
            BOOST_TEST((response.response->status != 502 || !isLate));
        }
    }
}

// Guards against requests that are read while the process exits and get no response.
BOOST_AUTO_TEST_CASE(requestDuringTheExitIsRefused)
{
    beginDrain(drainTimeout);
    BOOST_REQUIRE(take<exit_process>().size() == 1U);
    call("POST", "/book/1", milliseconds(100));
    BOOST_TEST(takeOne<send_response>().response->status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
