#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/calls/quarantine_table.h"
#include "tests/decision/routing/routing_fixture.h"

namespace almondnotch {

namespace {

constexpr duration step = milliseconds(10);
/// Time after which a process that has started has to know what the others know.
constexpr duration stableWindow = seconds(3);
constexpr duration quarantineTime = seconds(600);
constexpr unsigned gatewayCount = 4;
/// Crashes of workers, each with as many requests at work as a worker has slots and places to wait.
constexpr unsigned ordinaryCrashes = 12;
constexpr unsigned requestsPerWorker = 30;

const std::vector<published_worker> someWorkers {
    workerEntry("b-1", "books"), workerEntry("b-2", "books"), workerEntry("b-3", "books")};

std::string addressOf(unsigned gateway)
{
    return "10.0.0." + std::to_string(gateway + 1) + ":90";
}

/// A group of gateways that exchange their messages, and that can be started again.
class gateway_group_fixture
{
public:
    gateway_group_fixture()
    {
        m_starts.resize(gatewayCount);
        m_gateways.resize(gatewayCount);
        for (unsigned gateway = 0; gateway < gatewayCount; ++gateway)
            restart(gateway);
    }

    routing_fixture &at(unsigned gateway) { return *m_gateways[gateway]; }

    /// Starts a new process in place of the one that runs.
    void restart(unsigned gateway)
    {
        routing_settings settings = localGatewaySettings(++m_starts[gateway]);
        settings.peers.self = {"vm-" + std::to_string(gateway + 1), m_starts[gateway]};
        settings.peers.peerAddress = addressOf(gateway);
        settings.peers.seeds = {addressOf(0), addressOf(1), addressOf(2)};
        settings.bounds.quarantineTime = quarantineTime;
        m_gateways[gateway] = std::make_unique<routing_fixture>(settings, m_now);
        m_gateways[gateway]->becomeReady(someWorkers);
    }

    void advance(duration length)
    {
        for (duration passed {0}; passed < length; passed += step) {
            m_now = m_now + step;
            for (const std::unique_ptr<routing_fixture> &gateway : m_gateways)
                gateway->advance(step);
            deliver();
        }
    }

    /// Tells a gateway of a crash as if another one had seen it.
    void crash(unsigned gateway, std::uint64_t request, const std::string &worker,
               duration age = duration {0})
    {
        fleet_digest digest;
        digest.self.process = {"vm-9", 1};
        digest.self.failureDomain = "near";
        digest.self.entryAddress = "10.0.0.9:80";
        digest.self.peerAddress = "10.0.0.9:90";
        digest.crashes = {{request, worker, age}};
        at(gateway).handle(peer_message_received {digest.self.process, digest});
    }

    /// Workers crash at one gateway, one after the other. All requests at work there differ.
    void crashOrdinarily(unsigned gateway)
    {
        for (unsigned crashed = 0; crashed < ordinaryCrashes; ++crashed) {
            for (unsigned i = 0; i < requestsPerWorker; ++i)
                crash(gateway, ++m_lastRequest, "w-" + std::to_string(++m_lastWorker));
            advance(seconds(1));
        }
    }

    bool isQuarantinedAt(unsigned gateway, std::uint64_t request)
    {
        const nlohmann::json dump = at(gateway).gateway->dump(m_now)["quarantine"]["requests"];
        return std::any_of(dump.begin(), dump.end(), [request](const nlohmann::json &row) {
            return row["request_digest"] == request && row["quarantined"] == true;
        });
    }

    /// Number of gateways that reject a request.
    unsigned quarantinedAt(std::uint64_t request)
    {
        unsigned count = 0;
        for (unsigned gateway = 0; gateway < gatewayCount; ++gateway)
            count += isQuarantinedAt(gateway, request) ? 1 : 0;
        return count;
    }

private:
    void deliver()
    {
        for (unsigned from = 0; from < gatewayCount; ++from) {
            for (const send_peer_message &sent : at(from).take<send_peer_message>()) {
                for (unsigned to = 0; to < gatewayCount; ++to) {
                    const process_id sender {"vm-" + std::to_string(from + 1), m_starts[from]};
                    if (sent.peerAddress == addressOf(to) && to != from)
                        at(to).handle(peer_message_received {sender, sent.message});
                }
            }
        }
    }

