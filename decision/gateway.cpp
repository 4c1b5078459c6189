#include "decision/gateway.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "core/mechanisms.h"
#include "core/random_source.h"
#include "decision/balance/drain_table.h"
#include "decision/calls/call_runner.h"
#include "decision/calls/quarantine_table.h"
#include "decision/claims/claim_table.h"
#include "decision/claims/handover_receiver.h"
#include "decision/claims/handover_sender.h"

namespace almondnotch {

namespace {

/// Interval at which expired entries are removed from the tables.
constexpr duration sweepInterval = milliseconds(500);

/// Maximum assumed skew between the wall clocks of the platform and of this VM. The drain deadline
/// of a leaving VM is this much before the end of its notice period.
constexpr duration clockSkewMax = seconds(2);

/// Maximum jitter of the time to live in entry responses: up to a quarter is added to it. A
/// draining gateway keeps serving until the longest possible time to live has passed.
constexpr double entryTtlJitter = 0.25;

/// Time reserved at the end of a drain for the handover of claims.
constexpr duration handoverReserve = seconds(3);

/// Number of exchange intervals for which a process that has handed over its claims keeps
/// forwarding calls to its successor. The other gateways learn of the handover in the meantime.
constexpr int forwardingExchangeIntervals = 2;

/// Stages in the lifecycle of the process, in this order.
enum class lifecycle_stage { serving, leaving, handing_over, forwarding, finished };

std::string_view toString(lifecycle_stage stage)
{
    static constexpr std::array<std::string_view, 5> names {"serving", "leaving", "handing-over",
                                                            "forwarding", "finished"};
    return names.at(static_cast<std::size_t>(stage));
}

} // namespace

/// Components of the gateway and the logic that connects them.
struct gateway::state : public process_directory
{
    explicit state(gateway_settings initialSettings);

    std::optional<std::string> peerAddress(const process_id &process) const override
    {
        return membership->peerAddress(process);
    }
    std::string ownPeerAddress() const override { return settings.fleetSettings.peerAddress; }

    void start(instant now, action_list &actions);
    void handle(instant now, const event &input, action_list &actions);
    instant nextWake() const;
    nlohmann::json dump(instant now) const;

    void on(instant now, const call_received &input, action_list &actions);
    void on(instant now, const caller_disconnected &input, action_list &actions);
    void on(instant now, const attempt_finished &input, action_list &actions);
    void on(instant now, const probe_finished &input, action_list &actions);
    void on(instant now, const entry_query &input, action_list &actions);
    void on(instant now, const peer_message_received &input, action_list &actions);
    void on(instant now, const peer_send_failed &input, action_list &actions);
    void on(instant now, const platform_value_read_finished &input, action_list &actions);
    /// Only gateways that route by host read published items; this one never requests any.
    void on(instant /*now*/, const items_read_progress & /*input*/, action_list & /*actions*/) { }
    void on(instant /*now*/, const items_read_finished & /*input*/, action_list & /*actions*/) { }
    void on(instant now, const drain_requested &input, action_list &actions);
    void on(instant now, const timer_expired &input, action_list &actions);

    void on(instant now, const process_id &from, const forwarded_call &input, action_list &actions);
    void on(instant now, const process_id &from, const forwarded_response &input,
            action_list &actions);
    void on(instant now, const process_id &from, const handover_chunk &input, action_list &actions);
    void on(instant now, const process_id &from, const handover_commit &input,
            action_list &actions);
    void on(instant now, const process_id &from, const handover_ack &input, action_list &actions);
    template <typename Message>
    void on(instant now, const process_id &from, const Message &input, action_list &actions)
    {
        applyFleetChanges(now, membership->peerMessage(now, from, input, actions), actions);
    }

