#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/gateway/gateway_fixture.h"

namespace almondnotch {

namespace {

constexpr std::uint64_t fatalRequest = 77;
constexpr unsigned recordCount = 100;

/// A digest of another gateway of the configuration.
fleet_digest digestOfOther()
{
    fleet_digest digest;
    digest.self.process = {"vm-1", 1};
    digest.self.failureDomain = "z1";
    digest.self.entryAddress = "10.0.0.2:80";
    digest.self.peerAddress = "10.0.0.2:90";
    return digest;
}

/// Delivers a digest with these records.
void tell(gateway_fixture &fixture, std::vector<worker_drain> drains,
          std::vector<crash_record> crashes)
{
    fleet_digest digest = digestOfOther();
    digest.drains = std::move(drains);
    digest.crashes = std::move(crashes);
    fixture.handle(peer_message_received {digest.self.process, digest});
}

/// The digests that the gateway sends by itself in the next second.
std::vector<fleet_digest> nextDigests(gateway_fixture &fixture)
{
    tell(fixture, {}, {});
    fixture.take<send_peer_message>();
    fixture.advance(seconds(1));
    std::vector<fleet_digest> digests;
    for (const send_peer_message &sent : fixture.take<send_peer_message>()) {
        const fleet_digest *digest = std::get_if<fleet_digest>(&sent.message);
        if (digest != nullptr && digest->replyRequested)
            digests.push_back(*digest);
    }
    return digests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_records_suite)

// Guards against gateways that are started again and pass on a request that crashes workers,
// because after other crashes nobody tells them of it.
BOOST_AUTO_TEST_CASE(quarantined_request_is_told_first)
{
    gateway_fixture fixture;
    tell(fixture, {}, {{fatalRequest, "w-0", seconds(100)}, {fatalRequest, "w-1", seconds(100)}});
    for (std::uint64_t request = 0; request < recordCount; ++request)
        tell(fixture, {}, {{1000 + request, "w-2", duration {0}}});
    fixture.advance(seconds(1));
    const std::vector<fleet_digest> digests = nextDigests(fixture);
    BOOST_TEST(!digests.empty());
    for (const fleet_digest &digest : digests) {
        BOOST_TEST(digest.crashes.size() == digestRecordsMax);
        BOOST_TEST(std::count_if(digest.crashes.begin(), digest.crashes.end(),
                                 [](const crash_record &record) {
                                     return record.requestDigest == fatalRequest;
                                 })
                   == 2);
    }
}

// Guards against workers that drain and get calls from gateways that were started again, because
// other workers began to drain later.
BOOST_AUTO_TEST_CASE(drains_of_many_workers_take_turns)
{
    gateway_fixture fixture;
    for (unsigned worker = 0; worker < recordCount; ++worker)
        tell(fixture, {{"d-" + std::to_string(worker), seconds(recordCount - worker)}}, {});
    std::set<std::string> told;
    for (unsigned i = 0; i < 8; ++i) {
        for (const fleet_digest &digest : nextDigests(fixture)) {
            for (const worker_drain &drain : digest.drains)
                told.insert(drain.worker);
        }
    }
    BOOST_TEST(told.size() == recordCount);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