    instant m_now {seconds(100)};
    std::vector<std::uint64_t> m_starts;
    std::vector<std::unique_ptr<routing_fixture>> m_gateways;
    std::uint64_t m_lastRequest = 1'000'000;
    std::uint64_t m_lastWorker = 0;
};

constexpr std::uint64_t fatalRequest = 77;

/// The request crashes two workers, each seen by another gateway.
void quarantine(gateway_group_fixture &group, std::uint64_t request)
{
    group.crash(0, request, "b-1");
    group.crash(1, request, "b-2");
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_gossip_suite)

// Guards against gateways that are started again and pass on a request that crashes workers,
// because after ordinary crashes nobody told them of it.
BOOST_AUTO_TEST_CASE(gatewaysStartedInTurnLearnOfAQuarantinedRequest)
{
    gateway_group_fixture group;
    group.advance(stableWindow);
    quarantine(group, fatalRequest);
    group.advance(stableWindow);
    BOOST_TEST(group.quarantinedAt(fatalRequest) == gatewayCount);
    group.crashOrdinarily(2);
    for (unsigned gateway = 0; gateway < gatewayCount; ++gateway) {
        group.restart(gateway);
        group.advance(stableWindow);
        BOOST_TEST(group.isQuarantinedAt(gateway, fatalRequest), "vm-" << gateway + 1);
    }
}

// Guards against gateways that, all started at once, do not refuse a request again after it has
// crashed two workers: what they knew of it is lost, since none of them has a disk.
BOOST_AUTO_TEST_CASE(gatewaysStartedAtOnceQuarantineARequestAnew)
{
    gateway_group_fixture group;
    group.advance(stableWindow);
    quarantine(group, fatalRequest);
    group.crashOrdinarily(2);
    for (unsigned gateway = 0; gateway < gatewayCount; ++gateway)
        group.restart(gateway);
    group.advance(stableWindow);
    BOOST_TEST(group.quarantinedAt(fatalRequest) == 0U);
    quarantine(group, fatalRequest);
    group.advance(stableWindow);
    BOOST_TEST(group.quarantinedAt(fatalRequest) == gatewayCount);
}

// Guards against requests of which a gateway that was started again is not told, because many
// others are quarantined as well.
BOOST_AUTO_TEST_CASE(gatewayStartedAgainLearnsOfAllQuarantinedRequests)
{
    constexpr std::uint64_t requestCount = 60;
    gateway_group_fixture group;
    group.advance(stableWindow);
    for (std::uint64_t request = 1; request <= requestCount; ++request) {
        quarantine(group, request);
        group.advance(milliseconds(100));
    }
    group.crashOrdinarily(2);
    group.restart(3);
    group.advance(stableWindow);
    for (std::uint64_t request = 1; request <= requestCount; ++request)
        BOOST_TEST(group.isQuarantinedAt(3, request), "request " << request);
}

// Guards against a request that is passed on by each gateway until it has crashed two workers
// there, because its crashes are among more than one message tells.
BOOST_AUTO_TEST_CASE(crashAmongManyAtOnceIsTold)
{
    gateway_group_fixture group;
    group.advance(stableWindow);
    for (unsigned gateway = 0; gateway < 2; ++gateway) {
        const std::string worker = "b-" + std::to_string(gateway + 1);
        const std::uint64_t firstOther = gateway == 0 ? 1000 : 2000;
        for (std::uint64_t other = 0; other < 100; ++other)
            group.crash(gateway, firstOther + other, worker);
        // The record is the last one in any order: by request, and by time.
        group.crash(gateway, 1'000'000, worker, milliseconds(1));
    }
    group.advance(stableWindow);
    BOOST_TEST(group.quarantinedAt(1'000'000) == gatewayCount);
}

// Guards against a quarantine that lasts longer at gateways that have learned of it from others,
// and against one for a request that has crashed one worker.
BOOST_AUTO_TEST_CASE(whatOthersTellProlongsNoQuarantine)
{
    constexpr duration margin = seconds(5);
    constexpr std::uint64_t innocentRequest = 78;
    gateway_group_fixture group;
    group.advance(stableWindow);
    quarantine(group, fatalRequest);
    group.crash(0, innocentRequest, "b-1");
    for (unsigned gateway = 0; gateway < gatewayCount; ++gateway) {
        group.advance(seconds(140));
        group.restart(gateway);
    }
    group.advance(quarantineTime - seconds(140) * gatewayCount - margin);
    BOOST_TEST(group.quarantinedAt(fatalRequest) == gatewayCount);
    BOOST_TEST(group.quarantinedAt(innocentRequest) == 0U);
    group.advance(2 * margin);
    BOOST_TEST(group.quarantinedAt(fatalRequest) == 0U);
}

// Guards against messages that grow with the number of crashes.
BOOST_AUTO_TEST_CASE(noMessageHasMoreThanItsRecords)
{
    counter_set counters;
    quarantine_table table(quarantineTime, 4096, counters);
    const instant now {seconds(100)};
    std::set<std::uint64_t> told;
    for (std::uint64_t request = 1; request <= 200; ++request) {
        table.addRemoteCrash(now, {request, "w-1", seconds(10)});
        if (request % 2 == 0)
            table.addRemoteCrash(now, {request, "w-2", seconds(10)});
        table.addRemoteCrash(now, {1000 + request, "w-3", seconds(1)});
    }
    for (unsigned message = 0; message < 20; ++message) {
        const std::vector<crash_record> records = table.takeCrashes(now, digestRecordsMax);
        BOOST_TEST(records.size() == digestRecordsMax);
        for (const crash_record &record : records)
            told.insert(record.requestDigest);
    }
    for (std::uint64_t request = 2; request <= 200; request += 2)
        BOOST_TEST(told.contains(request), "quarantined request " << request);
    // The new ones take turns, too: a quarter of 20 messages.
    BOOST_TEST(std::count_if(told.begin(), told.end(),
                             [](std::uint64_t request) { return request > 1000; })
               == 20 * static_cast<std::ptrdiff_t>(digestRecordsMax) / 4);
}

// Guards against a full table that ignores new crashes for as long as the quarantine lasts, and
// against ordinary crashes that push a quarantined request out of it.
BOOST_AUTO_TEST_CASE(fullTableKeepsWhatDecides)
{
    constexpr std::uint32_t requestsMax = 64;
    counter_set counters;
    quarantine_table table(quarantineTime, requestsMax, counters);
    instant now {seconds(100)};
    const auto crash = [&table, &now](std::uint64_t request, const std::string &worker) {
        now = now + milliseconds(1);
        table.connectionBroke(now, request, worker);
        table.workerUnreachable(now, worker);
    };
    crash(1, "w-1");
    crash(1, "w-2");
    for (std::uint64_t request = 100; request < 1000; ++request)
        crash(request, "w-3");
    BOOST_TEST(table.isQuarantined(now, 1));
    crash(2, "w-1");
    crash(2, "w-2");
    BOOST_TEST(table.isQuarantined(now, 2));
    // All are quarantined: the one whose quarantine ends first goes.
    for (std::uint64_t request = 3; request <= requestsMax + 1; ++request) {
        crash(request, "w-1");
        crash(request, "w-2");
    }
    BOOST_TEST(!table.isQuarantined(now, 1));
    BOOST_TEST(table.isQuarantined(now, 2));
    BOOST_TEST(table.isQuarantined(now, requestsMax + 1));
    BOOST_TEST(table.dump(now)["requests"].size() <= requestsMax);
}

// Guards against crashes that are never confirmed because connections to many workers broke shortly
// before.
BOOST_AUTO_TEST_CASE(manySuspicionsDoNotHideTheLatest)
{
    counter_set counters;
    quarantine_table table(quarantineTime, 4096, counters);
    instant now {seconds(100)};
    for (unsigned worker = 0; worker < 2000; ++worker) {
        table.connectionBroke(now, worker, "other-" + std::to_string(worker));
        now = now + milliseconds(1);
    }
    for (unsigned request = 0; request < 1000; ++request)
        table.connectionBroke(now, 10'000 + request, "w-1");
    for (const std::string worker : {"w-1", "w-2"}) {
        table.connectionBroke(now, 1'000'000, worker);
        table.workerUnreachable(now, worker);
    }
    BOOST_TEST(table.isQuarantined(now, 1'000'000));
}

// Guards against workers whose drain is never told, because they are not among the first that one
// message has room for.
BOOST_AUTO_TEST_CASE(drainsOfManyWorkersTakeTurns)
{
    constexpr unsigned drainCount = 100;
    routing_fixture fixture;
    std::vector<published_worker> workers;
    for (unsigned i = 0; i < drainCount; ++i)
        workers.push_back(workerEntry("w-" + std::to_string(i), "reads"));
    fixture.becomeReady(workers);
    fleet_digest request = localDigest("vm-2", 2);
    request.replyRequested = true;
    std::vector<published_item> items;
    for (unsigned i = 0; i < drainCount; ++i)
        items.push_back(drainingWorkerItem("w-" + std::to_string(i), 11 + i));
    fixture.answerRead(item_scope::workers, pageOf(items, 11 + drainCount));
    std::set<std::string> told;
    for (unsigned message = 0; message < 12; ++message) {
        fixture.handle(peer_message_received {request.self.process, request});
        for (const send_peer_message &sent : fixture.take<send_peer_message>()) {
            const fleet_digest *digest = std::get_if<fleet_digest>(&sent.message);
            if (digest == nullptr)
                continue;
            BOOST_TEST(digest->drains.size() <= digestRecordsMax);
            for (const worker_drain &drain : digest->drains)
                told.insert(drain.worker);
        }
    }
    BOOST_TEST(told.size() == drainCount);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
