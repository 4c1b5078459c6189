#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/routing_fixture.h"

namespace almondnotch {

namespace {

/// Length of the intervals in which the requests at a limited worker are counted.
constexpr duration window = seconds(4);
/// In each window, a worker may get this multiple of what its limit allows, and this many requests
/// more.
constexpr double limitTolerance = 1.5;
constexpr double extraRequests = 5;
constexpr double limitPerSecond = 2;

/// Largest number of requests in any window that begins after `from`.
/// \param sentAt times at which the requests were sent, in ascending order.
std::size_t mostInWindow(const std::vector<instant> &sentAt, instant from)
{
    std::size_t most = 0;
    for (auto first = sentAt.begin(); first != sentAt.end(); ++first) {
        const auto last = std::lower_bound(first, sentAt.end(), *first + window);
        if (*first >= from)
            most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::size_t countSince(const std::vector<instant> &sentAt, instant from)
{
    return static_cast<std::size_t>(sentAt.end()
                                    - std::lower_bound(sentAt.begin(), sentAt.end(), from));
}

/// A gateway whose workers name limits in their responses. Requests arrive every 20 ms.
struct limit_fixture : routing_fixture
{
    using routing_fixture::routing_fixture;

    /// Sends requests for `length`. Each is answered 10 ms after it arrived.
    void sendRequests(duration length)
    {
        for (duration passed {0}; passed < length; passed += milliseconds(20)) {
            call("GET", "/read/x");
            const std::vector<start_attempt> started = take<start_attempt>();
            for (const start_attempt &attempt : started)
                sentAt[attempt.workerName].push_back(now);
            advance(milliseconds(10));
            for (const start_attempt &attempt : started)
                answer(attempt);
            for (const start_attempt &attempt : take<start_attempt>()) {
                sentAt[attempt.workerName].push_back(now);
                answer(attempt);
            }
            advance(milliseconds(10));
        }
    }

    std::map<std::string, std::vector<instant>> sentAt;
};

/// Gateways of one failure domain that know each other and serve the same workers.
class gateway_fleet
{
public:
    /// \param workerCount number of workers, `w-1` and so on.
    explicit gateway_fleet(unsigned count, unsigned workerCount = 2)
    {
        std::vector<published_worker> workers;
        for (unsigned i = 1; i <= workerCount; ++i)
            workers.push_back(workerEntry("w-" + std::to_string(i), "reads"));
        for (unsigned i = 0; i < count; ++i) {
            routing_settings settings = localGatewaySettings(i + 1);
            settings.peers.self = {"vm-" + std::to_string(i), 1};
            m_gateways.push_back(std::make_unique<limit_fixture>(settings));
            m_gateways.back()->becomeReady(workers);
        }
    }

    void setLimits(const std::map<std::string, double> &limits)
    {
        for (const std::unique_ptr<limit_fixture> &gateway : m_gateways)
            gateway->requestLimits = limits;
    }

    /// From now on, gateway i does not learn of gateway i + 1.
    void hideNeighbours() { m_hidesNeighbours = true; }

    /// Lets `length` pass without requests. The gateways receive digests of the others each second.
    void rest(duration length)
    {
        for (duration passed {0}; passed < length; passed += seconds(1)) {
            for (const std::unique_ptr<limit_fixture> &gateway : m_gateways) {
                receiveDigests(*gateway);
                gateway->advance(seconds(1));
            }
        }
    }

    /// Lets each gateway receive requests for `length`, and digests of the others each second.
    void sendRequests(duration length)
    {
        for (duration passed {0}; passed < length; passed += seconds(1)) {
            for (const std::unique_ptr<limit_fixture> &gateway : m_gateways) {
                receiveDigests(*gateway);
                gateway->sendRequests(seconds(1));
            }
        }
    }

    instant now() const { return m_gateways.front()->now; }

    /// Times at which the worker got requests from any of the gateways, in ascending order.
    std::vector<instant> sentAt(const std::string &worker) const
    {
        std::vector<instant> out;
        for (const std::unique_ptr<limit_fixture> &gateway : m_gateways) {
            const std::vector<instant> &sent = gateway->sentAt[worker];
            out.insert(out.end(), sent.begin(), sent.end());
        }
        std::sort(out.begin(), out.end());
        return out;
    }

private:
    void receiveDigests(limit_fixture &gateway) const
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            const std::size_t previous = (i + m_gateways.size() - 1) % m_gateways.size();
            const bool isHidden = m_hidesNeighbours && m_gateways[previous].get() == &gateway;
            const fleet_digest digest
                = localDigest("vm-" + std::to_string(i), static_cast<unsigned>(i));
            if (m_gateways[i].get() != &gateway && !isHidden)
                gateway.handle(peer_message_received {digest.self.process, digest});
        }
    }

    bool m_hidesNeighbours = false;

    std::vector<std::unique_ptr<limit_fixture>> m_gateways;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_limit_suite)

// Guards against more requests at a worker than the limit that it names in its responses allows,
// while others are free.
BOOST_AUTO_TEST_CASE(workerGetsNoMoreThanItsLimit)
{
    limit_fixture fixture;
    fixture.becomeReady({workerEntry("w-1", "reads"), workerEntry("w-2", "reads")});
    fixture.requestLimits["w-1"] = limitPerSecond;
    fixture.sendRequests(seconds(1));
    const instant toldAt = fixture.now;
    fixture.sendRequests(seconds(12));
    const double allowed = limitTolerance * limitPerSecond * toSeconds(window) + extraRequests;
    BOOST_TEST(static_cast<double>(mostInWindow(fixture.sentAt["w-1"], toldAt)) <= allowed);
    // The worker must not be left idle either.
    BOOST_TEST(static_cast<double>(countSince(fixture.sentAt["w-1"], toldAt))
               >= 0.5 * limitPerSecond * toSeconds(seconds(12)));
}

// Guards against gateways that together send more than the limit, for example because each of them
// sends the whole limit.
BOOST_AUTO_TEST_CASE(gatewaysShareTheLimitOfAWorker)
{
    for (const double limit : {0.5, limitPerSecond, 10.0}) {
        gateway_fleet fleet(10);
        fleet.setLimits({{"w-1", limit}, {"w-2", limit}});
        // The gateways learn of each other and of the limits.
        fleet.sendRequests(seconds(4));
        const instant toldAt = fleet.now();
        fleet.sendRequests(seconds(16));
        const double allowed = limitTolerance * limit * toSeconds(window) + extraRequests;
        for (const char *const worker : {"w-1", "w-2"}) {
            const std::vector<instant> sent = fleet.sentAt(worker);
            BOOST_TEST(static_cast<double>(mostInWindow(sent, toldAt)) <= allowed);
            BOOST_TEST(static_cast<double>(countSince(sent, toldAt))
                       >= 0.5 * limit * toSeconds(seconds(16)));
        }
    }
}

// Guards against more requests at a worker than its limit allows if the gateways know different
// sets of each other, so that more of them than planned use the worker, and all of them have saved
// requests.
BOOST_AUTO_TEST_CASE(limitHoldsIfGatewaysKnowDifferentPeers)
{
    constexpr unsigned workerCount = 8;
    for (const double limit : {0.5, 1.0, 2.5, 4.0}) {
        gateway_fleet fleet(12, workerCount);
        fleet.hideNeighbours();
        std::map<std::string, double> limits;
        for (unsigned i = 1; i <= workerCount; ++i)
            limits["w-" + std::to_string(i)] = limit;
        fleet.setLimits(limits);
        fleet.sendRequests(seconds(6));
        const instant toldAt = fleet.now();
        fleet.rest(seconds(8));
        fleet.sendRequests(seconds(6));
        const double allowed = limitTolerance * limit * toSeconds(window) + extraRequests;
        for (const std::pair<const std::string, double> &worker : limits) {
            const std::vector<instant> sent = fleet.sentAt(worker.first);
            BOOST_TEST(static_cast<double>(mostInWindow(sent, toldAt)) <= allowed);
        }
    }
}

// Guards against requests that wait for their deadline, or are sent all the same, if all workers of
// their service have reached their limits.
BOOST_AUTO_TEST_CASE(requestsBeyondAllLimitsAreRefusedEarly)
{
    limit_fixture fixture;
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
    BOOST_TEST(countSince(fixture.sentAt["w-1"], sentAt) + fixture.take<start_attempt>().size()
               <= 1U);
}

// Guards against a worker that stays limited although it names a limit no more, or has started
// again.
BOOST_AUTO_TEST_CASE(limitEndsWithTheResponsesThatNameIt)
{
    limit_fixture fixture;
    fixture.becomeReady({workerEntry("w-1", "reads")});
    fixture.requestLimits["w-1"] = limitPerSecond;
    fixture.sendRequests(seconds(4));
    fixture.requestLimits.clear();
    // The gateway learns of the end by its next request or probe.
    fixture.sendRequests(seconds(3));
    const instant from = fixture.now;
    fixture.sendRequests(seconds(1));
    BOOST_TEST(countSince(fixture.sentAt["w-1"], from) == 50U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
