#include <boost/test/unit_test.hpp>

#include "core/digest.h"
#include "tests/decision/fleet/fleet_driver.h"

namespace almondnotch {

namespace {

/// A single `fleet` object that the test drives directly.
struct fleet_fixture
{
    fleet_fixture()
    {
        settings.self = {vmName(0), 100ULL << 20};
        settings.failureDomain = failureDomainName(0);
        settings.entryAddress = entryAddressOf(0);
        settings.peerAddress = peerAddressOf(0);
    }

    void start()
    {
        target = fleet::create(settings, random, invariants, counters);
        target->start(now, actions);
    }

    /// Answers all reads except watches with the values of the platform.
    void answerReads()
    {
        action_list pendingActions = std::exchange(actions, {});
        for (const action &each : pendingActions)
            if (const read_platform_value *read = std::get_if<read_platform_value>(&each);
                read != nullptr && read->wait == duration {0})
                target->platformReadFinished(now, {read->read, platform.valueOf(*read)}, actions);
    }

    /// Advances the time to `end`, fires the timers that are due and answers reads.
    void runTo(instant end)
    {
        for (; now < end; now = now + milliseconds(10)) {
            if (target->nextWake() <= now)
                target->timerExpired(now, actions);
            answerReads();
        }
    }

    /// Digest of another process without a configuration.
    fleet_digest makeDigest(unsigned index, std::uint64_t startNumber)
    {
        fleet_digest digest;
        digest.self.process = {vmName(index), startNumber};
        digest.self.failureDomain = failureDomainName(index);
        digest.self.entryAddress = entryAddressOf(index);
        digest.self.peerAddress = peerAddressOf(index);
        return digest;
    }

    fleet_changes receive(const fleet_digest &digest)
    {
        return target->peerMessage(now, digest.self.process, digest, actions);
    }

    /// True if at least one of 20 entry responses contains the address of the gateway.
    bool isInEntryResponses(unsigned index)
    {
        for (int i = 0; i < 20; ++i)
            for (const std::string &address : target->entryAddresses(now, "catalogue"))
                if (address == entryAddressOf(index))
                    return true;
        return false;
    }

