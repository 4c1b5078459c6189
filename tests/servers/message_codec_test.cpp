#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "servers/peer_link/message_codec.h"

namespace almondnotch {

namespace {

const process_id processA {"vm-a", 0xfedcba9876543210};
const process_id processB {"vm-b", 1};

/// Returns the message after encoding, serialisation, parsing and decoding.
peer_message roundTrip(const peer_message &message)
{
    peer::v1::Envelope sent;
    encodeMessage(message, sent);
    peer::v1::Envelope arrived;
    BOOST_REQUIRE(arrived.ParseFromString(sent.SerializeAsString()));
    result<peer_message> decoded = decodeMessage(arrived);
    BOOST_REQUIRE(decoded);
    BOOST_REQUIRE_EQUAL(decoded->index(), message.index());
    return std::move(*decoded);
}

template <typename Message>
Message roundTripAs(const Message &message)
{
    return std::get<Message>(roundTrip(message));
}

member_update member(gateway_state state)
{
    return {processA,      7,  state,           "domain",       "127.0.0.1:1",
            "127.0.0.1:2", 11, milliseconds(5), milliseconds(6)};
}

shared_request makeRequest()
{
    call_request callRequest;
    callRequest.method = "POST";
    callRequest.target = "/a?b=\xff";
    callRequest.headers = {{"X-A", "\xe4"}, {"X-A", ""}};
    callRequest.body = std::string("\0\xff body", 7);
    callRequest.idempotencyKey = "k/1";
    callRequest.timeout = duration(0);
    callRequest.depth = 3;
    callRequest.priorRetries = 2;
    callRequest.requestId = "r";
    return std::make_shared<const call_request>(callRequest);
}

shared_response makeResponse(call_outcome outcome)
{
    call_response callResponse;
    callResponse.status = 503;
    callResponse.headers = {{"X-B", "1"}};
    callResponse.body = std::string("\0\xfe", 2);
    callResponse.outcome = outcome;
    return std::make_shared<const call_response>(callResponse);
}

} // namespace

// Guards against fields that are lost or mixed up between gateways.
BOOST_AUTO_TEST_CASE(fleet_messages_survive_the_round_trip)
{
    fleet_digest digest;
    digest.self = member(gateway_state::leaving);
    digest.configVersion = 1;
    digest.manifestSha256 = "sha";
    digest.minPlatformReadAge = duration(3);
    digest.replyRequested = true;
    digest.vmListVersion = 4;
    digest.leavingVmCount = 5;
    digest.leavingVms = {{"vm-c", true, -6}};
    for (const gateway_state state : {gateway_state::alive, gateway_state::suspect,
                                      gateway_state::leaving, gateway_state::gone})
        digest.members.push_back(member(state));
    digest.unresponsivePeers = {processB};
    digest.drains = {{"w", duration(8)}};
    digest.crashes = {{~0ULL, "w", duration(9)}};
    digest.handovers = {{processA, processB, duration(10)}};
    BOOST_CHECK(roundTripAs(digest) == digest);
    const config_request wanted {2, "sha", {"p", "q"}};
    BOOST_CHECK(roundTripAs(wanted) == wanted);
    const config_data data {"manifest", 3, "version = 3\n\xff"};
    BOOST_CHECK(roundTripAs(data) == data);
}

// Guards against a forwarded call or response that differs from the original.
BOOST_AUTO_TEST_CASE(forwarded_messages_survive_the_round_trip)
{
    const forwarded_call call
        = roundTripAs(forwarded_call {1, makeRequest(), milliseconds(7), "127.0.0.1:3000"});
    BOOST_CHECK(call.forwardId == 1 && call.timeLeft == milliseconds(7));
    BOOST_CHECK_EQUAL(call.replyAddress, "127.0.0.1:3000");
    BOOST_CHECK(*call.request == *makeRequest());
    for (const call_outcome outcome :
         {call_outcome::run, call_outcome::not_run, call_outcome::unknown}) {
        const forwarded_response answer
            = roundTripAs(forwarded_response {2, makeResponse(outcome)});
        BOOST_CHECK(answer.forwardId == 2 && *answer.response == *makeResponse(outcome));
    }
}

// Guards against a claim that changes during a handover.
BOOST_AUTO_TEST_CASE(handover_messages_survive_the_round_trip)
{
    const handover_chunk chunk = roundTripAs(
        handover_chunk {processA,
                        9,
                        {{"k/1", 1, call_outcome::run, makeResponse(call_outcome::run)},
                         {"k/2", 2, call_outcome::unknown, nullptr}}});
    BOOST_CHECK(chunk.from == processA && chunk.sequence == 9);
    BOOST_REQUIRE_EQUAL(chunk.claims.size(), 2U);
    BOOST_CHECK(chunk.claims[0].key == "k/1" && chunk.claims[0].requestDigest == 1);
    BOOST_CHECK(*chunk.claims[0].response == *makeResponse(call_outcome::run));
    BOOST_CHECK(chunk.claims[1].outcome == call_outcome::unknown && !chunk.claims[1].response);
    const handover_commit commit
        = roundTripAs(handover_commit {processB, 4, duration(1), duration(2), duration(3)});
    BOOST_CHECK(commit.from == processB && commit.chunkCount == 4);
    BOOST_CHECK(commit.clock == duration(1) && commit.acceptPeriod == duration(2)
                && commit.replayPeriod == duration(3));
    const handover_ack ack = roundTripAs(handover_ack {processA, true, {1, 5}, true});
    BOOST_CHECK(ack.from == processA && ack.committed && ack.refused);
    BOOST_CHECK((ack.missing == std::vector<std::uint32_t> {1, 5}));
}

// Guards against decoding a missing request or response as null, and an unknown enumeration value
// as a valid one.
BOOST_AUTO_TEST_CASE(incomplete_messages_are_refused)
{
    peer::v1::Envelope envelope;
    BOOST_CHECK(!decodeMessage(envelope));
    envelope.mutable_forwarded_call();
    BOOST_CHECK(!decodeMessage(envelope));
    envelope.mutable_forwarded_response();
    BOOST_CHECK(!decodeMessage(envelope));
    envelope.mutable_forwarded_response()->mutable_response()->set_status(200);
    BOOST_CHECK(!decodeMessage(envelope));
    envelope.mutable_handover_chunk()->add_claims()->set_outcome(peer::v1::Outcome(9));
    BOOST_CHECK(!decodeMessage(envelope));
    envelope.mutable_fleet_digest()->mutable_self()->set_state(peer::v1::GatewayState(9));
    BOOST_CHECK(!decodeMessage(envelope));
}

// Guards against updates of published items that lose fields on the way to other gateways.
BOOST_AUTO_TEST_CASE(changes_of_published_items_survive_the_round_trip)
{
    const reader_report report {true, 5, 6};
    BOOST_TEST((roundTripAs(report) == report));

    published_worker worker {"w-1", "10.0.0.1:80", "reads",         "near",
                             4,     true,          milliseconds(7), 1234567890123};
    host_route route;
    route.name = "r";
    route.host = "shop.example";
    route.prefix = "/a/";
    route.delivery = delivery_semantics::idempotent;
    route.timeout = milliseconds(600);
    route.latencyObjective = milliseconds(200);
    route.priority = 2;
    route.attemptsMax = 3;
    route.targets = {{"reads", 0.25}, {"books", 3}};
    route_config config;
    config.version = 9;
    config.routes = {route};
    config.services = {{"reads", {"/health", 100, seconds(3), 3.9}}};
    config.limits = {1000, 2000, seconds(3), seconds(4)};

    items_update update;
    update.scope = item_scope::workers;
    update.afterRevision = 3;
    update.revision = 8;
    update.era = 6;
    update.isListDifference = true;
    update.items.resize(5);
    update.items[0] = {"w-1", 4, false, nullptr, worker, ""};
    update.items[1] = {"w-2", 5, true, nullptr, std::nullopt, ""};
    update.items[2] = {"w-3", 6, false, nullptr, std::nullopt, "no address"};
    update.items[3]
        = {"c", 7, false, std::make_shared<const route_config>(config), std::nullopt, ""};
    update.items[4].name = "evacuation";
    update.items[4].evacuatedDomain = "domain-2";
    const items_update arrived = roundTripAs(update);
    BOOST_TEST(arrived.era == 6U);
    BOOST_TEST(arrived.isListDifference);
    BOOST_TEST((arrived.scope == update.scope));
    BOOST_TEST(arrived.afterRevision == 3U);
    BOOST_TEST(arrived.revision == 8U);
    BOOST_REQUIRE_EQUAL(arrived.items.size(), 5U);
    BOOST_TEST((arrived.items[0].worker == worker));
    BOOST_TEST(arrived.items[1].removed);
    BOOST_TEST(arrived.items[2].fault == "no address");
    BOOST_TEST(!arrived.items[2].worker.has_value());
    BOOST_REQUIRE(arrived.items[3].config);
    BOOST_TEST((*arrived.items[3].config == config));
    BOOST_TEST(arrived.items[3].revision == 7U);
    BOOST_TEST(arrived.items[4].evacuatedDomain == "domain-2");
}

// Guards against misinterpreting an update from another version of the program, and against updates
// without a size limit.
BOOST_AUTO_TEST_CASE(updates_of_an_unknown_scope_or_excessive_length_are_refused)
{
    peer::v1::Envelope unknown;
    unknown.mutable_items_update()->set_revision(1);
    BOOST_TEST(!decodeMessage(unknown));

    peer::v1::Envelope tooLong;
    tooLong.mutable_items_update()->set_scope(peer::v1::ITEM_SCOPE_WORKERS);
    for (std::size_t i = 0; i <= updateItemsMax; ++i)
        tooLong.mutable_items_update()->add_items();
    BOOST_TEST(!decodeMessage(tooLong));
}

} // namespace almondnotch
