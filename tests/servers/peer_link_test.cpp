#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "servers/peer_link/message_codec.h"
#include "servers/peer_link/register_services.h"
#include "tests/servers/transport_fixture.h"

namespace almondnotch {

namespace {

const peer_key keyA {"a", "secret of the first key"};
const peer_key keyB {"b", "secret of the second key"};
const peer_key keyC {"c", "secret of another fleet"};

peer_link_settings linkSettings(const std::string &vm)
{
    peer_link_settings out;
    out.listenAddress = "127.0.0.1:0";
    out.self = {vm, 1};
    out.keys = {keyA, keyB};
    return out;
}

/// A peer link that receives messages, and a second one that sends to it.
struct peer_fixture : transport_fixture
{
    explicit peer_fixture(const peer_link_settings &senderSettings = linkSettings("sender"))
    {
        receiver = registerPeerLink(serviceManager, linkSettings("receiver")).value();
        std::unique_ptr<peer_link> second = std::make_unique<peer_link>(senderSettings);
        sender = second.get();
        BOOST_REQUIRE(
            serviceManager.add("second_peer_link", start_level::transports, std::move(second)));
        BOOST_REQUIRE(serviceManager.start());
    }

    std::uint64_t refusedCount(const std::string &reason) const
    {
        return receiver->counters().value("peer_messages_refused_total{reason=\"" + reason + "\"}");
    }

    std::size_t deliveredCount() const
    {
        return sink->eventsOfType<peer_message_received>().size();
    }

