#include "decision/routing/route_gateway.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "core/random_source.h"
#include "decision/calls/quarantine_table.h"
#include "decision/fleet/record_turns.h"
#include "decision/routing/items/item_reader.h"
#include "decision/routing/items/item_relay.h"
#include "decision/routing/items/reader_group.h"
#include "decision/routing/items/store_checks.h"
#include "decision/routing/items/store_log.h"
#include "decision/routing/items/store_outage.h"
#include "decision/routing/peer_group.h"
#include "decision/routing/requests/request_runner.h"
#include "decision/routing/requests/route_table.h"
#include "decision/routing/requests/startup_queue.h"
#include "decision/routing/workers/worker_change_log.h"
#include "decision/routing/workers/worker_pool.h"

namespace almondnotch {

namespace {

/// Interval between removals of expired table entries.
constexpr duration sweepInterval = milliseconds(500);
/// Delay before the next watch of the workers after one that reported changes.
constexpr duration workerWatchDelay = milliseconds(1000);
/// How long a worker stays usable after its removal was read from the store if no other worker of
/// the service is usable. Together with `workerWatchDelay` and the time for a read, it must be less
/// than the 2 s within which a removal has to be obeyed.
constexpr duration lastResortGracePeriod = milliseconds(800);
/// How long the drain or removal of a worker is reported to other gateways by gossip.
constexpr duration drainGossipTime = seconds(3);
/// Phases of the drain, as fractions of the drain timeout. A draining gateway serves callers that
/// still know its address at least until the first, and ends all requests at the second.
constexpr double serveFraction = 0.4;
constexpr double terminateFraction = 0.9;
/// Requests that arrive within this time after the drain began, and within this fraction of the
/// drain timeout, are accepted even if they may not end before the drain does. Later ones are
/// accepted only if their deadline passes before.
constexpr duration unconditionalAcceptTime = seconds(3);
constexpr double unconditionalAcceptFraction = 0.5;

/// Stages in the lifecycle of the process.
enum class lifecycle_stage { serving, leaving, finished };

std::string_view toString(lifecycle_stage stage)
{
    static constexpr std::array<std::string_view, 3> names {"serving", "leaving", "finished"};
    return names.at(static_cast<std::size_t>(stage));
}

item_reader_settings readerSettings(item_scope scope, const routing_settings &settings)
{
    item_reader_settings out;
    out.scope = scope;
    out.watchTimeout = settings.watchTimeout;
    out.startupWatchHoldoff = settings.startupWatchHoldoff;
    if (scope == item_scope::workers) {
        out.watchDelay = workerWatchDelay;
        out.allowStaleInitialList = true;
    } else {
        // A configuration binds from its acknowledgement on, also while the store recovers. The end
        // of a drain binds only once the store is stable, and until then a lost watch is detected.
        out.checksWatches = true;
    }
    return out;
}

} // namespace

/// Components of the gateway and the event handlers that connect them.
struct route_gateway::state
{
    explicit state(routing_settings initialSettings);

    void handle(instant now, const event &input, action_list &actions);
    instant nextWake() const;
    bool isReady() const;

    void on(instant now, const call_received &input, action_list &actions);
    void on(instant now, const caller_disconnected &input, action_list &actions);
    void on(instant now, const attempt_finished &input, action_list &actions);
    void on(instant now, const probe_finished &input, action_list &actions);
    void on(instant now, const peer_message_received &input, action_list &actions);
    void on(instant now, const peer_send_failed &input, action_list &actions);
    void on(instant now, const items_read_progress &input, action_list &actions);
    void on(instant now, const items_read_finished &input, action_list &actions);
    void on(instant now, const drain_requested &input, action_list &actions);
    void on(instant now, const timer_expired &input, action_list &actions);
    /// Reports an event that only gateways with idempotency keys (`gateway`) handle, such as
    /// `platform_value_read_finished`, as a violated invariant.
    template <typename Other>
    void on(instant /*now*/, const Other & /*input*/, action_list & /*actions*/)
    {
        invariants.check("event_was_ordered", false);
    }

