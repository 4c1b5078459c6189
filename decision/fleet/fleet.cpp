#include "decision/fleet/fleet.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_set>
#include <utility>

#include "core/digest.h"
#include "core/mechanisms.h"
#include "decision/fleet/config_fetcher.h"
#include "decision/fleet/config_store.h"
#include "decision/fleet/entry_selector.h"
#include "decision/fleet/membership.h"
#include "decision/fleet/peer_checks.h"
#include "decision/fleet/platform_reader.h"
#include "decision/fleet/record_turns.h"
#include "decision/fleet/rendezvous.h"
#include "decision/fleet/vm_list.h"

namespace almondnotch {

namespace {

/// Maximum number of member records that a full digest contains in round-robin order, in addition
/// to the recently changed ones, so that every record is sent over time.
constexpr std::size_t digestRoundRobinMembers = 6;
/// Maximum number of recently changed member records in a digest that is not full, which keeps
/// replies and pushes short.
constexpr std::size_t shortDigestMembersMax = 4;
/// Number of peers that a push contacts in addition to the fanout. Four receivers for each process
/// reach 200 processes within four hops.
constexpr unsigned pushExtraFanout = 2;
/// Minimum time between two pushes, so that many simultaneous changes cause only one push.
constexpr duration pushMinInterval = milliseconds(100);
/// One in this many exchange rounds also contacts a seed peer or configured gateway that is not
/// known to be alive, so that the sides of a healed partition find each other.
constexpr unsigned reconnectPeriodRounds = 4;
/// Number of seed peers and configured gateways that a new process contacts in each exchange round,
/// in addition to the fanout, until a peer has reported its configuration version.
constexpr std::size_t startupFanout = 8;
/// Interval of the exchange rounds until a peer has reported its configuration version, unless
/// `exchangeInterval` is shorter.
constexpr duration startupExchangeInterval = milliseconds(250);
/// If a peer reports as unresponsive a process that this gateway has had contact with within this
/// time, the reply contains the record of the process, which confirms it as alive.
constexpr duration recentContactWindow = seconds(1);
/// Time after which an indirect probe is dropped. A later answer is not reported to the requester.
constexpr duration indirectProbeTimeout = seconds(2);
/// Maximum number of indirect probes in progress.
constexpr std::size_t indirectProbesMax = 64;
/// A gateway that has not answered for this long is included in entry responses only if no other
/// gateway is available.
constexpr duration unresponsiveAfter = seconds(1);
/// A rejected digest is logged only if no digest was rejected within this time before it. A faulty
/// peer sends several digests a second; the counter counts them all.
constexpr duration rejectionLogInterval = seconds(10);

enum class start_phase {
    /// No peer has reported a configuration version.
    asking,
    /// A peer has reported its configuration version; the set of this version or a newer one is
    /// being fetched.
    answered,
    /// The process does not wait for peers: it knew none at its start, or the wait has ended.
    done,
};

std::string_view toString(start_phase phase)
{
    switch (phase) {
    case start_phase::asking:
        return "asking";
    case start_phase::answered:
        return "answered";
    case start_phase::done:
        return "done";
    }
    return "done";
}

/// Returns `age` increased by `elapsed`. An age of `duration::max()` means "never" and is returned
/// unchanged; larger sums are limited to it.
duration advanceAge(duration age, duration elapsed)
{
    return age > duration::max() - elapsed ? duration::max() : age + elapsed;
}

membership_settings membershipSettings(const fleet_settings &settings)
{
    membership_settings out;
    out.suspectAfter = settings.suspectAfter;
    out.goneAfter = settings.goneAfter;
    return out;
}

member_update selfUpdate(const fleet_settings &settings)
{
    member_update self;
    self.process = settings.self;
    self.failureDomain = settings.failureDomain;
    self.entryAddress = settings.entryAddress;
    self.isJoining = true;
    self.peerAddress = settings.peerAddress;
    return self;
}

} // namespace

struct fleet::state
{
    state(fleet_settings values, random_source &source, invariant_set &invariants,
          counter_set &counterSet)
        : settings(std::move(values)), random(source), counters(counterSet),
          store(invariants, counterSet),
          members(membershipSettings(settings), selfUpdate(settings), counterSet),
          platformLeavingVms(counterSet),
          reader(settings.watchTimeout,
                 settings.platformCallsPerSecond / settings.assumedGatewayCount, source, invariants,
                 counterSet),
          fetcher(store, reader, source, counterSet), entrySelector(source)
    { }

    struct digest_options
    {
        /// If true, the digest also contains member records in round-robin order, unresponsive
        /// peers, drains, crash records and handovers, and its number of gossiped member records is
        /// limited by `digestMembersMax` instead of `shortDigestMembersMax`.
        bool full = false;
        bool replyRequested = false;
        /// VMs whose member records the digest must contain.
        std::set<std::string> requiredVms;
    };