    peer_link *receiver = nullptr;
    peer_link *sender = nullptr;
};

peer::v1::Envelope envelope(std::uint64_t counter, const peer_key &key,
                            unsigned protocol = peerProtocolCurrent)
{
    peer::v1::Envelope out;
    out.set_protocol(protocol);
    out.set_sender_vm("vm");
    out.set_sender_start(1);
    out.set_send_counter(counter);
    encodeMessage(config_data {"manifest", 5, "text"}, out);
    envelope_authenticator::create({key}).value().sign(out);
    return out;
}

} // namespace

// Guards against accepting messages that were modified or signed with an unknown key.
BOOST_FIXTURE_TEST_CASE(unauthentic_envelopes_have_no_effect, peer_fixture)
{
    const std::vector<std::function<void(peer::v1::Envelope &)>> changes {
        [](peer::v1::Envelope &changed) { changed.mutable_config_data()->set_version(6); },
        [](peer::v1::Envelope &changed) { changed.set_send_counter(2); },
        [](peer::v1::Envelope &changed) { changed.set_sender_vm("other"); },
        [](peer::v1::Envelope &changed) { changed.set_sender_start(2); },
        [](peer::v1::Envelope &changed) { changed.set_protocol(peerProtocolPrevious); },
        [](peer::v1::Envelope &changed) { changed.set_key_id(keyB.id); },
        [](peer::v1::Envelope &changed) { changed.clear_mac(); },
        [](peer::v1::Envelope &changed) { changed.set_mac(changed.mac().substr(0, 16)); },
    };
    for (const std::function<void(peer::v1::Envelope &)> &change : changes) {
        peer::v1::Envelope changed = envelope(1, keyA);
        change(changed);
        receiver->receive(changed);
    }
    BOOST_CHECK_EQUAL(refusedCount("mac"), changes.size());
    receiver->receive(envelope(1, keyC));
    BOOST_CHECK_EQUAL(refusedCount("unknown_key"), 1U);
    BOOST_CHECK_EQUAL(deliveredCount(), 0U);
    // The refused envelopes did not use up the counter of the authentic one.
    receiver->receive(envelope(1, keyA));
    BOOST_CHECK_EQUAL(deliveredCount(), 1U);
}

// Guards against accepting messages of an unknown protocol, and against a fleet whose protocol or
// keys cannot be changed one process at a time.
BOOST_FIXTURE_TEST_CASE(two_protocols_and_all_keys_are_accepted, peer_fixture)
{
    receiver->receive(envelope(1, keyA, peerProtocolCurrent));
    receiver->receive(envelope(2, keyB, peerProtocolPrevious));
    BOOST_CHECK_EQUAL(deliveredCount(), 2U);
    receiver->receive(envelope(3, keyA, peerProtocolCurrent + 1));
    receiver->receive(envelope(4, keyA, peerProtocolPrevious - 1));
    BOOST_CHECK_EQUAL(refusedCount("protocol"), 2U);
    BOOST_CHECK_EQUAL(deliveredCount(), 2U);
}

// Guards against accepting replayed or oversized messages.
BOOST_FIXTURE_TEST_CASE(replayed_and_oversized_envelopes_have_no_effect, peer_fixture)
{
    receiver->receive(envelope(replay_window::size + 5, keyA));
    receiver->receive(envelope(replay_window::size + 5, keyA));
    receiver->receive(envelope(5, keyA));
    BOOST_CHECK_EQUAL(refusedCount("replay"), 2U);
    receiver->receive(envelope(6, keyA));
    BOOST_CHECK_EQUAL(deliveredCount(), 2U);
    peer::v1::Envelope large = envelope(7, keyA);
    large.mutable_config_data()->set_text(std::string(1'258'291, 'x'));
    envelope_authenticator::create({keyA}).value().sign(large);
    receiver->receive(large);
    BOOST_CHECK_EQUAL(refusedCount("too_large"), 1U);
    BOOST_CHECK_EQUAL(deliveredCount(), 2U);
}

// Guards against counters that are accepted twice near the edges of the replay window.
BOOST_AUTO_TEST_CASE(replay_window_accepts_each_counter_once)
{
    replay_window window;
    BOOST_CHECK(!window.accept(0));
    for (const std::uint64_t counter : {3UL, 1UL, 2UL, 10UL, replay_window::size + 9UL})
        BOOST_CHECK(window.accept(counter) && !window.accept(counter));
    BOOST_CHECK(!window.accept(9));
    BOOST_CHECK(!window.accept(10));
    BOOST_CHECK(window.accept(11));
    BOOST_CHECK(window.accept(1'000'000) && !window.accept(replay_window::size + 9));
    BOOST_CHECK(window.accept(1'000'000 - replay_window::size + 1));
    BOOST_CHECK(!window.accept(1'000'000 - replay_window::size));
}

// Guards against lost, duplicated or misattributed messages, and against bytes that are not
// counted.
BOOST_FIXTURE_TEST_CASE(messages_arrive_once_over_the_network, peer_fixture)
{
    for (std::uint64_t id = 1; id <= 20; ++id)
        sender->sendPeerMessage({receiver->address(), id, config_data {"k", id, "t"}});
    sender->sendPeerMessage(
        {receiver->address(), 21, config_data {"large", 21, std::string(1'000'000, 'x')}});
    BOOST_REQUIRE(runUntil([&]() { return deliveredCount() == 21; }));
    runFor(milliseconds(20));
    std::vector<bool> seen(22);
    for (const peer_message_received &received : sink->eventsOfType<peer_message_received>()) {
        BOOST_CHECK((received.from == process_id {"sender", 1}));
        const config_data data = std::get<config_data>(received.message);
        BOOST_CHECK(!seen[data.version]);
        seen[data.version] = true;
    }
    BOOST_CHECK_EQUAL(deliveredCount(), 21U);
    BOOST_CHECK(sink->eventsOfType<peer_send_failed>().empty());
    BOOST_CHECK_EQUAL(sender->counters().value("peer_bytes_sent_total"),
                      receiver->counters().value("peer_bytes_received_total"));
    BOOST_CHECK_GT(sender->counters().value("peer_bytes_sent_total"), 1'000'000U);
}

// Guards against a send that fails without a report, and against a restarted peer that stays
// unreachable.
BOOST_FIXTURE_TEST_CASE(failed_sends_are_reported_and_a_restarted_peer_is_reached, peer_fixture)
{
    std::unique_ptr<http_fake> reserved
        = startFakeServer([](http_fake::connection_id, const received_request &) {});
    const std::string address = reserved->address();
    reserved.reset();
    sender->sendPeerMessage({address, 5, config_data {}});
    sender->sendPeerMessage({"peer.example:1", 6, config_data {}});
    sender->sendPeerMessage(
        {receiver->address(), 7, config_data {"k", 1, std::string(1'300'000, 'x')}});
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<peer_send_failed>().size() == 3; }));
    std::vector<std::uint64_t> failed;
    for (const peer_send_failed &report : sink->eventsOfType<peer_send_failed>())
        failed.push_back(report.messageId);
    std::sort(failed.begin(), failed.end());
    BOOST_CHECK((failed == std::vector<std::uint64_t> {5, 6, 7}));

    peer_link_settings restarted = linkSettings("restarted");
    restarted.listenAddress = address;
    peer_link restartedLink(restarted);
    BOOST_REQUIRE(restartedLink.start(serviceManager));
    std::uint64_t id = 100;
    BOOST_CHECK(runUntil(
        [&]() {
            if (++id % 50 == 0)
                sender->sendPeerMessage({address, id, config_data {}});
            return deliveredCount() > 0;
        },
        seconds(5)));
    restartedLink.stop();
}

