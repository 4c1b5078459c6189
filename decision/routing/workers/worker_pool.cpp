#include "decision/routing/workers/worker_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace almondnotch {

namespace {

/// Weight of the newest result of an attempt or probe in a worker's failure rate.
constexpr double outcomeWeight = 0.3;
/// Initial usable fraction of a service, and the weight of one probe in it.
constexpr double initialUsableFraction = 0.6;
constexpr double usableFractionWeight = 0.1;
/// Weight of one probe in the mean slowdown, and the maximum to which a sample is clamped.
constexpr double slowdownWeight = 0.02;
constexpr double slowdownMax = 10;
/// Time in which the failure rate falls to 1/e if there are no new failures.
constexpr duration failureDecayTime = seconds(4);
/// Number of consecutive failures after which a worker is ejected.
constexpr unsigned consecutiveFailuresToEject = 2;
/// Initial and maximum duration of an ejection. The duration doubles with each further ejection of
/// the worker and is reset by a success.
constexpr duration ejectionTimeInitial = milliseconds(400);
constexpr duration ejectionTimeMax = seconds(3);
/// Removals count as many if they are at least this number of workers and this fraction of all.
constexpr std::ptrdiff_t massRemovalCountMin = 3;
constexpr double massRemovalShare = 0.4;
/// How long after its warm-up a worker counts as one that has joined recently: long enough for all
/// gateways to have sent it requests.
constexpr duration joiningTime = seconds(5);
/// How long a removed worker is kept, for attempts in flight and in case its entry returns.
constexpr duration removedWorkerRetention = seconds(20);

} // namespace

bool hasRoom(const load_report &report)
{
    return report.running + report.queued < report.slots
           && report.slowdownPercent / 100.0 <= fullSpeedSlowdownMax;
}

void worker_pool::apply(instant now, const published_item &item, std::uint64_t copyRevision)
{
    if (!item.removed && !item.worker)
        m_counters.add("worker_entries_unusable_total");
    if (item.worker)
        add(now, *item.worker, item.revision,
            copyRevision > 0 && item.revision <= copyRevision ? entry_origin::copy
                                                              : entry_origin::worker);
    else
        remove(now, item.name);
}

std::vector<std::string> worker_pool::applySnapshot(instant now,
                                                    const std::vector<published_item> &items,
                                                    std::uint64_t copyRevision)
{
    std::set<std::string, std::less<>> listed;
    for (const published_item &item : items) {
        apply(now, item, copyRevision);
        if (item.worker)
            listed.insert(item.name);
    }
    std::vector<std::string> missing;
    for (const std::pair<const std::string, worker_index> &entry : m_byName) {
        if (!listed.contains(entry.first) && !at(entry.second).availability.isRemoved())
            missing.push_back(entry.first);
    }
    for (const std::string &name : missing)
        remove(now, name);
    m_isListed = true;
    return missing;
}

void worker_pool::applyRestored(instant now, const std::vector<published_item> &items,
                                std::uint64_t copyRevision)
{
    std::set<std::string, std::less<>> toldByPeers;
    for (pooled_worker &worker : m_workers) {
        if (worker.availability.isLeaveReportedByPeer())
            toldByPeers.insert(worker.entry.name);
        worker.availability.storeRestored();
    }
    // What other gateways told may be more recent than all revisions that this one knows.
    constexpr std::uint64_t allRevisions = std::numeric_limits<std::uint64_t>::max();
    for (const published_item &item : items)
        apply(now, item, toldByPeers.contains(item.name) ? allRevisions : copyRevision);
}

/// Applies a new entry of the run that `known` describes.
void worker_pool::entryChanged(instant now, pooled_worker &known, const published_worker &entry,
                               std::uint64_t revision, entry_origin origin)
{
    const bool wasInUse = known.availability.isInUse();
    const bool saysNothingNew = revision > 0 ? revision == known.entryRevision
                                             : entry.warmUpLeft == known.entry.warmUpLeft;
    known.entry = entry;
    known.entryRevision = revision;
    if (!saysNothingNew)
        m_coldLimits.entrySaid(now, known);
    known.availability.setEvacuated(m_evacuations.includes(entry.failureDomain));
    known.availability.entryRead(entry.leaving, origin);
    const bool isInUse = known.availability.isInUse();
    if (isInUse)
        m_drainOrRemovalAt.erase(entry.name);
    else
        m_drainOrRemovalAt.try_emplace(entry.name, now);
    if (wasInUse != isInUse)
        m_changes.push_back({entry.name, isInUse ? worker_change_kind::available_again
                                                 : worker_change_kind::drain_started});
}