    /// A probe of a process on behalf of a peer that gets no answer from it.
    struct indirect_probe
    {
        std::string vm;
        std::string requesterAddress;
        instant expiresAt;
    };

    void log(action_list &actions, log_level level, std::string logMessage,
             std::vector<header_field> fields) const;
    void send(action_list &actions, const std::string &address, peer_message message);
    fleet_digest makeDigest(instant now, const digest_options &options);
    void sendDigest(instant now, action_list &actions, const std::string &address,
                    const digest_options &options);
    /// Peer addresses of up to `count` randomly chosen processes that may still run.
    std::vector<std::string> pickPeers(std::size_t count);
    /// Up to `count` randomly chosen addresses of seed peers and configured gateways that are not
    /// known to be alive.
    std::vector<std::string> pickUnknownAddresses(std::size_t count);
    /// Sends digests outside the exchange rounds, so that an urgent change spreads immediately.
    void push(instant now, action_list &actions);
    void runExchangeRound(instant now, action_list &actions);
    void advanceStartPhase(instant now, action_list &actions, fleet_changes &changes);

    /// VMs of the gateways in a failure domain that read the platform: those with the highest
    /// rendezvous scores.
    std::set<std::string> designatedReaders(const std::string &failureDomain) const;
    void updateReaderRole(instant now);
    void updateReaderActivity(instant now, const fleet_digest &digest);
    void handleVmListChange(fleet_changes &changes);
    bool isListedLeaving(const process_id &process) const;
    bool isEntryEligible(const member_update &update) const;

    void handleDigest(instant now, const process_id &from, const fleet_digest &digest,
                      action_list &actions, fleet_changes &changes);
    void mergeMembers(instant now, const fleet_digest &digest, digest_options &replyOptions,
                      bool &shouldReply);
    void handleProbeRequests(instant now, const fleet_digest &digest, digest_options &replyOptions,
                             bool &shouldReply, action_list &actions);
    void compareConfig(instant now, const fleet_digest &digest, bool &shouldReply,
                       action_list &actions, fleet_changes &changes);
    void handleConfigRequest(instant now, const process_id &from, const config_request &request,
                             action_list &actions);
    void handleConfigData(instant now, const config_data &data, action_list &actions,
                          fleet_changes &changes);
    void handleOfferOutcome(instant now, offer_outcome outcome, fleet_changes &changes);
    void handleActivation(instant now, fleet_changes &changes);
    void handleReadResult(instant now, platform_read_result readResult, action_list &actions,
                          fleet_changes &changes);
    /// Called at the end of every event; sends the requests, reads and pushes that are due.
    void runDueWork(instant now, action_list &actions);
    nlohmann::json dump(instant now) const;

    fleet_settings settings;
    random_source &random;
    counter_set &counters;
    config_store store;
    membership members;
    leaving_vms platformLeavingVms;
    platform_reader reader;
    config_fetcher fetcher;
    entry_selector entrySelector;

    instant lastEventAt;
    std::uint64_t lastMessageId = 0;
    unsigned round = 0;
    instant nextExchange = instant::never();
    bool pushPending = false;
    instant pushAllowedAt;

    start_phase phase = start_phase::done;
    instant phaseDeadline;
    /// True if the process stopped waiting for peers at startup without an answer, or without the
    /// set that a peer had reported, and no peer has reported a version since.
    bool isConfigUnconfirmed = false;

    instant startedAt;
    /// Time of the latest successful read of the manifest by any gateway since the start of this
    /// process, as reported by peers. Includes reads of this process, which peers report back.
    std::optional<instant> newestReportedReadAt;
    /// True if this process reads the platform because no gateway has read it successfully within
    /// `readerFailoverTimeout`.
    bool isBackupReader = false;
    instant backupTakeoverAt = instant::never();

    /// Start number of the process that was known on a VM when the VM was listed as leaving; 0 if
    /// none was known.
    std::map<std::string, std::uint64_t> startNumberWhenListed;
    std::vector<indirect_probe> indirectProbes;