    /// Dispatch tables: one handler for each type of event and of peer message, in the order of the
    /// variant's alternatives.
    template <typename Event>
    void dispatchEvent(instant now, const event &input, action_list &actions)
    {
        on(now, std::get<Event>(input), actions);
    }
    template <typename Message>
    void dispatchMessage(instant now, const process_id &from, const peer_message &input,
                         action_list &actions)
    {
        on(now, from, std::get<Message>(input), actions);
    }
    using event_handler = void (state::*)(instant, const event &, action_list &);
    using message_handler
        = void (state::*)(instant, const process_id &, const peer_message &, action_list &);
    static const std::array<event_handler, std::variant_size_v<event>> eventHandlers;
    static const std::array<message_handler, std::variant_size_v<peer_message>> messageHandlers;

    void detectPause(instant now, action_list &actions);
    void applyFleetChanges(instant now, const fleet_changes &changes, action_list &actions);
    void applyVmList(instant now, const std::vector<listed_vm> &list, action_list &actions);
    void startProbes(const std::vector<probe_request> &probeRequests, action_list &actions);
    void sweep(instant now);
    void publishLocalState(instant now);
    void beginLeaving(instant now, instant deadline, std::string_view cause, action_list &actions);
    void continueLeaving(instant now, action_list &actions);
    std::vector<successor_candidate> successorCandidates() const;
    std::string mintRangeFor(instant now, const std::string &entryAddress);
    void sendAck(const process_id &to, handover_ack ack, action_list &actions);

    gateway_settings settings;
    counter_set counters;
    invariant_set invariants;
    random_source random;
    std::unique_ptr<fleet> membership;
    std::unique_ptr<balancer> loadBalancer;
    claim_table claims;
    quarantine_table quarantine;
    call_runner calls;
    handover_sender handoverSender;
    handover_receiver handoverReceiver;

    std::map<probe_id, probe_request> probes;
    std::uint64_t nextProbe = 1;
    std::set<std::string> leavingVms;
    instant nextSweep;
    /// Value of `nextWake` after the last event. If the next event arrives much later, the process
    /// was paused.
    instant expectedWake = instant::never();