void worker_pool::add(instant now, const published_worker &entry, std::uint64_t revision,
                      entry_origin origin)
{
    const auto found = m_byName.find(entry.name);
    if (found != m_byName.end()) {
        pooled_worker &known = mutableAt(found->second);
        const bool isSameRun = known.entry.startedUnixMs == entry.startedUnixMs
                               && known.entry.address == entry.address
                               && known.entry.service == entry.service;
        if (isSameRun) {
            entryChanged(now, known, entry, revision, origin);
            return;
        }
        // The copy may hold the entry of an earlier run of the worker.
        if (origin == entry_origin::copy && entry.startedUnixMs < known.entry.startedUnixMs)
            return;
        // Attempts in flight still refer to the old record; `sweep` drops it after they have ended.
        known.availability.entryRemoved(now);
        m_changes.push_back({entry.name, worker_change_kind::removed});
        std::vector<worker_index> &old = m_byService[known.entry.service];
        old.erase(std::remove(old.begin(), old.end(), found->second), old.end());
        m_byName.erase(found);
    }
    worker_index index {static_cast<std::uint32_t>(m_workers.size())};
    if (m_freeIndexes.empty()) {
        m_workers.emplace_back();
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    pooled_worker fresh;
    fresh.entry = entry;
    fresh.entryRevision = revision;
    fresh.availability.entryRead(entry.leaving, origin);
    fresh.warmUpEnd = now + entry.warmUpLeft;
    if (m_isListed)
        fresh.joiningUntil = fresh.warmUpEnd + joiningTime;
    fresh.report.slots = entry.slots;
    fresh.availability.setEvacuated(m_evacuations.includes(entry.failureDomain));
    m_coldLimits.update(now, fresh);
    mutableAt(index) = fresh;
    m_byName.emplace(entry.name, index);
    m_byService[entry.service].push_back(index);
    if (entry.leaving)
        m_drainOrRemovalAt.emplace(entry.name, now);
    else
        m_drainOrRemovalAt.erase(entry.name);
}

void worker_pool::remove(instant now, const std::string &name)
{
    const auto found = m_byName.find(name);
    if (found == m_byName.end())
        return;
    pooled_worker &worker = mutableAt(found->second);
    if (worker.availability.isRemoved())
        return;
    worker.availability.entryRemoved(now);
    m_drainOrRemovalAt.emplace(name, now);
    m_changes.push_back({name, worker_change_kind::removed});
}

void worker_pool::applyDrain(instant now, const std::string &name, duration age,
                             bool isStoreUnreachable)
{
    const auto found = m_byName.find(name);
    if (found == m_byName.end())
        return;
    pooled_worker &worker = mutableAt(found->second);
    if (!worker.availability.isInUse()
        || !(isStoreUnreachable || worker.availability.isEntryFromCopy()))
        return;
    worker.availability.leaveReportedByPeer();
    m_drainOrRemovalAt.emplace(name, now - age);
    m_changes.push_back({name, worker_change_kind::drain_started});
    m_counters.add("worker_drains_learned_total");
}

std::vector<worker_drain> worker_pool::recentDrains(instant now, duration window) const
{
    std::vector<worker_drain> out;
    for (const std::pair<const std::string, instant> &entry : m_drainOrRemovalAt) {
        const duration age = now - entry.second;
        if (age <= window)
            out.push_back({entry.first, age});
    }
    std::stable_sort(
        out.begin(), out.end(),
        [](const worker_drain &left, const worker_drain &right) { return left.age < right.age; });
    return out;
}

void worker_pool::attemptStarted(instant now, worker_index worker)
{
    pooled_worker &target = mutableAt(worker);
    target.availability.requestSent(now);
    if (target.availability.isLimitedWhileCold(now))
        m_counters.add("requests_to_cold_workers_total");
    ++target.inFlight;
    ++target.sentSinceReport;
}

void worker_pool::applyReport(instant now, pooled_worker &worker, const load_report &report)
{
    worker.report = report;
    if (worker.report.slots == 0)
        worker.report.slots = std::max(worker.entry.slots, 1U);
    worker.reportedAt = now;
    worker.hasReport = true;
    worker.sentSinceReport = 0;
}

void worker_pool::applySignals(instant now, pooled_worker &worker, const worker_signals &signals)
{
    if (!signals.malformedHeader.empty()) {
        m_counters.add("worker_signal_headers_malformed_total");
        worker_change ignored {worker.entry.name, worker_change_kind::malformed_header};
        ignored.header = signals.malformedHeader;
        m_changes.push_back(std::move(ignored));
    }
    if (signals.requestRateMax)
        applyRequestLimit(now, worker, *signals.requestRateMax);
    if (signals.warmUpLeft)
        m_coldLimits.workerSaid(now, worker, *signals.warmUpLeft);
    if (signals.isLeaving)
        applyLeave(now, worker);
    if (signals.pause > duration {0})
        applyPause(now, worker, signals.pause);
}

void worker_pool::applyLeave(instant now, pooled_worker &worker)
{
    const bool wasInUse = worker.availability.isInUse();
    worker.availability.leaveAnnounced();
    if (!wasInUse)
        return;
    m_drainOrRemovalAt.try_emplace(worker.entry.name, now);
    m_changes.push_back({worker.entry.name, worker_change_kind::drain_started});
    m_counters.add("worker_leaves_announced_total");
}

void worker_pool::applyPause(instant now, pooled_worker &worker, duration length)
{
    const bool wasPaused = worker.availability.isPaused(now);
    worker.availability.pauseRequested(now, length);
    m_counters.add("worker_pauses_requested_total");
    if (wasPaused)
        return;
    worker_change change {worker.entry.name, worker_change_kind::paused};
    change.pause = length;
    m_changes.push_back(std::move(change));
}

void worker_pool::applyRequestLimit(instant now, pooled_worker &worker, double requestRateMax)
{
    const bool wasLimited = std::isfinite(worker.requestRateMax);
    const bool hasChanged = worker.requestRateMax != requestRateMax;
    worker.requestRateMax = requestRateMax;
    worker.limitNamedAt = now;
    if (hasChanged)
        updatePacer(now, worker);
    if (wasLimited == std::isfinite(requestRateMax))
        return;
    m_changes.push_back({worker.entry.name,
                         wasLimited ? worker_change_kind::limit_ended : worker_change_kind::limited,
                         requestRateMax});
}

void worker_pool::updatePacer(instant now, pooled_worker &worker) const
{
    const double limit = worker.requestRateMax;
    const bool isLimited = std::isfinite(limit);
    worker.availability.pacer().setShare(
        now, isLimited ? shareOfRequestLimit(limit, worker.entry, m_gatewayGroup)
                       : request_limit_share {});
}

void worker_pool::setConfig(instant now, shared_route_config config)
{
    m_coldLimits.setConfig(std::move(config));
    for (pooled_worker &worker : m_workers)
        m_coldLimits.update(now, worker);
}

evacuation_update worker_pool::applyEvacuations(instant now,
                                                const std::vector<published_item> &items,
                                                bool isSnapshot)
{
    evacuation_update update = m_evacuations.apply(items, isSnapshot);
    if (update.begun.empty() && update.ended.empty())
        return update;
    m_counters.add("evacuations_begun_total", update.begun.size());
    m_counters.add("evacuations_ended_total", update.ended.size());
    for (pooled_worker &worker : m_workers) {
        const bool wasEvacuated = worker.availability.isEvacuated();
        const bool isEvacuated = m_evacuations.includes(worker.entry.failureDomain);
        if (wasEvacuated == isEvacuated)
            continue;
        worker.availability.setEvacuated(isEvacuated);
        m_changes.push_back({worker.entry.name, isEvacuated
                                                    ? worker_change_kind::evacuated
                                                    : worker_change_kind::evacuation_ended});
        if (!isEvacuated)
            m_coldLimits.evacuationEnded(now, worker);
    }
    return update;
}

void worker_pool::setGatewayGroup(instant now, const gateway_group &group)
{
    if (group == m_gatewayGroup)
        return;
    m_gatewayGroup = group;
    m_coldLimits.setGatewayGroup(group);
    for (pooled_worker &worker : m_workers) {
        updatePacer(now, worker);
        m_coldLimits.update(now, worker);
    }
}

std::vector<worker_index> worker_pool::limitedWorkers(instant before) const
{
    std::vector<worker_index> out;
    for (const std::pair<const std::string, worker_index> &named : m_byName) {
        const pooled_worker &worker = at(named.second);
        if (std::isfinite(worker.requestRateMax) && worker.limitNamedAt < before
            && worker.availability.isInUse() && !worker.availability.isEvacuated())
            out.push_back(named.second);
    }
    return out;
}

void worker_pool::updateAverages(const pooled_worker &worker)
{
    const load_report &report = worker.report;
    const double slowdown = report.slowdownPercent / 100.0;
    double &fraction
        = m_usableFraction.try_emplace(worker.entry.service, initialUsableFraction).first->second;
    fraction += usableFractionWeight * ((hasRoom(report) ? 1.0 : 0.0) - fraction);
    m_meanSlowdown += slowdownWeight * (std::min(slowdown, slowdownMax) - m_meanSlowdown);
}

double worker_pool::usableFraction(std::string_view service) const
{
    const auto found = m_usableFraction.find(service);
    return found == m_usableFraction.end() ? initialUsableFraction : found->second;
}

void worker_pool::recordSuccess(pooled_worker &worker)
{
    worker.consecutiveFailures = 0;
    worker.failureRate *= 1 - outcomeWeight;
    worker.ejectionTime = duration {0};
}

void worker_pool::recordFailure(instant now, pooled_worker &worker, bool ejectsImmediately)
{
    const double age = toSeconds(now - worker.lastFailureAt) / toSeconds(failureDecayTime);
    const double decayed = worker.failureRate * std::exp(-age);
    worker.failureRate = decayed + outcomeWeight * (1 - decayed);
    worker.lastFailureAt = now;
    ++worker.consecutiveFailures;
    if (!ejectsImmediately && worker.consecutiveFailures < consecutiveFailuresToEject)
        return;
    worker.ejectionTime = worker.ejectionTime == duration {0}
                              ? ejectionTimeInitial
                              : std::min<duration>(worker.ejectionTime * 2, ejectionTimeMax);
    worker.ejectedUntil = now + worker.ejectionTime;
    m_counters.add("workers_shunned_total");
}

void worker_pool::attemptFinished(instant now, worker_index index, const attempt_finished &input)
{
    pooled_worker &worker = mutableAt(index);
    worker.inFlight -= std::min(worker.inFlight, 1U);
    worker.sentSinceReport = std::min(worker.sentSinceReport, worker.inFlight);
    if (input.load)
        applyReport(now, worker, *input.load);
    applySignals(now, worker, input.signals);
    if (input.wrongInstance) {
        worker.availability.addressReused();
        m_changes.push_back({worker.entry.name, worker_change_kind::replaced});
        return;
    }
    if (input.wasWithdrawn)
        return;
    switch (input.end) {
    case attempt_end::answered:
        if (input.response && input.response->status >= 500)
            recordFailure(now, worker, false);
        else
            recordSuccess(worker);
        return;
    case attempt_end::not_sent:
        recordFailure(now, worker, true);
        return;
    case attempt_end::broken:
    case attempt_end::timed_out:
        recordFailure(now, worker, false);
        return;
    case attempt_end::cancelled:
        return;
    }
}

void worker_pool::probeFinished(instant now, worker_index index, const probe_finished &input)
{
    pooled_worker &worker = mutableAt(index);
    applySignals(now, worker, input.signals);
    if (!input.load) {
        recordFailure(now, worker, true);
        return;
    }
    applyReport(now, worker, *input.load);
    updateAverages(worker);
}

bool worker_pool::hasMassRemoval(instant now, duration window) const
{
    const std::ptrdiff_t removed = std::count_if(
        m_byName.begin(), m_byName.end(),
        [this, now, window](const std::pair<const std::string, worker_index> &named) {
            const instant at = this->at(named.second).availability.removedAt();
            return at != instant::never() && now - at <= window;
        });
    return removed >= massRemovalCountMin
           && static_cast<double>(removed)
                  >= massRemovalShare * static_cast<double>(m_byName.size());
}

void worker_pool::invalidateReports()
{
    for (pooled_worker &worker : m_workers)
        worker.hasReport = false;
}

void worker_pool::sweep(instant now)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        pooled_worker &worker = m_workers[i];
        const worker_availability &availability = worker.availability;
        if (worker.entry.name.empty() || !availability.isRemoved()
            || now - availability.removedAt() < removedWorkerRetention || worker.inFlight > 0)
            continue;
        const worker_index index {static_cast<std::uint32_t>(i)};
        const auto named = m_byName.find(worker.entry.name);
        if (named != m_byName.end() && named->second == index)
            m_byName.erase(named);
        std::vector<worker_index> &members = m_byService[worker.entry.service];
        members.erase(std::remove(members.begin(), members.end(), index), members.end());
        worker = pooled_worker {};
        m_freeIndexes.push_back(index);
    }
    std::erase_if(m_drainOrRemovalAt, [now](const std::pair<const std::string, instant> &entry) {
        return now - entry.second > removedWorkerRetention;
    });
}

const std::vector<worker_index> &worker_pool::workersOf(std::string_view service) const
{
    static const std::vector<worker_index> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

std::vector<worker_index> worker_pool::usableWorkersOf(instant now, std::string_view service) const
{
    std::vector<worker_index> out;
    for (const worker_index index : workersOf(service)) {
        if (at(index).availability.reason(now, duration {0}) == unavailability::none)
            out.push_back(index);
    }
    return out;
}

nlohmann::json worker_pool::dump(instant now) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const std::pair<const std::string, worker_index> &named : m_byName)
        rows.push_back(dumpOf(now, at(named.second)));
    return rows;
}

} // namespace almondnotch