    random_source random {4};
    invariant_set invariants;
    counter_set counters;
    fleet_settings settings;
    platform_fake platform;
    std::unique_ptr<fleet> target;
    action_list actions;
    instant now {seconds(10)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_protocol_suite, fleet_fixture)

// Guards against a process that never serves because its peers do not tell it which version they
// have.
BOOST_AUTO_TEST_CASE(process_without_peer_answers_activates_the_platforms_config_as_unconfirmed)
{
    platform.publishConfigSet(sampleConfigSet(3, 4));
    settings.seedPeers = {peerAddressOf(1)};
    start();
    runTo(now + milliseconds(1900));
    BOOST_TEST((target->config() == nullptr));
    runTo(now + milliseconds(200));
    BOOST_TEST(target->config()->version() == 3U);
    BOOST_TEST(target->dump(now)["unconfirmed"] == true);
    fleet_digest digest = makeDigest(1, 5);
    digest.configVersion = 3;
    digest.manifestSha256 = target->config()->manifestSha256();
    receive(digest);
    BOOST_TEST(target->dump(now)["unconfirmed"] == false);
}

// Guards against a new process that activates a stale configuration set of the platform although a
// peer has a newer one.
BOOST_AUTO_TEST_CASE(newer_config_of_a_peer_takes_precedence_over_the_platforms)
{
    platform.publishConfigSet(sampleConfigSet(3, 4));
    settings.seedPeers = {peerAddressOf(1)};
    start();
    runTo(now + seconds(1));
    const sample_config_set newer = sampleConfigSet(5, 4);
    fleet_digest digest = makeDigest(1, 5);
    digest.configVersion = 5;
    digest.manifestSha256 = sha256Hex(newer.manifest);
    actions.clear();
    receive(digest);
    BOOST_TEST((target->config() == nullptr));
    config_data data {"manifest", 5, newer.manifest};
    target->peerMessage(now, digest.self.process, data, actions);
    std::vector<std::string> requested;
    for (const action &each : actions)
        if (const send_peer_message *sent = std::get_if<send_peer_message>(&each))
            if (const config_request *request = std::get_if<config_request>(&sent->message))
                requested = request->partSha256;
    BOOST_TEST(requested.size() == 1U);
    for (const std::string &hash : requested)
        target->peerMessage(now, digest.self.process, config_data {hash, 5, newer.parts.at(hash)},
                            actions);
    BOOST_REQUIRE((target->config() != nullptr));
    BOOST_TEST(target->config()->version() == 5U);
}

// Guards against a process without seed peers that waits for the answers of peers before it serves.
BOOST_AUTO_TEST_CASE(process_without_seed_peers_serves_at_once)
{
    platform.publishConfigSet(sampleConfigSet(3, 4));
    start();
    runTo(now + seconds(1));
    BOOST_REQUIRE((target->config() != nullptr));
    BOOST_TEST(target->entryAddresses(now, "catalogue").size() == 1U);
    BOOST_TEST(target->entryAddresses(now, "none").empty());
}

// Guards against malformed digests, or digests in the name of another process, that change the
// state of their receiver.
BOOST_AUTO_TEST_CASE(malformed_digests_are_rejected)
{
    start();
    const std::vector<std::function<void(fleet_digest &)>> corruptions {
        [](fleet_digest &digest) { digest.self.process.vm.clear(); },
        [](fleet_digest &digest) { digest.self.process.startNumber = 0; },
        [](fleet_digest &digest) { digest.self.peerAddress = "host:80"; },
        [](fleet_digest &digest) { digest.self.entryAddress = "10.0.0.1:70000"; },
        [](fleet_digest &digest) { digest.configVersion = 4; },
        [](fleet_digest &digest) { digest.minPlatformReadAge = duration {-1}; },
        [](fleet_digest &digest) { digest.members.assign(17, digest.self); },
        [](fleet_digest &digest) {
            digest.leavingVms.assign(33, {"vm", true, 0});
        },
        [](fleet_digest &digest) {
            digest.leavingVms.assign(1, {"vm", false, 0});
        },
        [](fleet_digest &digest) { digest.unresponsivePeers.assign(5, digest.self.process); },
        [](fleet_digest &digest) {
            digest.drains.assign(33, {"w", duration {0}});
        },
        [](fleet_digest &digest) {
            digest.crashes.assign(1, {1, "w", duration {-1}});
        },
        [](fleet_digest &digest) { digest.handovers.assign(1, {}); },
    };
    for (const std::function<void(fleet_digest &)> &corrupt : corruptions) {
        fleet_digest digest = makeDigest(1, 5);
        corrupt(digest);
        receive(digest);
        BOOST_TEST(!target->peerAddress({vmName(1), 5}).has_value());
    }
    BOOST_TEST(counters.value("peer_messages_refused_total{reason=\"malformed\"}")
               == corruptions.size());
    target->peerMessage(now, {vmName(2), 7}, makeDigest(1, 5), actions);
    BOOST_TEST(!target->peerAddress({vmName(1), 5}).has_value());
}

// Guards against entry responses that contain the gateway of a leaving VM, and against a stale VM
// list that excludes the new process on a VM that has replaced the leaving one under the same name.
BOOST_AUTO_TEST_CASE(leaving_vm_is_not_in_entry_responses_until_it_is_replaced)
{
    platform.publishConfigSet(sampleConfigSet(3, 4));
    start();
    runTo(now + seconds(1));
    receive(makeDigest(1, 50ULL << 20));
    BOOST_TEST(isInEntryResponses(1));
    fleet_digest digest = makeDigest(2, 5);
    digest.vmListVersion = 9;
    digest.leavingVmCount = 1;
    digest.leavingVms = {{vmName(1), true, 0}};
    const fleet_changes changes = receive(digest);
    BOOST_TEST(changes.leavingVmList->size() == 1U);
    BOOST_TEST(!isInEntryResponses(1));
    receive(makeDigest(1, 51ULL << 20));
    BOOST_TEST(isInEntryResponses(1));
    // The leave time in the list is before the start of this process, so the entry of the list
    // refers to an earlier VM of the same name.
    digest.vmListVersion = 10;
    digest.leavingVms = {{vmName(0), true, 99}};
    BOOST_TEST(receive(digest).leavingVmList->empty());
    BOOST_TEST(isInEntryResponses(0));
    target->beginLeaving(now, actions);
    BOOST_TEST(!isInEntryResponses(0));
}

// Guards against entry responses that rely on the membership known before a pause of the process.
BOOST_AUTO_TEST_CASE(paused_process_returns_only_itself_until_contact)
{
    platform.publishConfigSet(sampleConfigSet(3, 4));
    start();
    runTo(now + seconds(1));
    receive(makeDigest(1, 5));
    now = now + seconds(30);
    actions.clear();
    target->pauseDetected(now, actions);
    BOOST_TEST(!isInEntryResponses(1));
    BOOST_TEST(isInEntryResponses(0));
    for (const action &each : actions)
        if (const send_peer_message *sent = std::get_if<send_peer_message>(&each))
            BOOST_TEST(std::get<fleet_digest>(sent->message).members.empty());
    receive(makeDigest(1, 5));
    BOOST_TEST(isInEntryResponses(1));
}

// Guards against a wrong estimate of a peer's clock. The estimate becomes the mint time of key
// ranges that this gateway issues for the peer: if it is ahead, the peer accepts new operations of
// the range for too long; if it is behind, for too short a time.
BOOST_AUTO_TEST_CASE(clock_of_a_peer_advances_with_time)
{
    start();
    fleet_digest digest = makeDigest(1, 5);
    digest.self.clock = seconds(70);
    receive(digest);
    now = now + seconds(2);
    target->timerExpired(now, actions);
    BOOST_TEST(target->livePeers().at(0).clock.count() == duration(seconds(72)).count());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
