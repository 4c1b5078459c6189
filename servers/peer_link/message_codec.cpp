#include "servers/peer_link/message_codec.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "servers/peer_link/item_codec.h"

namespace almondnotch {

namespace {

namespace wire = peer::v1;

tl::unexpected<error> malformed(std::string_view message)
{
    return fail(error_code::invalid_message, "decode message", {}, message);
}

void encode(const process_id &process, wire::Process &out)
{
    out.set_vm(process.vm);
    out.set_start_number(process.startNumber);
}

process_id decode(const wire::Process &in)
{
    return {in.vm(), in.start_number()};
}

wire::GatewayState encode(gateway_state state)
{
    switch (state) {
    case gateway_state::alive:
        return wire::GATEWAY_STATE_ALIVE;
    case gateway_state::suspect:
        return wire::GATEWAY_STATE_SUSPECT;
    case gateway_state::leaving:
        return wire::GATEWAY_STATE_LEAVING;
    case gateway_state::gone:
        return wire::GATEWAY_STATE_GONE;
    }
    return wire::GATEWAY_STATE_UNSPECIFIED;
}

std::optional<gateway_state> decode(wire::GatewayState state)
{
    switch (state) {
    case wire::GATEWAY_STATE_ALIVE:
        return gateway_state::alive;
    case wire::GATEWAY_STATE_SUSPECT:
        return gateway_state::suspect;
    case wire::GATEWAY_STATE_LEAVING:
        return gateway_state::leaving;
    case wire::GATEWAY_STATE_GONE:
        return gateway_state::gone;
    default:
        return std::nullopt;
    }
}

wire::Outcome encode(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::run:
        return wire::OUTCOME_RUN;
    case call_outcome::not_run:
        return wire::OUTCOME_NOT_RUN;
    case call_outcome::unknown:
        return wire::OUTCOME_UNKNOWN;
    }
    return wire::OUTCOME_UNSPECIFIED;
}

std::optional<call_outcome> decode(wire::Outcome outcome)
{
    switch (outcome) {
    case wire::OUTCOME_RUN:
        return call_outcome::run;
    case wire::OUTCOME_NOT_RUN:
        return call_outcome::not_run;
    case wire::OUTCOME_UNKNOWN:
        return call_outcome::unknown;
    default:
        return std::nullopt;
    }
}

void encode(const member_update &member, wire::MemberUpdate &out)
{
    encode(member.process, *out.mutable_process());
    out.set_incarnation(member.incarnation);
    out.set_state(encode(member.state));
    out.set_failure_domain(member.failureDomain);
    out.set_entry_address(member.entryAddress);
    out.set_peer_address(member.peerAddress);
    out.set_calls_in_progress(member.callsInProgress);
    out.set_heard_age_us(member.lastContactAge.count());
    out.set_clock_us(member.clock.count());
    out.set_capacity(member.capacity);
    out.set_is_joining(member.isJoining);
}

result<member_update> decode(const wire::MemberUpdate &in)
{
    const std::optional<gateway_state> state = decode(in.state());
    if (!state)
        return malformed("a member has an unknown state");
    member_update member;
    member.process = decode(in.process());
    member.incarnation = in.incarnation();
    member.state = *state;
    member.failureDomain = in.failure_domain();
    member.entryAddress = in.entry_address();
    member.peerAddress = in.peer_address();
    member.callsInProgress = in.calls_in_progress();
    member.lastContactAge = duration(in.heard_age_us());
    member.clock = duration(in.clock_us());
    member.capacity = in.capacity();
    member.isJoining = in.is_joining();
    return member;
}

void encode(const std::vector<header_field> &headers,
            google::protobuf::RepeatedPtrField<wire::Header> &out)
{
    for (const header_field &field : headers) {
        wire::Header &added = *out.Add();
        added.set_name(field.name);
        added.set_value(field.value);
    }
}

std::vector<header_field> decode(const google::protobuf::RepeatedPtrField<wire::Header> &in)
{
    std::vector<header_field> headers;
    headers.reserve(static_cast<std::size_t>(in.size()));
    for (const wire::Header &field : in)
        headers.push_back({field.name(), field.value()});
    return headers;
}

void encode(const call_request &request, wire::Request &out)
{
    out.set_method(request.method);
    out.set_target(request.target);
    encode(request.headers, *out.mutable_headers());
    out.set_body(request.body);
    out.set_idempotency_key(request.idempotencyKey);
    if (request.timeout)
        out.set_timeout_us(request.timeout->count());
    out.set_depth(request.depth);
    out.set_attempt(request.priorRetries);
    out.set_request_id(request.requestId);
}

shared_request decode(const wire::Request &in)
{
    call_request request;
    request.method = in.method();
    request.target = in.target();
    request.headers = decode(in.headers());
    request.body = in.body();
    request.idempotencyKey = in.idempotency_key();
    if (in.has_timeout_us())
        request.timeout = duration(in.timeout_us());
    request.depth = in.depth();
    request.priorRetries = in.attempt();
    request.requestId = in.request_id();
    return std::make_shared<const call_request>(std::move(request));
}

void encode(const call_response &response, wire::Response &out)
{
    out.set_status(static_cast<std::uint32_t>(response.status));
    encode(response.headers, *out.mutable_headers());
    out.set_body(response.body);
    out.set_outcome(encode(response.outcome));
}

result<shared_response> decode(const wire::Response &in)
{
    const std::optional<call_outcome> outcome = decode(in.outcome());
    if (!outcome || in.status() < 100 || in.status() > 999)
        return malformed("expected a response with a known outcome and a status from 100 to 999");
    call_response response;
    response.status = static_cast<int>(in.status());
    response.headers = decode(in.headers());
    response.body = in.body();
    response.outcome = *outcome;
    return std::make_shared<const call_response>(std::move(response));
}

void encode(const fleet_digest &digest, wire::Envelope &envelope)
{
    wire::FleetDigest &out = *envelope.mutable_fleet_digest();
    encode(digest.self, *out.mutable_self());
    out.set_config_version(digest.configVersion);
    out.set_manifest_sha256(digest.manifestSha256);
    out.set_platform_read_age_us(digest.platformReadAge.count());
    out.set_newest_read_age_us(digest.minPlatformReadAge.count());
    out.set_reply_wanted(digest.replyRequested);
    out.set_vm_list_version(digest.vmListVersion);
    out.set_leaving_vm_count(digest.leavingVmCount);
    for (const listed_vm &vm : digest.leavingVms) {
        wire::ListedVm &added = *out.add_leaving_vms();
        added.set_name(vm.name);
        added.set_leaving(vm.leaving);
        added.set_leave_at_unix_ms(vm.leaveAtUnixMs);
    }
    for (const member_update &member : digest.members)
        encode(member, *out.add_members());
    for (const process_id &process : digest.unresponsivePeers)
        encode(process, *out.add_unanswered());
    for (const worker_drain &drain : digest.drains) {
        wire::WorkerDrain &added = *out.add_drains();
        added.set_worker(drain.worker);
        added.set_age_us(drain.age.count());
    }
    for (const crash_record &crash : digest.crashes) {
        wire::CrashRecord &added = *out.add_crashes();
        added.set_request_digest(crash.requestDigest);
        added.set_worker(crash.worker);
        added.set_age_us(crash.age.count());
    }
    for (const handover_record &handover : digest.handovers) {
        wire::HandoverRecord &added = *out.add_handovers();
        encode(handover.from, *added.mutable_from());
        encode(handover.to, *added.mutable_to());
        added.set_age_us(handover.age.count());
    }
}

result<peer_message> decode(const wire::FleetDigest &in)
{
    fleet_digest digest;
    const result<member_update> self = decode(in.self());
    if (!self)
        return tl::unexpected(self.error());
    digest.self = *self;
    digest.configVersion = in.config_version();
    digest.manifestSha256 = in.manifest_sha256();
    digest.platformReadAge = duration(in.platform_read_age_us());
    digest.minPlatformReadAge = duration(in.newest_read_age_us());
    digest.replyRequested = in.reply_wanted();
    digest.vmListVersion = in.vm_list_version();
    digest.leavingVmCount = in.leaving_vm_count();
    for (const wire::ListedVm &vm : in.leaving_vms())
        digest.leavingVms.push_back({vm.name(), vm.leaving(), vm.leave_at_unix_ms()});
    for (const wire::MemberUpdate &member : in.members()) {
        const result<member_update> decoded = decode(member);
        if (!decoded)
            return tl::unexpected(decoded.error());
        digest.members.push_back(*decoded);
    }
    for (const wire::Process &process : in.unanswered())
        digest.unresponsivePeers.push_back(decode(process));
    for (const wire::WorkerDrain &drain : in.drains())
        digest.drains.push_back({drain.worker(), duration(drain.age_us())});
    for (const wire::CrashRecord &crash : in.crashes())
        digest.crashes.push_back(
            {crash.request_digest(), crash.worker(), duration(crash.age_us())});
    for (const wire::HandoverRecord &handover : in.handovers())
        digest.handovers.push_back(
            {decode(handover.from()), decode(handover.to()), duration(handover.age_us())});
    return peer_message(std::move(digest));
}

void encode(const config_request &request, wire::Envelope &envelope)
{
    wire::ConfigRequest &out = *envelope.mutable_config_request();
    out.set_version(request.version);
    out.set_manifest_sha256(request.manifestSha256);
    for (const std::string &part : request.partSha256)
        out.add_part_sha256(part);
}

result<peer_message> decode(const wire::ConfigRequest &in)
{
    return peer_message(config_request {
        in.version(), in.manifest_sha256(), {in.part_sha256().begin(), in.part_sha256().end()}});
}

void encode(const config_data &data, wire::Envelope &envelope)
{
    wire::ConfigData &out = *envelope.mutable_config_data();
    out.set_key(data.key);
    out.set_version(data.version);
    out.set_text(data.text);
}

result<peer_message> decode(const wire::ConfigData &in)
{
    return peer_message(config_data {in.key(), in.version(), in.text()});
}

void encode(const forwarded_call &call, wire::Envelope &envelope)
{
    wire::ForwardedCall &out = *envelope.mutable_forwarded_call();
    out.set_forward_id(call.forwardId);
    if (call.request)
        encode(*call.request, *out.mutable_request());
    out.set_time_left_us(call.timeLeft.count());
    out.set_reply_address(call.replyAddress);
}

result<peer_message> decode(const wire::ForwardedCall &in)
{
    if (!in.has_request())
        return malformed("expected the field request in a ForwardedCall");
    return peer_message(forwarded_call {in.forward_id(), decode(in.request()),
                                        duration(in.time_left_us()), in.reply_address()});
}

void encode(const forwarded_response &forwarded, wire::Envelope &envelope)
{
    wire::ForwardedResponse &out = *envelope.mutable_forwarded_response();
    out.set_forward_id(forwarded.forwardId);
    if (forwarded.response)
        encode(*forwarded.response, *out.mutable_response());
}

result<peer_message> decode(const wire::ForwardedResponse &in)
{
    if (!in.has_response())
        return malformed("expected the field response in a ForwardedResponse");
    const result<shared_response> response = decode(in.response());
    if (!response)
        return tl::unexpected(response.error());
    return peer_message(forwarded_response {in.forward_id(), *response});
}

void encode(const handover_chunk &chunk, wire::Envelope &envelope)
{
    wire::HandoverChunk &out = *envelope.mutable_handover_chunk();
    encode(chunk.from, *out.mutable_from());
    out.set_sequence(chunk.sequence);
    for (const claim_record &claim : chunk.claims) {
        wire::Claim &added = *out.add_claims();
        added.set_key(claim.key);
        added.set_request_digest(claim.requestDigest);
        added.set_outcome(encode(claim.outcome));
        if (claim.response)
            encode(*claim.response, *added.mutable_response());
    }
}

result<peer_message> decode(const wire::HandoverChunk &in)
{
    handover_chunk chunk;
    chunk.from = decode(in.from());
    chunk.sequence = in.sequence();
    for (const wire::Claim &claim : in.claims()) {
        const std::optional<call_outcome> outcome = decode(claim.outcome());
        if (!outcome)
            return malformed("a claim has an unknown outcome");
        shared_response claimResponse;
        if (claim.has_response()) {
            const result<shared_response> response = decode(claim.response());
            if (!response)
                return tl::unexpected(response.error());
            claimResponse = *response;
        }
        chunk.claims.push_back({claim.key(), claim.request_digest(), *outcome, claimResponse});
    }
    return peer_message(std::move(chunk));
}

void encode(const handover_commit &commit, wire::Envelope &envelope)
{
    wire::HandoverCommit &out = *envelope.mutable_handover_commit();
    encode(commit.from, *out.mutable_from());
    out.set_chunk_count(commit.chunkCount);
    out.set_clock_us(commit.clock.count());
    out.set_accept_us(commit.acceptPeriod.count());
    out.set_repeat_us(commit.replayPeriod.count());
}

result<peer_message> decode(const wire::HandoverCommit &in)
{
    return peer_message(handover_commit {decode(in.from()), in.chunk_count(),
                                         duration(in.clock_us()), duration(in.accept_us()),
                                         duration(in.repeat_us())});
}

void encode(const handover_ack &ack, wire::Envelope &envelope)
{
    wire::HandoverAck &out = *envelope.mutable_handover_ack();
    encode(ack.from, *out.mutable_from());
    out.set_committed(ack.committed);
    for (const std::uint32_t sequence : ack.missing)
        out.add_missing(sequence);
    out.set_refused(ack.refused);
}

result<peer_message> decode(const wire::HandoverAck &in)
{
    return peer_message(handover_ack {decode(in.from()),
                                      in.committed(),
                                      {in.missing().begin(), in.missing().end()},
                                      in.refused()});
}

void encode(const reader_report &report, wire::Envelope &envelope)
{
    wire::ReaderReport &out = *envelope.mutable_reader_report();
    out.set_is_current(report.isConnectedToStore);
    out.set_store_era(report.storeEra);
    out.set_configuration_revision(report.configurationRevision);
    out.set_workers_revision(report.workersRevision);
}

result<peer_message> decode(const wire::ReaderReport &in)
{
    return peer_message(reader_report {in.is_current(), in.configuration_revision(),
                                       in.workers_revision(), in.store_era()});
}

void encode(const items_update &update, wire::Envelope &envelope)
{
    encodeItems(update, *envelope.mutable_items_update());
}

result<peer_message> decode(const wire::ItemsUpdate &in)
{
    result<items_update> update = decodeItems(in);
    if (!update)
        return tl::unexpected(update.error());
    return peer_message(std::move(*update));
}

} // namespace

void encodeMessage(const peer_message &message, peer::v1::Envelope &envelope)
{
    std::visit([&envelope](auto &content) { encode(content, envelope); }, message);
}

result<peer_message> decodeMessage(const peer::v1::Envelope &envelope)
{
    switch (envelope.payload_case()) {
    case wire::Envelope::kFleetDigest:
        return decode(envelope.fleet_digest());
    case wire::Envelope::kConfigRequest:
        return decode(envelope.config_request());
    case wire::Envelope::kConfigData:
        return decode(envelope.config_data());
    case wire::Envelope::kForwardedCall:
        return decode(envelope.forwarded_call());
    case wire::Envelope::kForwardedResponse:
        return decode(envelope.forwarded_response());
    case wire::Envelope::kHandoverChunk:
        return decode(envelope.handover_chunk());
    case wire::Envelope::kHandoverCommit:
        return decode(envelope.handover_commit());
    case wire::Envelope::kHandoverAck:
        return decode(envelope.handover_ack());
    case wire::Envelope::kReaderReport:
        return decode(envelope.reader_report());
    case wire::Envelope::kItemsUpdate:
        return decode(envelope.items_update());
    default:
        return malformed("the envelope has no known payload");
    }
}

} // namespace almondnotch