    void handleAfterExit(instant now, const event &input, action_list &actions);
    void detectPause(instant now);
    void on(instant now, const process_id &from, const fleet_digest &digest, action_list &actions);
    void on(instant now, const process_id &from, const reader_report &report, action_list &actions);
    void on(instant now, const process_id &from, const items_update &update, action_list &actions);
    /// Ignores and counts messages that only gateways with idempotency keys (`gateway`) exchange.
    template <typename Other>
    void on(instant /*now*/, const process_id & /*from*/, const Other & /*message*/,
            action_list & /*actions*/)
    {
        counters.add("peer_messages_ignored_total");
    }
    std::vector<std::string> applyBatch(instant now, item_scope scope, const item_batch &batch,
                                        std::string_view source, action_list &actions);
    void logStoreState(bool wasFailing, const items_read_finished &input, action_list &actions);
    void updateOutage(instant now);
    void checkReaders(instant now);
    void checkFinished(instant now, const store_checks::outcome &check, action_list &actions);
    void seeEra(instant now, std::uint64_t era);
    bool areReadsFailing() const;
    void startDueReads(instant now, action_list &actions);
    void releaseStartupQueue(instant now, action_list &actions);
    void sendDueReports(instant now, action_list &actions);
    void relayChanges(instant now, item_scope scope, const item_batch &batch,
                      const std::vector<std::string> &removedNames, action_list &actions);
    void applyConfig(instant now, const item_batch &batch, std::string_view source,
                     action_list &actions);
    std::vector<std::string> applyWorkers(instant now, const item_batch &batch,
                                          std::string_view source, action_list &actions);
    void handleWorkerChanges(instant now, std::string_view source, const shared_request &request,
                             action_list &actions);
    void updateRemovalGracePeriods(instant now);
    void logUnusable(const published_item &item, action_list &actions);
    gossip_payload takeGossipPayload(instant now);
    void restrictAdmission(instant now);
    void endDrainIfDue(instant now, action_list &actions);

