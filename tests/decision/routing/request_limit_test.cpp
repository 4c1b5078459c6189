#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

/// Length of the intervals in which the requests at a limited worker are counted.
constexpr duration window = seconds(4);
/// In each window, a worker may get this multiple of what its limit allows, and this many requests
/// more.
constexpr double limitTolerance = 1.5;
constexpr double extraRequests = 5;
constexpr double limitPerSecond = 2;

/// A gateway whose workers name limits in their responses. Requests arrive every 20 ms.
template <typename Base>
struct limit_fixture : Base
{
    using Base::Base;

    /// Sends requests for `length`. Each is answered 10 ms after it arrived.
    void sendRequests(duration length)
    {
        for (duration passed {0}; passed < length; passed += milliseconds(20)) {
            this->call("GET", "/read/x");
            const std::vector<start_attempt> started = this->template take<start_attempt>();
            for (const start_attempt &attempt : started)
                sentAt[attempt.workerName].push_back(this->now);
            this->advance(milliseconds(10));
            for (const start_attempt &attempt : started)
                this->answer(attempt);
            for (const start_attempt &attempt : this->template take<start_attempt>()) {
                sentAt[attempt.workerName].push_back(this->now);
                this->answer(attempt);
            }
            this->advance(milliseconds(10));
        }
    }

    /// Largest number of requests that the worker got in any window that ends after `from`.
    std::size_t mostInWindow(const std::string &worker, instant from) const
    {
        const auto found = sentAt.find(worker);
        std::size_t most = 0;
        if (found == sentAt.end())
            return most;
        for (const instant &end : found->second) {
            const auto isInWindow
                = [end](const instant &at) { return at <= end && end - at < window; };
            if (end >= from + window)
                most = std::max(most, static_cast<std::size_t>(std::count_if(
                                          found->second.begin(), found->second.end(), isInWindow)));
        }
        return most;
    }

    std::size_t sentSince(const std::string &worker, instant from)
    {
        const std::vector<instant> &all = sentAt[worker];
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [from](const instant &at) { return at >= from; }));
    }

    std::map<std::string, std::vector<instant>> sentAt;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_limit_suite)

// Guards against more requests at a worker than the limit that it names in its responses allows,
// while others are free.
BOOST_AUTO_TEST_CASE(workerGetsNoMoreThanItsLimit)
{
    limit_fixture<routing_fixture> fixture;
    fixture.becomeReady({workerEntry("w-1", "reads"), workerEntry("w-2", "reads")});
    fixture.requestLimits["w-1"] = limitPerSecond;
    fixture.sendRequests(seconds(1));
    const instant toldAt = fixture.now;
    fixture.sendRequests(seconds(12));
    const double allowed = limitTolerance * limitPerSecond * toSeconds(window) + extraRequests;
    BOOST_TEST(static_cast<double>(fixture.mostInWindow("w-1", toldAt)) <= allowed);
    // The worker must not be left idle either.
    BOOST_TEST(static_cast<double>(fixture.sentSince("w-1", toldAt))
               >= 0.5 * limitPerSecond * toSeconds(seconds(12)));
}

// Guards against gateways that each send the whole limit: nine others may do the same.
BOOST_AUTO_TEST_CASE(gatewaysShareTheLimitOfAWorker)
{
    limit_fixture<reader_fixture> fixture;
    fixture.requestLimits = {{"w-1", limitPerSecond}, {"w-2", limitPerSecond}};
    fixture.sendRequests(seconds(1));
    const instant toldAt = fixture.now;
    for (int second = 0; second < 12; ++second) {
        fixture.receiveDigestsFromOthers();
        fixture.sendRequests(seconds(1));
    }
    const double allowed = limitTolerance * limitPerSecond * toSeconds(window) + extraRequests;
    for (const char *const worker : {"w-1", "w-2"})
        BOOST_TEST(static_cast<double>(fixture.mostInWindow(worker, toldAt))
                   <= allowed / (otherGatewayCount + 1));
}

// Guards against requests that wait for their deadline, or are sent all the same, if all workers of
// their service have reached their limits.
BOOST_AUTO_TEST_CASE(requestsBeyondAllLimitsAreRefusedEarly)
{
    limit_fixture<routing_fixture> fixture;
    fixture.becomeReady({workerEntry("w-1", "reads")});
    fixture.requestLimits["w-1"] = limitPerSecond;
    fixture.sendRequests(seconds(8));
    fixture.take<send_response>();
    const instant sentAt = fixture.now;
    fixture.call("GET", "/read/x");
    fixture.call("GET", "/read/x");
    fixture.call("GET", "/read/x");
    fixture.advance(milliseconds(60));
    const std::vector<send_response> refused = fixture.take<send_response>();
    BOOST_REQUIRE(refused.size() >= 2U);
    for (const send_response &one : refused)
        BOOST_TEST(one.response->status == 503);
    BOOST_TEST(fixture.sentSince("w-1", sentAt) + fixture.take<start_attempt>().size() <= 1U);
}

// Guards against a worker that stays limited although it names a limit no more, or has started
// again.
BOOST_AUTO_TEST_CASE(limitEndsWithTheResponsesThatNameIt)
{
    limit_fixture<routing_fixture> fixture;
    fixture.becomeReady({workerEntry("w-1", "reads")});
    fixture.requestLimits["w-1"] = limitPerSecond;
    fixture.sendRequests(seconds(4));
    fixture.requestLimits.clear();
    // The gateway learns of the end by its next request or probe.
    fixture.sendRequests(seconds(3));
    const instant from = fixture.now;
    fixture.sendRequests(seconds(1));
    BOOST_TEST(fixture.sentSince("w-1", from) == 50U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