// Guards against losing the last messages of a process that shuts down, and against messages that
// are acknowledged by a process that no longer handles them.
BOOST_FIXTURE_TEST_CASE(flush_waits_for_sent_messages_and_refuses_received_ones, peer_fixture)
{
    bool isFlushed = false;
    for (std::uint64_t id = 1; id <= 5; ++id)
        sender->sendPeerMessage({receiver->address(), id, config_data {"k", id, "t"}});
    sender->flush(seconds(5), [&]() {
        isFlushed = true;
        BOOST_CHECK_EQUAL(sender->counters().value("peer_messages_in_flight"), 0U);
    });
    BOOST_REQUIRE(runUntil([&]() { return isFlushed; }));
    BOOST_CHECK_EQUAL(deliveredCount(), 5U);
    BOOST_CHECK(sink->eventsOfType<peer_send_failed>().empty());
    receiver->sendPeerMessage({sender->address(), 9, config_data {"k", 9, "t"}});
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<peer_send_failed>().size() == 1; }));
    BOOST_CHECK_EQUAL(deliveredCount(), 5U);
}

// Guards against an unbounded number of messages in flight to a peer that does not respond.
BOOST_AUTO_TEST_CASE(messages_in_flight_are_bounded_and_time_out)
{
    peer_link_settings boundedSettings = linkSettings("sender");
    boundedSettings.messagesInFlightPerPeerMax = 3;
    boundedSettings.sendTimeLimit = milliseconds(200);
    peer_fixture fixture(boundedSettings);
    // Accepts connections and never responds.
    const std::unique_ptr<http_fake> unresponsivePeer
        = fixture.startFakeServer([](http_fake::connection_id, const received_request &) {});
    for (std::uint64_t id = 1; id <= 5; ++id)
        fixture.sender->sendPeerMessage({unresponsivePeer->address(), id, config_data {}});
    BOOST_REQUIRE(fixture.runUntil(
        [&]() { return fixture.sink->eventsOfType<peer_send_failed>().size() == 5; }));
    BOOST_CHECK_EQUAL(
        fixture.sender->counters().value("peer_sends_failed_total{reason=\"in_flight_per_peer\"}"),
        2U);
    BOOST_CHECK_EQUAL(fixture.sender->counters().value("peer_sends_failed_total{reason=\"rpc\"}"),
                      3U);
}

} // namespace almondnotch