    routing_settings settings;
    counter_set counters;
    invariant_set invariants;
    random_source random;
    worker_pool pool;
    worker_change_log changeLog;
    quarantine_table quarantine;
    /// See `takeFirstAndRoundRobin`.
    std::size_t drainCursor = 0;
    request_runner runner;
    startup_queue startupQueue;
    peer_group peers;
    reader_group readers;
    item_reader configReader;
    item_reader workerReader;
    store_outage outage;
    std::unique_ptr<route_table> table;
    std::uint64_t nextReadId = 1;
    store_checks checks;
    /// Value of `reader_group::mustWatchStore` when the reads were last started.
    bool wasWatching = true;
    instant nextSweep;
    /// `nextWake()` after the last event. If the next event arrives much later, the process was
    /// paused.
    instant expectedWake = instant::never();
    instant lastHandledAt;
    lifecycle_stage stage = lifecycle_stage::serving;
    instant leavingSince;
    /// The gateway became ready to serve and has joined the gossip exchange.
    bool hasJoined = false;
};

route_gateway::state::state(routing_settings initialSettings)
    : settings(std::move(initialSettings)), random(settings.seed),
      pool(counters, settings.coldRequests), changeLog(counters),
      quarantine(settings.bounds.quarantineTime, settings.bounds.crashRecordsMax, counters),
      runner(settings, {pool, quarantine, random, invariants, counters}),
      peers(settings.peers, random, counters),
      readers(settings.readers, settings.peers.self.vm, settings.peers.failureDomain),
      configReader(readerSettings(item_scope::configuration, settings), random, counters),
      workerReader(readerSettings(item_scope::workers, settings), random, counters),
      checks(counters)
{
    // Until the process has joined the exchange, it assumes that it knows few of the gateways.
    pool.setGatewayGroup(instant(), peers.gatewayGroup(instant()));
}

void route_gateway::state::handle(instant now, const event &input, action_list &actions)
{
    if (stage == lifecycle_stage::finished) {
        handleAfterExit(now, input, actions);
        return;
    }
    detectPause(now);
    lastHandledAt = now;
    restrictAdmission(now);
    // Expired deadlines are handled before other events, so that no attempt starts for an expired
    // request. A response that has already arrived is still sent to its caller.
    if (!std::holds_alternative<attempt_finished>(input))
        runner.timerExpired(now, actions);
    action_list *out = &actions;
    std::visit([this, now, out](const auto &typed) { on(now, typed, *out); }, input);
    if (!startupQueue.isEmpty())
        releaseStartupQueue(now, actions);
    if (stage == lifecycle_stage::leaving)
        endDrainIfDue(now, actions);
    updateOutage(now);
    checkReaders(now);
    expectedWake = nextWake();
}

/// Whatever shows that changes of the store are missing, a read of them is in flight or planned.
void route_gateway::state::checkReaders(instant now)
{
    for (const item_reader *reader : {&configReader, &workerReader}) {
        if (reader->isBehind())
            invariants.check("reader_behind_has_timely_read", reader->hasTimelyRead(now),
                             reader->scope() == item_scope::workers ? "workers" : "configuration");
    }
}

/// Refuses requests that are read while the process exits. All other requests have ended.
void route_gateway::state::handleAfterExit(instant now, const event &input, action_list &actions)
{
    if (const call_received *received = std::get_if<call_received>(&input))
        runner.callReceived(now, *received, table.get(), actions);
}

void route_gateway::state::detectPause(instant now)
{
    if (expectedWake == instant::never() || now - expectedWake <= settings.pauseThreshold)
        return;
    counters.add("pauses_total");
    pool.invalidateReports();
    peers.pauseDetected(now);
    readers.pauseDetected();
    configReader.restart(now);
    workerReader.restart(now);
}

instant route_gateway::state::nextWake() const
{
    if (stage == lifecycle_stage::finished)
        return instant::never();
    instant wake = std::min({runner.nextWake(), startupQueue.nextWake(), configReader.nextWake(),
                             workerReader.nextWake(), nextSweep});
    if (hasJoined)
        wake = std::min({wake, peers.nextWake(), readers.nextWake(lastHandledAt)});
    return wake;
}

bool route_gateway::state::isReady() const
{
    return stage == lifecycle_stage::serving && table != nullptr && workerReader.hasSynced();
}

void route_gateway::state::on(instant now, const call_received &input, action_list &actions)
{
    // Queueing a request does not help while the store does not answer.
    if (!isReady() && stage == lifecycle_stage::serving && !areReadsFailing()
        && startupQueue.add(now, input))
        return;
    runner.callReceived(now, input, table.get(), actions);
}

void route_gateway::state::on(instant now, const caller_disconnected &input, action_list &actions)
{
    if (startupQueue.remove(input.call))
        return;
    runner.callerDisconnected(now, input, actions);
}

void route_gateway::state::on(instant now, const attempt_finished &input, action_list &actions)
{
    const shared_request request = runner.requestOf(input.attempt);
    runner.attemptFinished(now, input, actions);
    handleWorkerChanges(now, "response", request, actions);
}

void route_gateway::state::on(instant now, const probe_finished &input, action_list &actions)
{
    runner.probeFinished(now, input, actions);
    handleWorkerChanges(now, "probe", nullptr, actions);
}

/// What the next digest tells of workers. What has no room goes into later ones.
gossip_payload route_gateway::state::takeGossipPayload(instant now)
{
    return {takeFirstAndRoundRobin(pool.recentDrains(now, drainGossipTime), digestRecordsMax,
                                   drainCursor),
            quarantine.takeCrashes(now, digestRecordsMax)};
}

void route_gateway::state::on(instant now, const peer_message_received &input, action_list &actions)
{
    const process_id from = input.from;
    action_list *out = &actions;
    std::visit([this, now, from, out](const auto &typed) { on(now, from, typed, *out); },
               input.message);
}

void route_gateway::state::on(instant now, const process_id & /*from*/, const fleet_digest &digest,
                              action_list &actions)
{
    const bool isStoreUnreachable = workerReader.consecutiveFailures() > 0;
    for (const worker_drain &drain : digest.drains)
        pool.applyDrain(now, drain.worker, drain.age, isStoreUnreachable);
    handleWorkerChanges(now, "gossip", nullptr, actions);
    for (const crash_record &crash : digest.crashes)
        quarantine.addRemoteCrash(now, crash);
    peers.digestArrived(
        now, digest, digest.replyRequested ? takeGossipPayload(now) : gossip_payload {}, actions);
    runner.setGatewayCount(peers.gatewayCount(now));
}

void route_gateway::state::on(instant now, const process_id &from, const reader_report &report,
                              action_list &actions)
{
    if (configReader.isEarlierEra(report.storeEra) || workerReader.isEarlierEra(report.storeEra)) {
        counters.add("reader_reports_outdated_total");
        return;
    }
    readers.reportArrived(now, from.vm, report.isConnectedToStore);
    seeEra(now, report.storeEra);
    if (report.isConnectedToStore) {
        configReader.revisionAdvertised(now, report.storeEra, report.configurationRevision);
        workerReader.revisionAdvertised(now, report.storeEra, report.workersRevision);
    }
    startDueReads(now, actions);
}

void route_gateway::state::on(instant now, const process_id & /*from*/, const items_update &update,
                              action_list &actions)
{
    item_reader &reader = update.scope == item_scope::configuration ? configReader : workerReader;
    for (const item_batch &batch : reader.updateReceived(now, update))
        applyBatch(now, update.scope, batch, "relay", actions);
    seeEra(now, update.era);
    startDueReads(now, actions);
}

void route_gateway::state::on(instant /*now*/, const peer_send_failed & /*input*/,
                              action_list & /*actions*/)
{
    counters.add("peer_digests_failed_total");
}

void route_gateway::state::on(instant now, const items_read_progress &input,
                              action_list & /*actions*/)
{
    readers.storeAnswered(now);
    configReader.readProgressed(now, input.read);
    workerReader.readProgressed(now, input.read);
}

void route_gateway::state::on(instant now, const items_read_finished &input, action_list &actions)
{
    if (input.page)
        readers.storeAnswered(now);
    if (const std::optional<store_checks::outcome> check
        = checks.readFinished(input.read, input.page.has_value())) {
        if (input.page)
            seeEra(now, input.page->era);
        checkFinished(now, *check, actions);
        return;
    }
    std::vector<item_batch> batches;
    const bool wasFailing = areReadsFailing();
    const bool isConfig = configReader.readFinished(now, input, batches);
    const bool isAwaited = isConfig || workerReader.readFinished(now, input, batches);
    const item_reader &reader = isConfig ? configReader : workerReader;
    const item_scope scope = reader.scope();
    if (!input.page && isAwaited)
        actions.push_back(readFailedRecord(now, reader, readers, input.page.error()));
    for (const item_batch &fetched : batches) {
        const bool isList = fetched.isSnapshot || fetched.startsEra;
        const std::vector<std::string> removedNames
            = applyBatch(now, scope, fetched, isList ? "list" : "watch", actions);
        relayChanges(now, scope, fetched, removedNames, actions);
    }
    if (input.page)
        seeEra(now, input.page->era);
    logStoreState(wasFailing, input, actions);
    startDueReads(now, actions);
    if (!hasJoined && isReady()) {
        hasJoined = true;
        peers.start(now);
        peers.timerExpired(now, takeGossipPayload(now), actions);
        actions.push_back(write_log {log_level::info, "gateway", "The gateway is ready.", {}});
    }
    if (hasJoined)
        sendDueReports(now, actions);
    runner.setGatewayCount(peers.gatewayCount(now));
}

/// A check of the store has ended. If the store answers, failed reads need not wait any longer.
void route_gateway::state::checkFinished(instant now, const store_checks::outcome &check,
                                         action_list &actions)
{
    if (check.isAnswered) {
        configReader.storeAnswered(now);
        workerReader.storeAnswered(now);
    } else if (check.watch) {
        configReader.watchDoubted(now, *check.watch, actions);
    } else {
        return;
    }
    startDueReads(now, actions);
}

/// Both scopes are in the same store, so an answer about one shows the era of the other as well.
void route_gateway::state::seeEra(instant now, std::uint64_t era)
{
    configReader.eraSeen(now, era);
    workerReader.eraSeen(now, era);
}

bool route_gateway::state::areReadsFailing() const
{
    return configReader.consecutiveFailures() + workerReader.consecutiveFailures() > 0;
}

void route_gateway::state::logStoreState(bool wasFailing, const items_read_finished &input,
                                         action_list &actions)
{
    const bool isFailing = areReadsFailing();
    if (isFailing == wasFailing)
        return;
    actions.push_back(storeStateRecord(isFailing, input));
}

/// \param source how the batch was obtained: "list", "watch" or "relay".
/// \return names of the items that are known and missing from a snapshot: workers and evacuations.
std::vector<std::string> route_gateway::state::applyBatch(instant now, item_scope scope,
                                                          const item_batch &batch,
                                                          std::string_view source,
                                                          action_list &actions)
{
    if (batch.startsEra)
        actions.push_back(eraBegunRecord(scope, batch, source));
    if (scope == item_scope::workers)
        return applyWorkers(now, batch, source, actions);
    // Evacuations go first: the gateway becomes ready with its first configuration.
    const evacuation_update evacuated = pool.applyEvacuations(now, batch.items, batch.isSnapshot);
    logEvacuations(evacuated, source, batch.revision, actions);
    handleWorkerChanges(now, source, nullptr, actions);
    applyConfig(now, batch, source, actions);
    return evacuated.removedNames;
}

/// Starts the reads of the store that are due. Lists are always read; changes only if no other
/// gateway relays them or some of them are missing.
void route_gateway::state::startDueReads(instant now, action_list &actions)
{
    const bool mustWatch = readers.mustWatchStore(now);
    if (mustWatch != wasWatching) {
        wasWatching = mustWatch;
        counters.set("store_watched", mustWatch ? 1 : 0);
        actions.push_back(watchingChangedRecord(now, readers));
    }
    configReader.setWatching(now, mustWatch, readers.retryBackoff(now));
    workerReader.setWatching(now, mustWatch, readers.retryBackoff(now));
    for (item_reader *reader : {&configReader, &workerReader}) {
        if (readers.isReader(now))
            reader->endWatchHoldoffs(now);
        else if (!peers.hasOtherSeeds())
            reader->endFirstWatchHoldoff(now);
    }
    configReader.timerExpired(now, nextReadId, actions);
    workerReader.timerExpired(now, nextReadId, actions);
    if (const std::optional<read_id> watch = configReader.takeDueWatchCheck(now)) {
        readers.checkSent(now);
        checks.send(read_id {nextReadId++}, watch, areReadsFailing(), actions);
    }
    readers.setReadsFailing(areReadsFailing());
}

/// Handles all queued requests once the configuration and the workers are known, the store fails or
/// the gateway drains, and otherwise those whose queue time has expired. Requests that are handled
/// before the configuration is known are rejected.
void route_gateway::state::releaseStartupQueue(instant now, action_list &actions)
{
    const bool releaseAll = isReady() || areReadsFailing() || stage != lifecycle_stage::serving;
    for (const call_received &input :
         releaseAll ? startupQueue.takeAll(now) : startupQueue.takeExpired(now))
        runner.callReceived(now, input, table.get(), actions);
}

/// If this gateway is a reader, relays changes to the gateways of the failure domain. Changes that
/// cannot be relayed are only advertised; each gateway then reads them from the store.
void route_gateway::state::relayChanges(instant now, item_scope scope, const item_batch &batch,
                                        const std::vector<std::string> &removedNames,
                                        action_list &actions)
{
    if (!readers.isReader(now))
        return;
    const std::vector<items_update> updates = makeUpdates(scope, batch, removedNames);
    if (updates.empty())
        readers.makeReportDue(now);
    for (const items_update &update : updates) {
        counters.add("items_updates_sent_total");
        peers.broadcastToFailureDomain(update, actions);
    }
}

/// Sends the reader report and the check of the store if they are due.
void route_gateway::state::sendDueReports(instant now, action_list &actions)
{
    // A single failure is tolerated, because a watch that the store has closed is followed by a
    // list that succeeds. A second failure shows that the store is unavailable.
    const bool areReadsCurrent = configReader.isUpToDate() && workerReader.isUpToDate()
                                 && configReader.consecutiveFailures() < 2
                                 && workerReader.consecutiveFailures() < 2;
    if (readers.takeDueReport(now, areReadsCurrent)) {
        const std::uint64_t era = std::max(configReader.era(), workerReader.era());
        const reader_report report {areReadsCurrent && readers.hasRecentAnswer(now),
                                    configReader.lastChangeRevision(era),
                                    workerReader.lastChangeRevision(era), era};
        counters.add("reader_reports_sent_total");
        peers.broadcastToFailureDomain(report, actions);
    }
    if (readers.takeDueCheck(now) && !checks.isAnyInFlight())
        checks.send(read_id {nextReadId++}, std::nullopt, areReadsFailing(), actions);
}

void route_gateway::state::applyConfig(instant now, const item_batch &batch,
                                       std::string_view source, action_list &actions)
{
    for (const published_item &item : batch.items) {
        if (!item.config) {
            logUnusable(item, actions);
            continue;
        }
        // A store that was rolled back, or a late response, must not undo a change.
        if (table != nullptr && item.config->version <= table->config()->version)
            continue;
        table = std::make_unique<route_table>(item.config);
        pool.setConfig(now, item.config);
        counters.set("configuration_version", static_cast<double>(item.config->version));
        actions.push_back(configAppliedRecord(*item.config, source, batch.revision));
        if (!item.warning.empty())
            actions.push_back(configWarningRecord(item));
    }
}

/// \return see `applyBatch`.
std::vector<std::string> route_gateway::state::applyWorkers(instant now, const item_batch &batch,
                                                            std::string_view source,
                                                            action_list &actions)
{
    for (const published_item &item : batch.items)
        logUnusable(item, actions);
    std::vector<std::string> removedNames;
    if (batch.startsEra) {
        pool.applyRestored(now, batch.items, batch.copyRevision);
    } else if (batch.isSnapshot) {
        removedNames = pool.applySnapshot(now, batch.items, batch.copyRevision);
    } else {
        for (const published_item &item : batch.items)
            pool.apply(now, item, batch.copyRevision);
    }
    counters.set("workers_known", static_cast<double>(pool.size()));
    peers.raiseAssumedGatewayCount(static_cast<unsigned>(pool.size()));
    updateOutage(now);
    updateRemovalGracePeriods(now);
    handleWorkerChanges(now, source, nullptr, actions);
    return removedNames;
}

/// Logs the changes that were just applied to the pool, and withdraws unsent attempts from workers
/// that get no more requests.
/// \param source see `worker_change_log::write`. \param request request whose response told the
/// changes; null for other sources.
void route_gateway::state::handleWorkerChanges(instant now, std::string_view source,
                                               const shared_request &request, action_list &actions)
{
    const std::vector<worker_change> changes = pool.takeChanges();
    if (changes.empty())
        return;
    changeLog.write(now, changes, source, workerReader.revision(),
                    request == nullptr ? std::string() : request->requestId, actions);
    for (const worker_change &change : changes) {
        if (change.endsUse())
            runner.withdrawUnsent(change.worker, actions);
    }
}

/// Entries that are missing shortly after an outage of the store may have expired in it. At any
/// other time, a worker whose entry was removed has left.
void route_gateway::state::updateRemovalGracePeriods(instant now)
{
    if (!outage.mayRenewEntries(now)) {
        runner.setRemovalGracePeriods({lastResortGracePeriod, duration {0}});
        return;
    }
    constexpr duration renewalTime = store_outage::renewalTimeMax;
    const bool hasMassExpiry = pool.hasMassRemoval(now, renewalTime);
    runner.setRemovalGracePeriods({renewalTime, hasMassExpiry ? renewalTime : duration {0}});
    nextSweep = std::min(nextSweep, outage.renewalEnd(now));
}

/// Notes whether the store is unavailable to this gateway, or to the readers that it follows.
void route_gateway::state::updateOutage(instant now)
{
    outage.update(now, readers.mustWatchStore(now) ? workerReader.isStoreUnavailable()
                                                   : readers.haveLostStore());
}

void route_gateway::state::logUnusable(const published_item &item, action_list &actions)
{
    if (!item.isUnusable() || item.isFaultKnown)
        return;
    counters.add("store_items_unusable_total");
    actions.push_back(unusableItemRecord(item));
}

void route_gateway::state::on(instant now, const drain_requested & /*input*/, action_list &actions)
{
    if (stage != lifecycle_stage::serving)
        return;
    stage = lifecycle_stage::leaving;
    leavingSince = now;
    runner.closeConnectionsAfterResponses();
    peers.beginLeaving(now, actions);
    nextSweep = now;
}

/// Late in the drain, refuses requests that may not end before it does.
void route_gateway::state::restrictAdmission(instant now)
{
    const duration acceptTime = std::min<duration>(
        unconditionalAcceptTime, scaled(settings.drainTimeout, unconditionalAcceptFraction));
    if (stage == lifecycle_stage::leaving && now - leavingSince > acceptTime)
        runner.rejectRequestsEndingAfter(leavingSince
                                         + scaled(settings.drainTimeout, terminateFraction));
}

void route_gateway::state::endDrainIfDue(instant now, action_list &actions)
{
    const duration age = now - leavingSince;
    const bool isDone
        = age >= scaled(settings.drainTimeout, serveFraction) && runner.inProgress() == 0;
    if (!isDone && age < scaled(settings.drainTimeout, terminateFraction))
        return;
    runner.terminateAll(now, actions);
    runner.rejectRequestsEndingAfter(now);
    stage = lifecycle_stage::finished;
    actions.push_back(exit_process {isDone ? "drained" : "the drain timeout has almost passed"});
}

void route_gateway::state::on(instant now, const timer_expired & /*input*/, action_list &actions)
{
    startDueReads(now, actions);
    if (hasJoined) {
        // The payload is built only if an exchange is due, not whenever a timer expires.
        if (now >= peers.nextWake())
            peers.timerExpired(now, takeGossipPayload(now), actions);
        sendDueReports(now, actions);
    }
    if (now >= nextSweep) {
        nextSweep = now + (stage == lifecycle_stage::leaving ? milliseconds(100) : sweepInterval);
        pool.sweep(now);
        updateRemovalGracePeriods(now);
        quarantine.expire(now);
        readers.setCandidates(peers.readerCandidates());
        runner.setGatewayCount(peers.gatewayCount(now));
        pool.setGatewayGroup(now, peers.gatewayGroup(now));
        if (table != nullptr)
            runner.probeLimitedWorkers(now, *table->config(), actions);
    }
}

route_gateway::route_gateway(std::unique_ptr<state> data) : m_state(std::move(data)) { }

route_gateway::~route_gateway() = default;

result<std::unique_ptr<decision_core>> route_gateway::create(routing_settings settings)
{
    if (settings.peers.self.vm.empty())
        return fail(error_code::invalid_settings, "create gateway", "",
                    "the name of the VM is empty");
    return std::unique_ptr<decision_core>(
        new route_gateway(std::make_unique<state>(std::move(settings))));
}

void route_gateway::start(instant now, action_list &actions)
{
    m_state->nextSweep = now + sweepInterval;
    m_state->configReader.start(now, m_state->nextReadId, actions);
    m_state->workerReader.start(now, m_state->nextReadId, actions);
    m_state->expectedWake = m_state->nextWake();
}

void route_gateway::handle(instant now, const event &input, action_list &actions)
{
    m_state->handle(now, input, actions);
}

instant route_gateway::nextWake() const
{
    return m_state->nextWake();
}

bool route_gateway::isReady(instant /*now*/) const
{
    return m_state->isReady();
}

entry_addresses route_gateway::selectEntryAddresses(instant /*now*/, const entry_lookup &lookup)
{
    m_state->counters.add("entry_queries_total");
    return {m_state->peers.entryAddresses(lookup.failureDomain, m_state->isReady()),
            m_state->settings.entryCacheTime};
}

nlohmann::json route_gateway::dump(instant now) const
{
    const state &all = *m_state;
    return {{"process", toString(all.settings.peers.self)},
            {"interface_version", decisionInterfaceVersion},
            {"stage", toString(all.stage)},
            {"config_version", all.table == nullptr ? 0 : all.table->config()->version},
            {"store",
             {{"era", all.workerReader.era()},
              {"config", all.configReader.dump(now)},
              {"workers", all.workerReader.dump(now)}}},
            {"requests", all.runner.dump(now)},
            {"workers", all.pool.dump(now)},
            {"quarantine", all.quarantine.dump(now)},
            {"peers", all.peers.dump(now)},
            {"readers", all.readers.dump(now)},
            {"invariants", all.invariants.dump()},
            {"counters", all.counters.dump()}};
}

nlohmann::json route_gateway::explain(instant /*now*/, std::string_view /*method*/,
                                      std::string_view target) const
{
    if (m_state->table == nullptr)
        return {{"refusal", "no configuration is in force yet"}};
    // As in a URL without a scheme, "//host/path" names the host as well.
    const std::string_view rest = target.starts_with("//") ? target.substr(2) : target;
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const host_route *route = m_state->table->find(rest.substr(0, slash), rest.substr(slash));
    if (route == nullptr)
        return {{"refusal", "no route matches; expected //HOST/PATH"}};
    nlohmann::json targets = nlohmann::json::array();
    for (const route_target &routeTarget : route->targets)
        targets.push_back({{"service", routeTarget.service}, {"weight", routeTarget.weight}});
    return {{"config_version", m_state->table->config()->version},
            {"route", route->name},
            {"priority", route->priority},
            {"targets", targets}};
}

const counter_set &route_gateway::counters() const
{
    return m_state->counters;
}

invariant_set &route_gateway::invariants()
{
    return m_state->invariants;
}

} // namespace almondnotch
