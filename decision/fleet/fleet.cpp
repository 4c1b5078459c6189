#include "decision/fleet/fleet.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_set>
#include <utility>

#include "core/digest.h"
#include "core/mechanisms.h"
#include "decision/fleet/config_fetch.h"
#include "decision/fleet/config_store.h"
#include "decision/fleet/entry_choice.h"
#include "decision/fleet/membership.h"
#include "decision/fleet/peer_checks.h"
#include "decision/fleet/platform_reader.h"
#include "decision/fleet/rendezvous.h"
#include "decision/fleet/vm_list.h"

namespace almondnotch {

namespace {

/// Records that a full digest tells by turns, so that all are told over time.
constexpr std::size_t digestTurns = 6;
/// Recent changes in an answer, which is otherwise short.
constexpr std::size_t answerMembersMax = 4;
/// Additional peers of a push; four receivers reach 200 processes within four steps.
constexpr unsigned pushExtra = 2;
/// Least time between two pushes, so that many changes at once cost one push.
constexpr duration pushSpacing = milliseconds(100);
/// One exchange round in so many also contacts a configured address that is not known as live.
constexpr unsigned healRounds = 4;
/// Addresses that a new process asks in each round.
constexpr std::size_t askAddresses = 8;
constexpr duration askInterval = milliseconds(250);
/// Contact that is this recent is passed on to a peer that gets no answer from a process.
constexpr duration recentContact = seconds(1);
/// How long the result of a contact on behalf of a peer is reported back, and how many are open.
constexpr duration relayTime = seconds(2);
constexpr std::size_t relaysMax = 64;
/// A gateway that has not answered for this long is named to callers only if there is no other.
constexpr duration doubtAfter = seconds(1);
/// A faulty peer sends several digests a second; the counter shows them all.
constexpr duration refusalLogSpacing = seconds(10);

enum class start_phase {
    /// No peer has told a configuration version.
    asking,
    /// A peer has told its version; that set or a newer one is being fetched.
    answered,
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

/// Age that `age` has become after `passed`; the maximum stands for "never".
duration aged(duration age, duration passed)
{
    return age > duration::max() - passed ? duration::max() : age + passed;
}

/// Up to `most` rows from `turn` on, which moves on by as many.
template <typename T>
std::vector<T> takeTurn(const std::vector<T> &rows, std::size_t most, std::size_t &turn)
{
    std::vector<T> out;
    for (std::size_t i = 0; i < std::min(most, rows.size()); ++i)
        out.push_back(rows[turn++ % rows.size()]);
    return out;
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
          listed(counterSet),
          reader(settings.watch, settings.platformCallsPerSecond / settings.gatewaysAssumed, source,
                 invariants, counterSet),
          fetch(store, reader, source, counterSet), choice(source)
    { }

    struct digest_options
    {
        bool full = false;
        bool replyRequested = false;
        /// VMs whose records the receiver must get.
        std::set<std::string> tell;
    };

    /// A contact with a process on behalf of a peer.
    struct relay
    {
        std::string vm;
        std::string forAddress;
        instant until;
    };

    void log(action_list &actions, log_level level, std::string sentence,
             std::vector<header_field> fields) const;
    void send(action_list &actions, const std::string &address, peer_message message);
    fleet_digest makeDigest(instant now, const digest_options &options);
    void sendDigest(instant now, action_list &actions, const std::string &address,
                    const digest_options &options);
    std::vector<std::string> pickPeers(std::size_t count);
    std::vector<std::string> pickUnknownAddresses(std::size_t count);
    void push(instant now, action_list &actions);
    void exchange(instant now, action_list &actions);
    void advanceStart(instant now, action_list &actions, fleet_changes &changes);

    std::set<std::string> designatedReaders(const std::string &failureDomain) const;
    void updateReaderRole(instant now);
    void hearReader(instant now, const fleet_digest &digest);
    void noteVmList(fleet_changes &changes);
    bool isListedLeaving(const process_id &process) const;
    bool isNameable(const member_update &update) const;

    void handleDigest(instant now, const process_id &from, const fleet_digest &digest,
                      action_list &actions, fleet_changes &changes);
    void mergeMembers(instant now, const fleet_digest &digest, digest_options &answer,
                      bool &answerWanted);
    void relayContacts(instant now, const fleet_digest &digest, digest_options &answer,
                       bool &answerWanted, action_list &actions);
    void compareConfig(instant now, const fleet_digest &digest, bool &answerWanted,
                       action_list &actions, fleet_changes &changes);
    void handleRequest(instant now, const process_id &from, const config_request &request,
                       action_list &actions);
    void handleData(instant now, const config_data &data, action_list &actions,
                    fleet_changes &changes);
    void noteOffer(instant now, offer_outcome outcome, fleet_changes &changes);
    void noteInForce(instant now, fleet_changes &changes);
    void handleNews(instant now, platform_news news, action_list &actions, fleet_changes &changes);
    /// Ends every input: sends requests, reads and pushes that are due.
    void finish(instant now, action_list &actions);
    nlohmann::json dump(instant now) const;

    fleet_settings settings;
    random_source &random;
    counter_set &counters;
    config_store store;
    membership members;
    vm_list listed;
    platform_reader reader;
    config_fetch fetch;
    entry_choice choice;

    instant lastInput;
    std::uint64_t lastMessage = 0;
    unsigned round = 0;
    instant nextExchange = instant::never();
    bool pushWanted = false;
    instant pushAllowedAt;

    start_phase phase = start_phase::done;
    instant phaseUntil;
    bool unconfirmed = false;

    instant startedAt;
    /// Newest read of the platform by another gateway, as heard.
    std::optional<instant> othersReadAt;
    bool volunteers = false;
    instant volunteerAt = instant::never();

    /// Start number that the process of a VM had when the VM was listed as leaving.
    std::map<std::string, std::uint64_t> listedStart;
    std::vector<relay> relays;

    instant nextRefusalLog;
    local_facts facts;
    instant factsAt;
    std::size_t drainTurn = 0;
    std::size_t crashTurn = 0;
    std::size_t handoverTurn = 0;
};

void fleet::state::log(action_list &actions, log_level level, std::string sentence,
                       std::vector<header_field> fields) const
{
    actions.emplace_back(write_log {level, "fleet", std::move(sentence), std::move(fields)});
}

void fleet::state::send(action_list &actions, const std::string &address, peer_message message)
{
    actions.emplace_back(send_peer_message {address, ++lastMessage, std::move(message)});
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
    if (othersReadAt)
        digest.minPlatformReadAge = std::min(digest.minPlatformReadAge, now - *othersReadAt);
    digest.replyRequested = options.replyRequested;
    digest.vmListVersion = listed.version();
    digest.leavingVmCount = static_cast<std::uint32_t>(listed.wholeCount());
    digest.leavingVms = listed.turn(digestLeavingVmsMax);
    for (const std::string &vm : options.tell)
        if (const std::optional<member_update> update = members.tell(now, vm);
            update && digest.members.size() < digestMembersMax)
            digest.members.push_back(*update);
    if (members.isAwaitingContact())
        return digest;
    const std::size_t room = digestMembersMax - digest.members.size();
    for (member_update &update :
         members.news(now, options.full ? room : std::min(room, answerMembersMax),
                      options.full ? digestTurns : 0))
        if (!options.tell.contains(update.process.vm))
            digest.members.push_back(std::move(update));
    if (!options.full)
        return digest;
    digest.unresponsivePeers = members.unresponsivePeers(now, settings.exchangeInterval, random);
    digest.drains = takeTurn(facts.drains, digestRecordsMax, drainTurn);
    for (worker_drain &drain : digest.drains)
        drain.age = aged(drain.age, now - factsAt);
    digest.crashes = takeTurn(facts.crashes, digestRecordsMax, crashTurn);
    for (crash_record &crash : digest.crashes)
        crash.age = aged(crash.age, now - factsAt);
    digest.handovers = takeTurn(facts.handovers, digestRecordsMax, handoverTurn);
    return digest;
}

void fleet::state::sendDigest(instant now, action_list &actions, const std::string &address,
                              const digest_options &options)
{
    if (options.replyRequested)
        members.contactTried(now, address);
    // A process can refute what others say of it only if it learns of it. This goes with messages
    // that are sent anyway: an answer of its own to each digest of a doubted process would let two
    // processes that doubt each other exchange digests without end.
    digest_options complete = options;
    if (std::optional<std::string> doubted = members.doubtedAt(address))
        complete.tell.insert(std::move(*doubted));
    send(actions, address, makeDigest(now, complete));
}

std::vector<std::string> fleet::state::pickPeers(std::size_t count)
{
    std::vector<const member_record *> peers = members.contactable();
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
    pushWanted = false;
    pushAllowedAt = now + pushSpacing;
    for (const std::string &address : pickPeers(settings.fanout + pushExtra))
        sendDigest(now, actions, address, {});
}

void fleet::state::exchange(instant now, action_list &actions)
{
    for (const process_id &process : members.expire(now))
        log(actions, log_level::warning, "a gateway is gone", {{"process", toString(process)}});
    for (const std::pair<const std::string, member_record> &entry : members.records())
        if (entry.second.update.state == gateway_state::gone)
            fetch.forgetPeer(entry.second.update.peerAddress);
    std::erase_if(relays, [&](const relay &open) { return open.until <= now; });
    counters.set("gateways_known", static_cast<double>(members.contactable().size() + 1));

    std::vector<std::string> addresses = pickPeers(settings.fanout);
    const bool asking = phase == start_phase::asking;
    if (asking || addresses.empty()
        || (++round % healRounds == 0 && isMechanismEnabled("partition_heal"))) {
        const std::size_t count = asking              ? askAddresses
                                  : addresses.empty() ? std::max(settings.fanout, 1U)
                                                      : 1;
        for (std::string &address : pickUnknownAddresses(count))
            addresses.push_back(std::move(address));
    }
    for (const std::string &address : addresses)
        sendDigest(now, actions, address, {.full = true, .replyRequested = true, .tell = {}});
    // Those that did not answer are asked again until they do or become suspect.
    for (const process_id &process :
         members.unanswered(now, settings.exchangeInterval / 2, random)) {
        const std::string &address = members.find(process.vm)->update.peerAddress;
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
            sendDigest(now, actions, address, {.full = false, .replyRequested = true, .tell = {}});
    }
    updateReaderRole(now);
    const duration interval
        = asking ? std::min(askInterval, settings.exchangeInterval) : settings.exchangeInterval;
    // Between 0.8 and 1.2 of the interval, so that processes do not fall into step.
    nextExchange
        = now + interval * 4 / 5
          + duration(random.below(static_cast<std::uint64_t>(interval.count()) * 2 / 5 + 1));
}

void fleet::state::advanceStart(instant now, action_list &actions, fleet_changes &changes)
{
    if (phase == start_phase::done)
        return;
    if (phase == start_phase::answered && store.version() > 0) {
        phase = start_phase::done;
        store.setFloor(0, actions);
        return;
    }
    if (now < phaseUntil)
        return;
    log(actions, log_level::warning, "no peer confirmed the configuration; using the platform's",
        {{"phase", std::string(toString(phase))}});
    phase = start_phase::done;
    unconfirmed = true;
    counters.add("starts_unconfirmed_total");
    if (store.setFloor(0, actions))
        noteInForce(now, changes);
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
        if (readers.size() < settings.readers)
            readers.insert(score.second);
    return readers;
}

void fleet::state::updateReaderRole(instant now)
{
    // Before peers were heard, every new process would take itself for a reader.
    if (phase == start_phase::asking)
        return;
    const bool designated = designatedReaders(settings.failureDomain).contains(settings.self.vm);
    const bool silent = now - othersReadAt.value_or(startedAt) > settings.readerSilence;
    if (designated) {
        volunteers = false;
        volunteerAt = instant::never();
    } else if (!volunteers) {
        if (!silent)
            volunteerAt = instant::never();
        else if (volunteerAt == instant::never())
            volunteerAt = now
                          + duration(random.below(
                              static_cast<std::uint64_t>(settings.readerSilence.count())));
        if (now >= volunteerAt) {
            volunteers = true;
            counters.add("reader_step_ins_total");
        }
    }
    const bool watching = designated || volunteers;
    if (!watching && store.version() > 0)
        reader.cancelOnce();
    reader.setWatching(watching);
}

void fleet::state::hearReader(instant now, const fleet_digest &digest)
{
    // Readings from before the start do not matter to the silence.
    if (digest.minPlatformReadAge <= now - startedAt)
        othersReadAt = std::max(othersReadAt.value_or(startedAt), now - digest.minPlatformReadAge);
    // One volunteer stays: the others end when they hear a reader that goes before them.
    if (!volunteers || digest.platformReadAge > settings.readerSilence)
        return;
    const std::string &domain = digest.self.failureDomain;
    const std::string &vm = digest.self.process.vm;
    if (designatedReaders(domain).contains(vm)
        || rendezvousScore("volunteer", vm) > rendezvousScore("volunteer", settings.self.vm)) {
        volunteers = false;
        volunteerAt = instant::never();
        updateReaderRole(now);
    }
}

bool fleet::state::isListedLeaving(const process_id &process) const
{
    const listed_vm *vm = listed.find(process.vm);
    if (vm == nullptr)
        return false;
    // The list lags: an entry may be about an earlier VM of that name. A process that started after
    // the VM was to leave, or that replaced the one known at the listing, runs on another VM.
    const std::int64_t startedUnixMs = static_cast<std::int64_t>(process.startNumber >> 20);
    if (vm->leaveAtUnixMs != 0 && startedUnixMs > vm->leaveAtUnixMs)
        return false;
    const auto found = listedStart.find(process.vm);
    return found == listedStart.end() || found->second == 0 || process.startNumber <= found->second;
}

bool fleet::state::isNameable(const member_update &update) const
{
    return (update.state == gateway_state::alive || !isMechanismEnabled("entry_skips_leaving"))
           && (!update.isJoining || !isMechanismEnabled("joining_not_named"))
           && !isListedLeaving(update.process);
}

void fleet::state::noteVmList(fleet_changes &changes)
{
    std::vector<listed_vm> leaving = listed.leaving();
    std::map<std::string, std::uint64_t> starts;
    for (const listed_vm &vm : leaving) {
        const auto before = listedStart.find(vm.name);
        const member_record *record = members.find(vm.name);
        if (before != listedStart.end())
            starts[vm.name] = before->second;
        else if (vm.name == settings.self.vm)
            starts[vm.name] = settings.self.startNumber;
        else
            starts[vm.name] = record == nullptr ? 0 : record->update.process.startNumber;
    }
    listedStart = std::move(starts);
    if (!isListedLeaving(settings.self))
        std::erase_if(leaving, [&](const listed_vm &vm) { return vm.name == settings.self.vm; });
    changes.vmList = std::move(leaving);
    pushWanted = true;
}

void fleet::state::mergeMembers(instant now, const fleet_digest &digest, digest_options &answer,
                                bool &answerWanted)
{
    for (const member_update &update : digest.members) {
        const merge_outcome outcome = members.merge(now, update);
        if (outcome == merge_outcome::refuted) {
            answerWanted = true;
            pushWanted = true;
        }
        if (outcome == merge_outcome::changed && update.state == gateway_state::leaving)
            pushWanted = true;
    }
    const member_record *record = members.find(digest.self.process.vm);
    if (record != nullptr
        && (record->update.incarnation != digest.self.incarnation
            || record->update.state != digest.self.state))
        answer.tell.insert(digest.self.process.vm);
}

void fleet::state::relayContacts(instant now, const fleet_digest &digest, digest_options &answer,
                                 bool &answerWanted, action_list &actions)
{
    for (const process_id &process : digest.unresponsivePeers) {
        const member_record *record = members.find(process.vm);
        if (record == nullptr || record->update.process != process
            || record->update.state == gateway_state::gone)
            continue;
        if (now - record->heardAt <= recentContact) {
            answer.tell.insert(process.vm);
            answerWanted = true;
        } else if (std::any_of(relays.begin(), relays.end(), [&](const relay &open) {
                       return open.vm == process.vm && open.forAddress == digest.self.peerAddress;
                   })) {
            continue;
        } else if (relays.size() < relaysMax) {
            relays.push_back({process.vm, digest.self.peerAddress, now + relayTime});
            sendDigest(now, actions, record->update.peerAddress,
                       {.full = false, .replyRequested = true, .tell = {}});
        } else {
            counters.add("relays_refused_total");
        }
    }
    for (const relay &open : relays)
        if (open.vm == digest.self.process.vm)
            sendDigest(now, actions, open.forAddress,
                       {.full = false, .replyRequested = false, .tell = {open.vm}});
    std::erase_if(relays, [&](const relay &open) { return open.vm == digest.self.process.vm; });
}

void fleet::state::compareConfig(instant now, const fleet_digest &digest, bool &answerWanted,
                                 action_list &actions, fleet_changes &changes)
{
    if (digest.configVersion < store.version())
        answerWanted = true;
    if (digest.configVersion == 0)
        return;
    unconfirmed = false;
    if (phase == start_phase::asking) {
        phase = start_phase::answered;
        phaseUntil = now + 2 * settings.askPeers;
        if (store.setFloor(digest.configVersion, actions))
            noteInForce(now, changes);
    }
    if (digest.configVersion == store.version() && digest.manifestSha256 != store.manifestSha256())
        store.noteConflict(digest.configVersion, digest.manifestSha256, actions);
    fetch.advertised(now, digest.self.peerAddress, digest.configVersion, digest.manifestSha256);
}

void fleet::state::handleDigest(instant now, const process_id &from, const fleet_digest &digest,
                                action_list &actions, fleet_changes &changes)
{
    if (const result<void> checked = checkDigest(from, digest); !checked) {
        counters.add("peer_messages_refused_total{reason=\"malformed\"}");
        if (now >= nextRefusalLog)
            log(actions, log_level::warning, "refused a digest",
                {{"peer", toString(from)}, {"message", checked.error().message}});
        nextRefusalLog = std::max(nextRefusalLog, now + refusalLogSpacing);
        return;
    }
    if (from == settings.self)
        return;
    digest_options answer;
    const member_record *known = members.find(from.vm);
    if (known != nullptr && known->update.process.startNumber > from.startNumber) {
        // An old process of a VM that was replaced: it learns of its successor.
        counters.add("peer_messages_refused_total{reason=\"replaced_process\"}");
        answer.tell.insert(from.vm);
        sendDigest(now, actions, digest.self.peerAddress, answer);
        return;
    }
    const bool newcomer = known == nullptr || known->update.process != from
                          || known->update.state == gateway_state::gone;
    const bool wasLeaving = !newcomer && known->update.state == gateway_state::leaving;
    if (members.heardFrom(now, digest.self) == merge_outcome::superseded) {
        log(actions, log_level::error, "another process of this VM has a higher start number",
            {{"process", toString(from)}});
        return;
    }
    if (digest.self.state == gateway_state::leaving && !wasLeaving)
        pushWanted = true;

    bool answerWanted = digest.replyRequested;
    answer.full = newcomer;
    mergeMembers(now, digest, answer, answerWanted);
    relayContacts(now, digest, answer, answerWanted, actions);
    hearReader(now, digest);
    if (listed.takePart(digest.vmListVersion, digest.leavingVmCount, digest.leavingVms))
        noteVmList(changes);
    compareConfig(now, digest, answerWanted, actions, changes);
    changes.drains = digest.drains;
    changes.crashes = digest.crashes;
    changes.handovers = digest.handovers;
    if (answerWanted)
        sendDigest(now, actions, digest.self.peerAddress, answer);
}

void fleet::state::handleRequest(instant now, const process_id &from, const config_request &request,
                                 action_list &actions)
{
    const member_record *record = members.find(from.vm);
    if (!checkRequest(request)) {
        counters.add("peer_messages_refused_total{reason=\"malformed\"}");
        return;
    }
    if (record == nullptr || record->update.process != from) {
        counters.add("peer_messages_refused_total{reason=\"unknown_sender\"}");
        return;
    }
    const std::string &address = record->update.peerAddress;
    if (request.version != store.version() || request.manifestSha256 != store.manifestSha256()) {
        // The set was replaced meanwhile: the digest tells the peer the newer one.
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

void fleet::state::handleData(instant now, const config_data &data, action_list &actions,
                              fleet_changes &changes)
{
    if (!checkData(data)) {
        counters.add("peer_messages_refused_total{reason=\"malformed\"}");
        return;
    }
    offer_outcome outcome = offer_outcome::unwanted_part;
    if (data.key != "manifest")
        outcome = store.offerPart(data.key, data.text, actions);
    else if (fetch.expectsManifest(data.version, sha256Hex(data.text)))
        outcome = store.offerManifest(data.text, actions);
    if (outcome == offer_outcome::unwanted_part) {
        // Late answers to a request that was repeated elsewhere are normal.
        counters.add("config_data_unwanted_total");
        return;
    }
    fetch.arrived(now, data.key);
    if (phase == start_phase::answered)
        phaseUntil = now + 2 * settings.askPeers;
    noteOffer(now, outcome, changes);
}

void fleet::state::noteOffer(instant now, offer_outcome outcome, fleet_changes &changes)
{
    if (outcome == offer_outcome::in_force)
        noteInForce(now, changes);
    fetch.settle();
}

void fleet::state::noteInForce(instant now, fleet_changes &changes)
{
    changes.configChanged = true;
    members.endJoining();
    pushWanted = true;
    pushAllowedAt = now;
    reader.setShare(now, settings.platformCallsPerSecond
                             / std::max(1U, store.config()->objects().limits.maxGateways));
}

void fleet::state::handleNews(instant now, platform_news news, action_list &actions,
                              fleet_changes &changes)
{
    if (!news.value)
        return;
    switch (news.key) {
    case platform_key::manifest: {
        const offer_outcome outcome = store.offerManifest(std::move(news.value->text), actions);
        noteOffer(now, outcome, changes);
        if (outcome == offer_outcome::pending)
            fetch.startFromPlatform(now);
        break;
    }
    case platform_key::part: {
        const offer_outcome outcome
            = store.offerPart(news.partSha256, std::move(news.value->text), actions);
        if (outcome == offer_outcome::pending && !store.missing().contains(news.partSha256))
            fetch.arrived(now, news.partSha256);
        noteOffer(now, outcome, changes);
        break;
    }
    case platform_key::vm_list: {
        const result<published_vm_list> list = published_vm_list::parse(news.value->text);
        if (!list) {
            counters.add("vm_list_refused_total{reason=\"malformed\"}");
            log(actions, log_level::warning, "refused the VM list",
                {{"message", list.error().message}});
        } else if (listed.takePublished(*list)) {
            noteVmList(changes);
        }
        break;
    }
    }
}

void fleet::state::finish(instant now, action_list &actions)
{
    lastInput = now;
    while (const std::optional<config_fetch::peer_request> due = fetch.next(now))
        send(actions, due->peerAddress, due->request);
    reader.run(now, actions);
    if (pushWanted && now >= pushAllowedAt)
        push(now, actions);
}

nlohmann::json fleet::state::dump(instant now) const
{
    nlohmann::json out = {
        {"config", store.dump()},
        {"fetch", fetch.dump()},
        {"membership", members.dump(now)},
        {"vm_list", listed.dump()},
        {"reader", reader.dump(now)},
        {"start_phase", toString(phase)},
        {"unconfirmed", unconfirmed},
        {"relays", relays.size()},
        {"relays_max", relaysMax},
        {"facts",
         {{"drains", facts.drains.size()},
          {"crashes", facts.crashes.size()},
          {"handovers", facts.handovers.size()},
          {"per_digest_max", digestRecordsMax}}},
    };
    out["reader"]["volunteer"] = volunteers;
    if (othersReadAt)
        out["reader"]["others_read_age_ms"] = toMilliseconds(now - *othersReadAt);
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
    state &own = *m_state;
    own.startedAt = now;
    const bool hasSeeds = !own.pickUnknownAddresses(1).empty();
    if (hasSeeds && isMechanismEnabled("start_asks_peers")) {
        own.phase = start_phase::asking;
        own.phaseUntil = now + own.settings.askPeers;
        own.store.setFloor(std::numeric_limits<std::uint64_t>::max(), actions);
    }
    own.reader.readOnce();
    own.exchange(now, actions);
    own.finish(now, actions);
}

fleet_changes fleet::timerExpired(instant now, action_list &actions)
{
    state &own = *m_state;
    fleet_changes changes;
    own.advanceStart(now, actions, changes);
    if (now >= own.nextExchange)
        own.exchange(now, actions);
    own.finish(now, actions);
    return changes;
}

fleet_changes fleet::platformReadFinished(instant now, const platform_read_finished &input,
                                          action_list &actions)
{
    state &own = *m_state;
    fleet_changes changes;
    if (std::optional<platform_news> news = own.reader.finished(now, input))
        own.handleNews(now, std::move(*news), actions, changes);
    own.advanceStart(now, actions, changes);
    own.finish(now, actions);
    return changes;
}

fleet_changes fleet::peerMessage(instant now, const process_id &from, const peer_message &message,
                                 action_list &actions)
{
    state &own = *m_state;
    fleet_changes changes;
    if (const fleet_digest *digest = std::get_if<fleet_digest>(&message))
        own.handleDigest(now, from, *digest, actions, changes);
    else if (const config_request *request = std::get_if<config_request>(&message))
        own.handleRequest(now, from, *request, actions);
    else if (const config_data *data = std::get_if<config_data>(&message))
        own.handleData(now, *data, actions, changes);
    own.advanceStart(now, actions, changes);
    own.finish(now, actions);
    return changes;
}

void fleet::peerSendFailed(instant now, const std::string &peerAddress)
{
    m_state->members.contactTried(now, peerAddress);
    m_state->fetch.peerFailed(now, peerAddress);
}

void fleet::pauseDetected(instant now, action_list &actions)
{
    state &own = *m_state;
    own.members.pauseDetected(now);
    // Asks at once; with fresh contact the process may judge others again.
    own.exchange(now, actions);
    own.finish(now, actions);
}

void fleet::beginLeaving(instant now, action_list &actions)
{
    state &own = *m_state;
    if (own.members.self().state == gateway_state::leaving)
        return;
    own.members.beginLeaving();
    own.updateReaderRole(now);
    own.push(now, actions);
    own.finish(now, actions);
}

void fleet::setLocalFacts(local_facts facts)
{
    m_state->members.setCallsInProgress(facts.callsInProgress);
    m_state->facts = std::move(facts);
    m_state->factsAt = m_state->lastInput;
}

const shared_config &fleet::config() const
{
    return m_state->store.config();
}

std::vector<std::string> fleet::entryAddresses(instant now, std::string_view service)
{
    state &own = *m_state;
    const shared_config &config = own.store.config();
    if (config == nullptr || config->service(service) == nullptr)
        return {};
    std::vector<entry_candidate> candidates;
    std::vector<entry_candidate> doubtful;
    const auto add = [&](const member_update &update, bool doubted) {
        if (own.isNameable(update))
            (doubted ? doubtful : candidates)
                .push_back({update.process.vm, update.failureDomain, update.entryAddress,
                            update.callsInProgress});
    };
    add(own.members.self(), own.members.isSuperseded());
    // After a pause the others may have left or ended meanwhile; peers answer within a round trip.
    if (own.members.isAwaitingContact() && !candidates.empty())
        return {own.settings.entryAddress};
    for (const std::pair<const std::string, member_record> &entry : own.members.records())
        add(entry.second.update, entry.second.unansweredSince != instant::never()
                                     && now - entry.second.unansweredSince > doubtAfter);
    return own.choice.choose(now, service, candidates.empty() ? doubtful : candidates,
                             config->objects().limits.entryKeep);
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
    const state &own = *m_state;
    std::vector<member_update> peers;
    for (const std::pair<const std::string, member_record> &entry : own.members.records())
        if (own.isNameable(entry.second.update))
            peers.push_back(*own.members.tell(own.lastInput, entry.first));
    const std::string &domain = own.settings.failureDomain;
    const shared_config &config = own.store.config();
    const auto distance = [&](const member_update &peer) {
        return peer.failureDomain == domain ? duration {-1}
               : config == nullptr          ? duration {0}
                                            : config->oneWay(domain, peer.failureDomain);
    };
    std::stable_sort(peers.begin(), peers.end(),
                     [&](const member_update &left, const member_update &right) {
                         return distance(left) < distance(right);
                     });
    return peers;
}

instant fleet::nextWake() const
{
    const state &own = *m_state;
    instant wake
        = std::min({own.nextExchange, own.fetch.nextWake(), own.reader.nextWake(own.lastInput)});
    if (own.phase != start_phase::done)
        wake = std::min(wake, own.phaseUntil);
    if (own.pushWanted)
        wake = std::min(wake, own.pushAllowedAt);
    return wake;
}

nlohmann::json fleet::dump(instant now) const
{
    return m_state->dump(now);
}

} // namespace almondnotch