    lifecycle_stage stage = lifecycle_stage::serving;
    instant leavingSince;
    /// Until this time, callers may use cached entry responses that contain this process's address.
    instant entriesExpireAt;
    instant leaveDeadline = instant::never();
    /// Time at which a process that has handed over its claims stops forwarding calls.
    instant forwardingEnd = instant::never();
};

const std::array<gateway::state::event_handler, std::variant_size_v<event>>
    gateway::state::eventHandlers {
        &state::dispatchEvent<call_received>,
        &state::dispatchEvent<caller_disconnected>,
        &state::dispatchEvent<attempt_finished>,
        &state::dispatchEvent<probe_finished>,
        &state::dispatchEvent<entry_query>,
        &state::dispatchEvent<peer_message_received>,
        &state::dispatchEvent<peer_send_failed>,
        &state::dispatchEvent<platform_value_read_finished>,
        &state::dispatchEvent<items_read_progress>,
        &state::dispatchEvent<items_read_finished>,
        &state::dispatchEvent<drain_requested>,
        &state::dispatchEvent<timer_expired>,
    };

const std::array<gateway::state::message_handler, std::variant_size_v<peer_message>>
    gateway::state::messageHandlers {
        &state::dispatchMessage<fleet_digest>,       &state::dispatchMessage<config_request>,
        &state::dispatchMessage<config_data>,        &state::dispatchMessage<forwarded_call>,
        &state::dispatchMessage<forwarded_response>, &state::dispatchMessage<handover_chunk>,
        &state::dispatchMessage<handover_commit>,    &state::dispatchMessage<handover_ack>,
        &state::dispatchMessage<reader_report>,      &state::dispatchMessage<items_update>,
    };

gateway::state::state(gateway_settings initialSettings)
    : settings(std::move(initialSettings)), random(settings.seed),
      membership(fleet::create(settings.fleetSettings, random, invariants, counters)),
      loadBalancer(balancer::create(settings.balancerSettings, random, invariants, counters)),
      claims(settings.claims, settings.fleetSettings.self, invariants, counters),
      quarantine(settings.calls.quarantineTime, settings.calls.crashRecordsMax, counters),
      calls(settings.calls, {*loadBalancer, claims, quarantine, *this, invariants, counters}),
      handoverSender(claims, counters), handoverReceiver(claims, counters)
{ }

void gateway::state::start(instant now, action_list &actions)
{
    nextSweep = now + sweepInterval;
    membership->start(now, actions);
    expectedWake = nextWake();
}

void gateway::state::handle(instant now, const event &input, action_list &actions)
{
    if (stage == lifecycle_stage::finished)
        return;
    detectPause(now, actions);
    // Expired deadlines are handled before new work, so that no attempt starts for an expired call.
    // A response that has already arrived is still sent to its caller.
    if (!std::holds_alternative<attempt_finished>(input))
        calls.timerExpired(now, actions);
    (this->*eventHandlers.at(input.index()))(now, input, actions);
    if (stage != lifecycle_stage::serving)
        continueLeaving(now, actions);
    expectedWake = nextWake();
}

void gateway::state::detectPause(instant now, action_list &actions)
{
    if (expectedWake == instant::never() || now - expectedWake <= settings.pauseThreshold
        || !isMechanismEnabled("pause_detection"))
        return;
    counters.add("pauses_total");
    actions.push_back(
        write_log {log_level::warning,
                   "gateway",
                   "The process was paused: a timer fired too late.",
                   {{"late_ms", std::to_string(toMilliseconds(now - expectedWake))}}});
    loadBalancer->pauseDetected(now);
    membership->pauseDetected(now, actions);
}

instant gateway::state::nextWake() const
{
    if (stage == lifecycle_stage::finished)
        return instant::never();
    instant wake = std::min({calls.nextWake(), loadBalancer->nextWake(), membership->nextWake(),
                             nextSweep, handoverSender.nextWake()});
    if (stage != lifecycle_stage::serving)
        wake = std::min(wake, leaveDeadline);
    // While calls are in progress, their own timers determine the next wake-up.
    if (stage == lifecycle_stage::forwarding && calls.inProgress() == 0)
        wake = std::min(wake, forwardingEnd);
    return wake;
}

void gateway::state::on(instant now, const call_received &input, action_list &actions)
{
    calls.callReceived(now, input, membership->config(), actions);
}

void gateway::state::on(instant now, const caller_disconnected &input, action_list &actions)
{
    calls.callerDisconnected(now, input, actions);
}

void gateway::state::on(instant now, const attempt_finished &input, action_list &actions)
{
    calls.attemptFinished(now, input, actions);
    startProbes(calls.takeCrashProbes(now), actions);
}

void gateway::state::on(instant now, const probe_finished &input, action_list &)
{
    const auto found = probes.find(input.probe);
    if (found == probes.end()) {
        invariants.check("probe_ends_once", false);
        return;
    }
    const probe_request probeRequest = found->second;
    probes.erase(found);
    loadBalancer->probeFinished(now, probeRequest.worker, input.load, input.bytes);
    if (input.load)
        quarantine.workerAnswered(probeRequest.name);
    else
        quarantine.workerUnreachable(now, probeRequest.name);
}

void gateway::state::on(instant now, const entry_query &input, action_list &actions)
{
    counters.add("entry_queries_total");
    send_entry_response response;
    response.query = input.query;
    const shared_config &config = membership->config();
    if (!config || config->service(input.service) == nullptr) {
        response.refusalReason
            = config ? "no service has this name" : "no configuration is in force yet";
        actions.push_back(std::move(response));
        return;
    }
    response.addresses = membership->entryAddresses(now, input.service);
    if (response.addresses.empty()) {
        response.refusalReason = "no gateway is available";
        actions.push_back(std::move(response));
        return;
    }
    const double jitter = 1.0 + entryTtlJitter * random.uniform();
    response.ttl = scaled(config->objects().limits.entryCacheTime, jitter);
    response.keyRange = mintRangeFor(now, response.addresses.front());
    invariants.check("leaving_gateway_not_named",
                     stage == lifecycle_stage::serving
                         || std::find(response.addresses.begin(), response.addresses.end(),
                                      settings.fleetSettings.entryAddress)
                                == response.addresses.end());
    actions.push_back(std::move(response));
}

std::string gateway::state::mintRangeFor(instant now, const std::string &entryAddress)
{
    const std::uint64_t number = random.next();
    if (entryAddress != settings.fleetSettings.entryAddress) {
        for (const member_update &peer : membership->livePeers()) {
            if (peer.entryAddress == entryAddress && peer.clock > duration {0})
                return claims.mintRange(peer.process, peer.clock, number);
        }
    }
    // Otherwise the key range belongs to this process. If the caller sends a call with such a key
    // to another gateway, that gateway forwards the call to this process.
    if (stage != lifecycle_stage::serving)
        return {};
    return claims.mintRange(settings.fleetSettings.self, now.sinceOrigin(), number);
}

void gateway::state::on(instant now, const peer_message_received &input, action_list &actions)
{
    counters.add("peer_messages_total{type=\"" + std::string(messageName(input.message)) + "\"}");
    (this->*messageHandlers.at(input.message.index()))(now, input.from, input.message, actions);
}

void gateway::state::on(instant now, const process_id &from, const forwarded_call &input,
                        action_list &actions)
{
    if (input.request)
        calls.forwardedCallReceived(now, from, input, membership->config(), actions);
}

void gateway::state::on(instant now, const process_id &, const forwarded_response &input,
                        action_list &actions)
{
    calls.forwardedResponseReceived(now, input, actions);
}

void gateway::state::on(instant now, const process_id &from, const handover_chunk &input,
                        action_list &actions)
{
    sendAck(from, handoverReceiver.chunkReceived(now, input), actions);
}

void gateway::state::on(instant now, const process_id &from, const handover_commit &input,
                        action_list &actions)
{
    sendAck(from, handoverReceiver.commitReceived(now, from, input), actions);
    publishLocalState(now);
}

void gateway::state::on(instant now, const process_id &from, const handover_ack &input,
                        action_list &actions)
{
    handoverSender.acknowledged(now, from, input, actions);
}

void gateway::state::sendAck(const process_id &to, handover_ack ack, action_list &actions)
{
    const std::optional<std::string> address = membership->peerAddress(to);
    if (!address) {
        counters.add("handover_acks_without_receiver_total");
        return;
    }
    actions.push_back(send_peer_message {*address, 0, std::move(ack)});
}

void gateway::state::on(instant now, const peer_send_failed &input, action_list &actions)
{
    membership->peerSendFailed(now, input.peerAddress);
    if (input.messageId != 0)
        calls.forwardFailed(now, input.messageId, actions);
}

void gateway::state::on(instant now, const platform_value_read_finished &input,
                        action_list &actions)
{
    applyFleetChanges(now, membership->platformReadFinished(now, input, actions), actions);
}

void gateway::state::on(instant now, const drain_requested &input, action_list &actions)
{
    beginLeaving(now, input.deadline, "requested", actions);
}

void gateway::state::on(instant now, const timer_expired &, action_list &actions)
{
    applyFleetChanges(now, membership->timerExpired(now, actions), actions);
    if (now >= nextSweep)
        sweep(now);
    startProbes(calls.takeCrashProbes(now), actions);
    if (handoverSender.isStarted())
        handoverSender.timerExpired(now, successorCandidates(), actions);
    startProbes(loadBalancer->dueProbes(now), actions);
}

void gateway::state::applyFleetChanges(instant now, const fleet_changes &changes,
                                       action_list &actions)
{
    if (changes.configChanged) {
        loadBalancer->applyConfig(now, membership->config());
        counters.set("config_version", static_cast<double>(membership->config()->version()));
    }
    if (changes.leavingVmList)
        applyVmList(now, *changes.leavingVmList, actions);
    for (const worker_drain &drain : changes.drains)
        loadBalancer->markDraining(now, drain.worker, drain.age);
    for (const crash_record &crash : changes.crashes)
        quarantine.addRemoteCrash(now, crash);
    for (const handover_record &record : changes.handovers)
        claims.recordHandover(now, record);
}

void gateway::state::applyVmList(instant now, const std::vector<listed_vm> &list,
                                 action_list &actions)
{
    std::set<std::string> currentlyLeaving;
    for (const listed_vm &vm : list) {
        if (!vm.leaving)
            continue;
        const instant leaveAt
            = vm.leaveAtUnixMs == 0
                  ? instant::never()
                  : instant(milliseconds(vm.leaveAtUnixMs - settings.unixMsAtOrigin))
                        - clockSkewMax;
        currentlyLeaving.insert(vm.name);
        loadBalancer->markVmLeaving(now, vm.name, leaveAt);
        if (vm.name == settings.fleetSettings.self.vm)
            beginLeaving(now, leaveAt, "VM is leaving", actions);
    }
    for (const std::string &vm : leavingVms) {
        if (!currentlyLeaving.contains(vm))
            loadBalancer->clearVmLeaving(now, vm);
    }
    leavingVms = std::move(currentlyLeaving);
}

void gateway::state::startProbes(const std::vector<probe_request> &probeRequests,
                                 action_list &actions)
{
    for (const probe_request &probeRequest : probeRequests) {
        const probe_id probe = static_cast<probe_id>(nextProbe++);
        probes.emplace(probe, probeRequest);
        actions.push_back(start_probe {probe, probeRequest.address, probeRequest.timeLimit});
    }
}

void gateway::state::sweep(instant now)
{
    nextSweep = now + sweepInterval;
    claims.expire(now);
    quarantine.expire(now);
    handoverReceiver.expire(now);
    publishLocalState(now);
}

void gateway::state::publishLocalState(instant now)
{
    local_state localState;
    localState.callsInProgress = static_cast<std::uint32_t>(calls.inProgress());
    localState.drains = loadBalancer->recentDrains(now, drain_table::drainsMax);
    localState.crashes = quarantine.takeCrashes(now, digestRecordsMax);
    localState.handovers = claims.handovers(now);
    membership->setLocalState(std::move(localState));
}

void gateway::state::beginLeaving(instant now, instant deadline, std::string_view cause,
                                  action_list &actions)
{
    const instant limit = std::min(deadline, now + settings.drainTimeMax);
    if (stage != lifecycle_stage::serving) {
        leaveDeadline = std::min(leaveDeadline, limit);
        return;
    }
    stage = lifecycle_stage::leaving;
    leavingSince = now;
    leaveDeadline = limit;
    const shared_config &config = membership->config();
    const duration entryTtl = config ? config->objects().limits.entryCacheTime : duration {0};
    entriesExpireAt = now + scaled(entryTtl, 1.0 + entryTtlJitter);
    calls.closeConnectionsAfterResponses();
    membership->beginLeaving(now, actions);
    counters.set("leaving", 1);
    actions.push_back(
        write_log {log_level::info,
                   "gateway",
                   "Draining started; entry responses no longer contain this process.",
                   {{"cause", std::string(cause)},
                    {"deadline_ms", std::to_string(toMilliseconds(leaveDeadline - now))}}});
}

void gateway::state::continueLeaving(instant now, action_list &actions)
{
    const bool deadlineNear = now + handoverReserve >= leaveDeadline;
    if (stage == lifecycle_stage::leaving) {
        const bool entriesExpired = now >= entriesExpireAt;
        if (!deadlineNear && !(entriesExpired && calls.inProgress() == 0))
            return;
        // Shortly before the deadline, calls that are still in progress get an error response
        // instead of being dropped.
        calls.failAllCalls(now, "the drain deadline is near", actions);
        stage = lifecycle_stage::handing_over;
        claims.seal();
        handoverSender.start(now, successorCandidates(), actions);
    }
    if (stage == lifecycle_stage::handing_over) {
        if (!handoverSender.isFinished() && now < leaveDeadline)
            return;
        stage = lifecycle_stage::forwarding;
        const duration forwardingPeriod
            = settings.fleetSettings.exchangeInterval * forwardingExchangeIntervals;
        const bool hasPeers
            = !membership->livePeers().empty() && isMechanismEnabled("forward_after_handover");
        forwardingEnd = hasPeers ? std::min(leaveDeadline, now + forwardingPeriod) : now;
        publishLocalState(now);
    }
    if (now < forwardingEnd || (calls.inProgress() > 0 && now < leaveDeadline))
        return;
    calls.failAllCalls(now, "the gateway process is exiting", actions);
    stage = lifecycle_stage::finished;
    actions.push_back(
        exit_process {handoverSender.isFinished() ? "drained" : "drain deadline reached"});
}

std::vector<successor_candidate> gateway::state::successorCandidates() const
{
    std::vector<successor_candidate> candidates;
    for (const member_update &peer : membership->livePeers())
        candidates.push_back({peer.process, peer.peerAddress});
    return candidates;
}

nlohmann::json gateway::state::dump(instant now) const
{
    const shared_config &config = membership->config();
    return {
        {"process", toString(settings.fleetSettings.self)},
        {"interface_version", decisionInterfaceVersion},
        {"stage", toString(stage)},
        {"drain",
         {{"age_ms", stage == lifecycle_stage::serving ? 0 : toMilliseconds(now - leavingSince)},
          {"time_left_ms",
           leaveDeadline == instant::never() ? -1 : toMilliseconds(leaveDeadline - now)}}},
        {"config_version", config ? config->version() : 0},
        {"calls", calls.dump(now)},
        {"claims", claims.dump()},
        {"handover_out", handoverSender.dump()},
        {"handover_in", handoverReceiver.dump()},
        {"quarantine", quarantine.dump(now)},
        {"workers", loadBalancer->dump(now)},
        {"fleet", membership->dump(now)},
        {"probes_in_flight", probes.size()},
        {"invariants", invariants.dump()},
        {"counters", counters.dump()}};
}

gateway::gateway(std::unique_ptr<state> data) : m_state(std::move(data)) { }

gateway::~gateway() = default;

result<std::unique_ptr<gateway>> gateway::create(gateway_settings settings)
{
    if (settings.fleetSettings.self.vm.empty())
        return fail(error_code::invalid_settings, "create gateway", "",
                    "the name of the VM is empty");
    if (settings.claims.acceptPeriod <= duration {0}
        || settings.claims.replayPeriod <= duration {0})
        return fail(error_code::invalid_settings, "create gateway", "",
                    "claims.accept_s and claims.repeat_s must be positive");
    return std::unique_ptr<gateway>(new gateway(std::make_unique<state>(std::move(settings))));
}

void gateway::start(instant now, action_list &actions)
{
    m_state->start(now, actions);
}

void gateway::handle(instant now, const event &input, action_list &actions)
{
    m_state->handle(now, input, actions);
}

instant gateway::nextWake() const
{
    return m_state->nextWake();
}

nlohmann::json gateway::dump(instant now) const
{
    return m_state->dump(now);
}

nlohmann::json gateway::explain(instant now, std::string_view method, std::string_view target) const
{
    const shared_config &config = m_state->membership->config();
    if (!config)
        return {{"refusal", "no configuration is in force yet"}};
    const std::optional<route> found = config->findRoute(method, target);
    if (!found)
        return {{"refusal", "no routing rule matches"}};
    return {{"config_version", config->version()},
            {"rule", found->rule->name},
            {"service", found->service->name},
            {"group", found->group->name},
            {"idempotent", found->rule->idempotent},
            {"selection", config->objects().limits.selection},
            {"workers", m_state->loadBalancer->explain(now, *found->group)}};
}

const counter_set &gateway::counters() const
{
    return m_state->counters;
}

invariant_set &gateway::invariants()
{
    return m_state->invariants;
}

} // namespace almondnotch