    instant nextRejectionLogAt;
    local_state localState;
    instant localStateSetAt;
    std::size_t drainCursor = 0;
    std::size_t crashCursor = 0;
    std::size_t handoverCursor = 0;
};

void fleet::state::log(action_list &actions, log_level level, std::string logMessage,
                       std::vector<header_field> fields) const
{
    actions.emplace_back(write_log {level, "fleet", std::move(logMessage), std::move(fields)});
}

void fleet::state::send(action_list &actions, const std::string &address, peer_message message)
{
    actions.emplace_back(send_peer_message {address, ++lastMessageId, std::move(message)});
}

fleet_digest fleet::state::makeDigest(instant now, const digest_options &options)
{
    fleet_digest digest;
    digest.self = members.self();
    digest.self.clock = now.sinceOrigin();
    digest.configVersion = store.version();
    digest.manifestSha256 = store.manifestSha256();
    digest.platformReadAge = reader.readAge(now);
    digest.minPlatformReadAge = digest.platformReadAge;
    if (newestReportedReadAt)
        digest.minPlatformReadAge
            = std::min(digest.minPlatformReadAge, now - *newestReportedReadAt);
    digest.replyRequested = options.replyRequested;
    digest.vmListVersion = platformLeavingVms.version();
    digest.leavingVmCount = static_cast<std::uint32_t>(platformLeavingVms.vmCount());
    digest.leavingVms = platformLeavingVms.takeLeavingRoundRobin(digestLeavingVmsMax);
    for (const std::string &vm : options.requiredVms)
        if (const std::optional<member_update> update = members.currentUpdate(now, vm);
            update && digest.members.size() < digestMembersMax)
            digest.members.push_back(*update);
    if (members.isAwaitingContact())
        return digest;
    const std::size_t remainingSlots = digestMembersMax - digest.members.size();
    for (member_update &update : members.takeGossipUpdates(
             now, options.full ? remainingSlots : std::min(remainingSlots, shortDigestMembersMax),
             options.full ? digestRoundRobinMembers : 0))
        if (!options.requiredVms.contains(update.process.vm))
            digest.members.push_back(std::move(update));
    if (!options.full)
        return digest;
    digest.unresponsivePeers = members.unresponsivePeers(now, settings.exchangeInterval, random);
    digest.drains = takeFirstAndRoundRobin(localState.drains, digestRecordsMax, drainCursor);
    for (worker_drain &drain : digest.drains)
        drain.age = advanceAge(drain.age, now - localStateSetAt);
    digest.crashes = takeRoundRobin(localState.crashes, digestRecordsMax, crashCursor);
    for (crash_record &crash : digest.crashes)
        crash.age = advanceAge(crash.age, now - localStateSetAt);
    digest.handovers = takeRoundRobin(localState.handovers, digestRecordsMax, handoverCursor);
    return digest;
}

void fleet::state::sendDigest(instant now, action_list &actions, const std::string &address,
                              const digest_options &options)
{
    if (options.replyRequested)
        members.markUnanswered(now, address);
    // A process can refute a false suspicion only if it learns of it. The record is added to
    // messages that are sent anyway: a separate reply to each digest of a suspected process would
    // let two processes that suspect each other exchange digests without end.
    digest_options effective = options;
    if (std::optional<std::string> nonAliveVm = members.findNonAliveVm(address))
        effective.requiredVms.insert(std::move(*nonAliveVm));
    send(actions, address, makeDigest(now, effective));
}

std::vector<std::string> fleet::state::pickPeers(std::size_t count)
{
    std::vector<const member_record *> peers = members.contactableMembers();
    std::vector<std::string> addresses;
    while (!peers.empty() && addresses.size() < count) {
        std::swap(peers[random.below(peers.size())], peers.back());
        addresses.push_back(peers.back()->update.peerAddress);
        peers.pop_back();
    }
    return addresses;
}

std::vector<std::string> fleet::state::pickUnknownAddresses(std::size_t count)
{
    std::unordered_set<std::string> known {settings.peerAddress};
    for (const std::pair<const std::string, member_record> &entry : members.records())
        if (entry.second.update.state == gateway_state::alive)
            known.insert(entry.second.update.peerAddress);
    std::vector<std::string> addresses;
    for (const std::string &seed : settings.seedPeers)
        if (known.insert(seed).second)
            addresses.push_back(seed);
    const shared_config &published = store.config() ? store.config() : store.stagedConfig();
    if (published != nullptr)
        for (const entry_vm &vm : published->objects().entryVms)
            if (known.insert(vm.peerAddress).second)
                addresses.push_back(vm.peerAddress);
    for (std::size_t i = 0; i < std::min(count, addresses.size()); ++i)
        std::swap(addresses[i], addresses[i + random.below(addresses.size() - i)]);
    if (addresses.size() > count)
        addresses.resize(count);
    return addresses;
}

void fleet::state::push(instant now, action_list &actions)
{
    pushPending = false;
    pushAllowedAt = now + pushMinInterval;
    for (const std::string &address : pickPeers(settings.fanout + pushExtraFanout))
        sendDigest(now, actions, address, {});
}

void fleet::state::runExchangeRound(instant now, action_list &actions)
{
    for (const process_id &process : members.checkTimeouts(now))
        log(actions, log_level::warning,
            "a gateway did not answer before the timeout; declared it gone",
            {{"process", toString(process)}});
    for (const std::pair<const std::string, member_record> &entry : members.records())
        if (entry.second.update.state == gateway_state::gone)
            fetcher.forgetPeer(entry.second.update.peerAddress);
    std::erase_if(indirectProbes,
                  [&](const indirect_probe &probe) { return probe.expiresAt <= now; });
    counters.set("gateways_known", static_cast<double>(members.contactableMembers().size() + 1));

    std::vector<std::string> addresses = pickPeers(settings.fanout);
    const bool asking = phase == start_phase::asking;
    if (asking || addresses.empty()
        || (++round % reconnectPeriodRounds == 0 && isMechanismEnabled("partition_heal"))) {
        const std::size_t count = asking              ? startupFanout
                                  : addresses.empty() ? std::max(settings.fanout, 1U)
                                                      : 1;
        for (std::string &address : pickUnknownAddresses(count))
            addresses.push_back(std::move(address));
    }
    for (const std::string &address : addresses)
        sendDigest(now, actions, address,
                   {.full = true, .replyRequested = true, .requiredVms = {}});
    // Up to `digestUnresponsivePeersMax` processes that have not answered are contacted again,
    // until they answer or are declared gone.
    for (const process_id &process :
         members.unresponsivePeers(now, settings.exchangeInterval / 2, random)) {
        const std::string &address = members.find(process.vm)->update.peerAddress;
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
            sendDigest(now, actions, address,
                       {.full = false, .replyRequested = true, .requiredVms = {}});
    }
    updateReaderRole(now);
    const duration interval = asking ? std::min(startupExchangeInterval, settings.exchangeInterval)
                                     : settings.exchangeInterval;
    // The interval varies between 0.8 and 1.2 of its nominal value, so that the processes do not
    // synchronize.
    nextExchange
        = now + interval * 4 / 5
          + duration(random.below(static_cast<std::uint64_t>(interval.count()) * 2 / 5 + 1));
}

void fleet::state::advanceStartPhase(instant now, action_list &actions, fleet_changes &changes)
{
    if (phase == start_phase::done)
        return;
    if (phase == start_phase::answered && store.version() > 0) {
        phase = start_phase::done;
        store.setMinimumVersion(0, actions);
        return;
    }
    if (now < phaseDeadline)
        return;
    log(actions, log_level::warning,
        "no peer reported a configuration version, or the reported set did not arrive, before the "
        "startup timeout; using the platform's configuration without confirmation",
        {{"phase", std::string(toString(phase))}});
    phase = start_phase::done;
    isConfigUnconfirmed = true;
    counters.add("starts_unconfirmed_total");
    if (store.setMinimumVersion(0, actions))
        handleActivation(now, changes);
}

std::set<std::string> fleet::state::designatedReaders(const std::string &failureDomain) const
{
    std::vector<std::pair<double, std::string>> scores;
    const auto add = [&](const member_update &update) {
        if (update.state == gateway_state::alive && update.failureDomain == failureDomain)
            scores.emplace_back(rendezvousScore(failureDomain, update.process.vm),
                                update.process.vm);
    };
    add(members.self());
    for (const std::pair<const std::string, member_record> &entry : members.records())
        add(entry.second.update);
    std::sort(scores.begin(), scores.end(), std::greater<> {});
    std::set<std::string> readers;
    for (const std::pair<double, std::string> &score : scores)
        if (readers.size() < settings.readersPerDomain)
            readers.insert(score.second);
    return readers;
}

void fleet::state::updateReaderRole(instant now)
{
    // Before the first contact with a peer, every new process would consider itself a designated
    // reader.
    if (phase == start_phase::asking)
        return;
    const bool designated = designatedReaders(settings.failureDomain).contains(settings.self.vm);
    const bool areReadersStale
        = now - newestReportedReadAt.value_or(startedAt) > settings.readerFailoverTimeout;
    if (designated) {
        isBackupReader = false;
        backupTakeoverAt = instant::never();
    } else if (!isBackupReader) {
        if (!areReadersStale)
            backupTakeoverAt = instant::never();
        else if (backupTakeoverAt == instant::never())
            backupTakeoverAt = now
                               + duration(random.below(static_cast<std::uint64_t>(
                                   settings.readerFailoverTimeout.count())));
        if (now >= backupTakeoverAt) {
            isBackupReader = true;
            counters.add("reader_step_ins_total");
        }
    }
    const bool watching = designated || isBackupReader;
    if (!watching && store.version() > 0)
        reader.cancelRequestedRead();
    reader.setWatching(watching);
}

void fleet::state::updateReaderActivity(instant now, const fleet_digest &digest)
{
    // Reads from before the start of this process do not count for the failover timeout.
    if (digest.minPlatformReadAge <= now - startedAt)
        newestReportedReadAt
            = std::max(newestReportedReadAt.value_or(startedAt), now - digest.minPlatformReadAge);
    // A backup reader stops when it learns of an active designated reader, or of another active
    // reader with a higher rendezvous score. At most one backup reader therefore remains.
    if (!isBackupReader || digest.platformReadAge > settings.readerFailoverTimeout)
        return;
    const std::string &domain = digest.self.failureDomain;
    const std::string &vm = digest.self.process.vm;
    if (designatedReaders(domain).contains(vm)
        || rendezvousScore("volunteer", vm) > rendezvousScore("volunteer", settings.self.vm)) {
        isBackupReader = false;
        backupTakeoverAt = instant::never();
        updateReaderRole(now);
    }
}

bool fleet::state::isListedLeaving(const process_id &process) const
{
    const listed_vm *vm = platformLeavingVms.find(process.vm);
    if (vm == nullptr)
        return false;
    // The VM list may be outdated: an entry may refer to an earlier VM of the same name. A process
    // that started after the VM's leave time, or that replaced the process known when the VM was
    // listed, runs on another VM.
    const std::int64_t startedUnixMs = static_cast<std::int64_t>(process.startNumber >> 20);
    if (vm->leaveAtUnixMs != 0 && startedUnixMs > vm->leaveAtUnixMs)
        return false;
    const auto found = startNumberWhenListed.find(process.vm);
    return found == startNumberWhenListed.end() || found->second == 0
           || process.startNumber <= found->second;
}

bool fleet::state::isEntryEligible(const member_update &update) const
{
    return (update.state == gateway_state::alive || !isMechanismEnabled("entry_skips_leaving"))
           && (!update.isJoining || !isMechanismEnabled("joining_not_named"))
           && !isListedLeaving(update.process);
}

void fleet::state::handleVmListChange(fleet_changes &changes)
{
    std::vector<listed_vm> leaving = platformLeavingVms.leaving();
    std::map<std::string, std::uint64_t> startNumbers;
    for (const listed_vm &vm : leaving) {
        const auto before = startNumberWhenListed.find(vm.name);
        const member_record *record = members.find(vm.name);
        if (before != startNumberWhenListed.end())
            startNumbers[vm.name] = before->second;
        else if (vm.name == settings.self.vm)
            startNumbers[vm.name] = settings.self.startNumber;
        else
            startNumbers[vm.name] = record == nullptr ? 0 : record->update.process.startNumber;
    }
    startNumberWhenListed = std::move(startNumbers);
    if (!isListedLeaving(settings.self))
        std::erase_if(leaving, [&](const listed_vm &vm) { return vm.name == settings.self.vm; });
    changes.leavingVmList = std::move(leaving);
    pushPending = true;
}

void fleet::state::mergeMembers(instant now, const fleet_digest &digest,
                                digest_options &replyOptions, bool &shouldReply)
{
    for (const member_update &update : digest.members) {
        const merge_outcome outcome = members.merge(now, update);
        if (outcome == merge_outcome::refuted) {
            shouldReply = true;
            pushPending = true;
        }
        if (outcome == merge_outcome::changed && update.state == gateway_state::leaving)
            pushPending = true;
    }
    const member_record *record = members.find(digest.self.process.vm);
    if (record != nullptr
        && (record->update.incarnation != digest.self.incarnation
            || record->update.state != digest.self.state))
        replyOptions.requiredVms.insert(digest.self.process.vm);
}

void fleet::state::handleProbeRequests(instant now, const fleet_digest &digest,
                                       digest_options &replyOptions, bool &shouldReply,
                                       action_list &actions)
{
    for (const process_id &process : digest.unresponsivePeers) {
        const member_record *record = members.find(process.vm);
        if (record == nullptr || record->update.process != process
            || record->update.state == gateway_state::gone)
            continue;
        if (now - record->lastContactAt <= recentContactWindow) {
            replyOptions.requiredVms.insert(process.vm);
            shouldReply = true;
        } else if (std::any_of(indirectProbes.begin(), indirectProbes.end(),
                               [&](const indirect_probe &probe) {
                                   return probe.vm == process.vm
                                          && probe.requesterAddress == digest.self.peerAddress;
                               })) {
            continue;
        } else if (indirectProbes.size() < indirectProbesMax) {
            indirectProbes.push_back(
                {process.vm, digest.self.peerAddress, now + indirectProbeTimeout});
            sendDigest(now, actions, record->update.peerAddress,
                       {.full = false, .replyRequested = true, .requiredVms = {}});
        } else {
            counters.add("relays_refused_total");
        }
    }
    for (const indirect_probe &probe : indirectProbes)
        if (probe.vm == digest.self.process.vm)
            sendDigest(now, actions, probe.requesterAddress,
                       {.full = false, .replyRequested = false, .requiredVms = {probe.vm}});
    std::erase_if(indirectProbes,
                  [&](const indirect_probe &probe) { return probe.vm == digest.self.process.vm; });
}

void fleet::state::compareConfig(instant now, const fleet_digest &digest, bool &shouldReply,
                                 action_list &actions, fleet_changes &changes)
{
    if (digest.configVersion < store.version())
        shouldReply = true;
    if (digest.configVersion == 0)
        return;
    isConfigUnconfirmed = false;
    if (phase == start_phase::asking) {
        phase = start_phase::answered;
        phaseDeadline = now + 2 * settings.startupPeerTimeout;
        if (store.setMinimumVersion(digest.configVersion, actions))
            handleActivation(now, changes);
    }
    if (digest.configVersion == store.version() && digest.manifestSha256 != store.manifestSha256())
        store.recordConflict(digest.configVersion, digest.manifestSha256, actions);
    fetcher.peerAdvertised(now, digest.self.peerAddress, digest.configVersion,
                           digest.manifestSha256);
}

void fleet::state::handleDigest(instant now, const process_id &from, const fleet_digest &digest,
                                action_list &actions, fleet_changes &changes)
{
    if (const result<void> checked = checkDigest(from, digest); !checked) {
        counters.add("peer_messages_refused_total{reason=\"malformed\"}");
        if (now >= nextRejectionLogAt)
            log(actions, log_level::warning, "rejected a malformed digest from a peer",
                {{"peer", toString(from)}, {"message", checked.error().message}});
        nextRejectionLogAt = std::max(nextRejectionLogAt, now + rejectionLogInterval);
        return;
    }
    if (from == settings.self)
        return;
    digest_options replyOptions;
    const member_record *known = members.find(from.vm);
    if (known != nullptr && known->update.process.startNumber > from.startNumber) {
        // The sender was replaced by another process of its VM, whose record the reply contains.
        counters.add("peer_messages_refused_total{reason=\"replaced_process\"}");
        replyOptions.requiredVms.insert(from.vm);
        sendDigest(now, actions, digest.self.peerAddress, replyOptions);
        return;
    }
    const bool isNewProcess = known == nullptr || known->update.process != from
                              || known->update.state == gateway_state::gone;
    const bool wasLeaving = !isNewProcess && known->update.state == gateway_state::leaving;
    if (members.mergeDirect(now, digest.self) == merge_outcome::superseded) {
        log(actions, log_level::error,
            "this process is superseded: another process of this VM has a higher start number",
            {{"process", toString(from)}});
        return;
    }
    if (digest.self.state == gateway_state::leaving && !wasLeaving)
        pushPending = true;

    bool shouldReply = digest.replyRequested;
    replyOptions.full = isNewProcess;
    mergeMembers(now, digest, replyOptions, shouldReply);
    handleProbeRequests(now, digest, replyOptions, shouldReply, actions);
    updateReaderActivity(now, digest);
    if (platformLeavingVms.applyPartial(digest.vmListVersion, digest.leavingVmCount,
                                        digest.leavingVms))
        handleVmListChange(changes);
    compareConfig(now, digest, shouldReply, actions, changes);
    changes.drains = digest.drains;
    changes.crashes = digest.crashes;
    changes.handovers = digest.handovers;
    if (shouldReply)
        sendDigest(now, actions, digest.self.peerAddress, replyOptions);
}

void fleet::state::handleConfigRequest(instant now, const process_id &from,
                                       const config_request &request, action_list &actions)
{
    const member_record *record = members.find(from.vm);
    if (!checkConfigRequest(request)) {
        counters.add("peer_messages_refused_total{reason=\"malformed\"}");
        return;
    }
    if (record == nullptr || record->update.process != from) {
        counters.add("peer_messages_refused_total{reason=\"unknown_sender\"}");
        return;
    }
    const std::string &address = record->update.peerAddress;
    if (request.version != store.version() || request.manifestSha256 != store.manifestSha256()) {
        // The set was replaced in the meantime; the digest advertises the newer one to the peer.
        sendDigest(now, actions, address, {});
        return;
    }
    if (request.partSha256.empty()) {
        send(actions, address, config_data {"manifest", store.version(), *store.manifestText()});
        return;
    }
    for (const std::string &hash : request.partSha256)
        if (const config_store::shared_text text = store.part(hash); text != nullptr)
            send(actions, address, config_data {hash, store.version(), *text});
}

void fleet::state::handleConfigData(instant now, const config_data &data, action_list &actions,
                                    fleet_changes &changes)
{
    if (!checkConfigData(data)) {
        counters.add("peer_messages_refused_total{reason=\"malformed\"}");
        return;
    }
    offer_outcome outcome = offer_outcome::unexpected_part;
    if (data.key != "manifest")
        outcome = store.offerPart(data.key, data.text, actions);
    else if (fetcher.expectsManifest(data.version, sha256Hex(data.text)))
        outcome = store.offerManifest(data.text, actions);
    if (outcome == offer_outcome::unexpected_part) {
        // Late responses to a request that was retried with another source are normal.
        counters.add("config_data_unwanted_total");
        return;
    }
    fetcher.valueReceived(now, data.key);
    if (phase == start_phase::answered)
        phaseDeadline = now + 2 * settings.startupPeerTimeout;
    handleOfferOutcome(now, outcome, changes);
}

void fleet::state::handleOfferOutcome(instant now, offer_outcome outcome, fleet_changes &changes)
{
    if (outcome == offer_outcome::activated)
        handleActivation(now, changes);
    fetcher.stopIfResolved();
}

void fleet::state::handleActivation(instant now, fleet_changes &changes)
{
    changes.configChanged = true;
    members.markReady();
    pushPending = true;
    pushAllowedAt = now;
    reader.setRate(now, settings.platformCallsPerSecond
                            / std::max(1U, store.config()->objects().limits.maxGateways));
}

void fleet::state::handleReadResult(instant now, platform_read_result readResult,
                                    action_list &actions, fleet_changes &changes)
{
    if (!readResult.value)
        return;
    switch (readResult.key) {
    case platform_key::manifest: {
        const offer_outcome outcome
            = store.offerManifest(std::move(readResult.value->text), actions);
        handleOfferOutcome(now, outcome, changes);
        if (outcome == offer_outcome::pending)
            fetcher.startFromPlatform(now);
        break;
    }
    case platform_key::part: {
        const offer_outcome outcome
            = store.offerPart(readResult.partSha256, std::move(readResult.value->text), actions);
        if (outcome == offer_outcome::pending
            && !store.missingParts().contains(readResult.partSha256))
            fetcher.valueReceived(now, readResult.partSha256);
        handleOfferOutcome(now, outcome, changes);
        break;
    }
    case platform_key::vm_list: {
        const result<published_vm_list> list = published_vm_list::parse(readResult.value->text);
        if (!list) {
            counters.add("vm_list_refused_total{reason=\"malformed\"}");
            log(actions, log_level::warning, "rejected a malformed VM list from the platform",
                {{"message", list.error().message}});
        } else if (platformLeavingVms.applyPublished(*list)) {
            handleVmListChange(changes);
        }
        break;
    }
    }
}

void fleet::state::runDueWork(instant now, action_list &actions)
{
    lastEventAt = now;
    while (const std::optional<config_fetcher::peer_request> due = fetcher.nextRequest(now))
        send(actions, due->peerAddress, due->request);
    reader.issueDueReads(now, actions);
    if (pushPending && now >= pushAllowedAt)
        push(now, actions);
}

nlohmann::json fleet::state::dump(instant now) const
{
    nlohmann::json out = {
        {"config", store.dump()},
        {"fetch", fetcher.dump()},
        {"membership", members.dump(now)},
        {"vm_list", platformLeavingVms.dump()},
        {"reader", reader.dump(now)},
        {"start_phase", toString(phase)},
        {"unconfirmed", isConfigUnconfirmed},
        {"relays", indirectProbes.size()},
        {"relays_max", indirectProbesMax},
        {"facts",
         {{"drains", localState.drains.size()},
          {"crashes", localState.crashes.size()},
          {"handovers", localState.handovers.size()},
          {"per_digest_max", digestRecordsMax}}},
    };
    out["reader"]["volunteer"] = isBackupReader;
    if (newestReportedReadAt)
        out["reader"]["others_read_age_ms"] = toMilliseconds(now - *newestReportedReadAt);
    return out;
}

fleet::fleet(std::unique_ptr<state> data) : m_state(std::move(data)) { }

fleet::~fleet() = default;

std::unique_ptr<fleet> fleet::create(fleet_settings settings, random_source &random,
                                     invariant_set &invariants, counter_set &counters)
{
    return std::unique_ptr<fleet>(
        new fleet(std::make_unique<state>(std::move(settings), random, invariants, counters)));
}

void fleet::start(instant now, action_list &actions)
{
    state &impl = *m_state;
    impl.startedAt = now;
    const bool hasSeeds = !impl.pickUnknownAddresses(1).empty();
    if (hasSeeds && isMechanismEnabled("start_asks_peers")) {
        impl.phase = start_phase::asking;
        impl.phaseDeadline = now + impl.settings.startupPeerTimeout;
        impl.store.setMinimumVersion(std::numeric_limits<std::uint64_t>::max(), actions);
    }
    impl.reader.requestRead();
    impl.runExchangeRound(now, actions);
    impl.runDueWork(now, actions);
}

fleet_changes fleet::timerExpired(instant now, action_list &actions)
{
    state &impl = *m_state;
    fleet_changes changes;
    impl.advanceStartPhase(now, actions, changes);
    if (now >= impl.nextExchange)
        impl.runExchangeRound(now, actions);
    impl.runDueWork(now, actions);
    return changes;
}

fleet_changes fleet::platformReadFinished(instant now, const platform_value_read_finished &input,
                                          action_list &actions)
{
    state &impl = *m_state;
    fleet_changes changes;
    if (std::optional<platform_read_result> readResult = impl.reader.readFinished(now, input))
        impl.handleReadResult(now, std::move(*readResult), actions, changes);
    impl.advanceStartPhase(now, actions, changes);
    impl.runDueWork(now, actions);
    return changes;
}

fleet_changes fleet::peerMessage(instant now, const process_id &from, const peer_message &message,
                                 action_list &actions)
{
    state &impl = *m_state;
    fleet_changes changes;
    if (const fleet_digest *digest = std::get_if<fleet_digest>(&message))
        impl.handleDigest(now, from, *digest, actions, changes);
    else if (const config_request *request = std::get_if<config_request>(&message))
        impl.handleConfigRequest(now, from, *request, actions);
    else if (const config_data *data = std::get_if<config_data>(&message))
        impl.handleConfigData(now, *data, actions, changes);
    impl.advanceStartPhase(now, actions, changes);
    impl.runDueWork(now, actions);
    return changes;
}

void fleet::peerSendFailed(instant now, const std::string &peerAddress)
{
    m_state->members.markUnanswered(now, peerAddress);
    m_state->fetcher.peerFailed(now, peerAddress);
}

void fleet::pauseDetected(instant now, action_list &actions)
{
    state &impl = *m_state;
    impl.members.pauseDetected(now);
    // Contacts peers immediately, since this process declares no other process suspect or gone
    // until a peer has contacted it.
    impl.runExchangeRound(now, actions);
    impl.runDueWork(now, actions);
}

void fleet::beginLeaving(instant now, action_list &actions)
{
    state &impl = *m_state;
    if (impl.members.self().state == gateway_state::leaving)
        return;
    impl.members.beginLeaving();
    impl.updateReaderRole(now);
    impl.push(now, actions);
    impl.runDueWork(now, actions);
}

void fleet::setLocalState(local_state localState)
{
    m_state->members.setCallsInProgress(localState.callsInProgress);
    m_state->localState = std::move(localState);
    m_state->localStateSetAt = m_state->lastEventAt;
}

const shared_config &fleet::config() const
{
    return m_state->store.config();
}

std::vector<std::string> fleet::entryAddresses(instant now, std::string_view service)
{
    state &impl = *m_state;
    const shared_config &config = impl.store.config();
    if (config == nullptr || config->service(service) == nullptr)
        return {};
    std::vector<entry_candidate> candidates;
    std::vector<entry_candidate> unresponsive;
    const auto add = [&](const member_update &update, bool isUnresponsive) {
        if (impl.isEntryEligible(update))
            (isUnresponsive ? unresponsive : candidates)
                .push_back({update.process.vm, update.failureDomain, update.entryAddress,
                            update.callsInProgress});
    };
    add(impl.members.self(), impl.members.isSuperseded());
    // After this process was suspended, its membership table may be outdated: other processes may
    // have left or ended meanwhile. Until a peer has contacted it, which takes about one round
    // trip, only the address of this gateway is returned.
    if (impl.members.isAwaitingContact() && !candidates.empty())
        return {impl.settings.entryAddress};
    for (const std::pair<const std::string, member_record> &entry : impl.members.records())
        add(entry.second.update, entry.second.unansweredSince != instant::never()
                                     && now - entry.second.unansweredSince > unresponsiveAfter);
    return impl.entrySelector.choose(now, service, candidates.empty() ? unresponsive : candidates,
                                     config->objects().limits.entryCacheTime);
}

std::optional<std::string> fleet::peerAddress(const process_id &process) const
{
    const member_record *record = m_state->members.find(process.vm);
    if (record == nullptr || record->update.process != process
        || record->update.state == gateway_state::gone)
        return std::nullopt;
    return record->update.peerAddress;
}

bool fleet::isGone(const process_id &process) const
{
    return m_state->members.isGone(process);
}

std::vector<member_update> fleet::livePeers() const
{
    const state &impl = *m_state;
    std::vector<member_update> peers;
    for (const std::pair<const std::string, member_record> &entry : impl.members.records())
        if (impl.isEntryEligible(entry.second.update))
            peers.push_back(*impl.members.currentUpdate(impl.lastEventAt, entry.first));
    const std::string &domain = impl.settings.failureDomain;
    const shared_config &config = impl.store.config();
    const auto distance = [&](const member_update &peer) {
        return peer.failureDomain == domain ? duration {-1}
               : config == nullptr          ? duration {0}
                                            : config->oneWayDelay(domain, peer.failureDomain);
    };
    std::stable_sort(peers.begin(), peers.end(),
                     [&](const member_update &left, const member_update &right) {
                         return distance(left) < distance(right);
                     });
    return peers;
}

instant fleet::nextWake() const
{
    const state &impl = *m_state;
    instant wake = std::min(
        {impl.nextExchange, impl.fetcher.nextWake(), impl.reader.nextWake(impl.lastEventAt)});
    if (impl.phase != start_phase::done)
        wake = std::min(wake, impl.phaseDeadline);
    if (impl.pushPending)
        wake = std::min(wake, impl.pushAllowedAt);
    return wake;
}

nlohmann::json fleet::dump(instant now) const
{
    return m_state->dump(now);
}

} // namespace almondnotch
