#include "decision/balance/balancer.h"

#include <algorithm>
#include <map>
#include <utility>

#include "decision/balance/drain_table.h"
#include "decision/balance/expected_wait.h"
#include "decision/balance/load_estimate.h"
#include "decision/balance/probe_scheduler.h"
#include "decision/balance/selection_strategy.h"
#include "decision/balance/worker_table.h"

namespace almondnotch {

namespace {

/// In groups up to this size every member is a candidate. Covers the largest service of both
/// reference deployments (docs/design.md, section 1.1).
constexpr std::size_t fullScanMax = 20;
/// Number of candidates sampled from a larger group. Bounds the cost of a selection; the shortest
/// of 16 random queues is on average among the shortest 6% of all queues.
constexpr std::size_t sampledCandidates = 16;
/// Maximum number of members of a larger group that are examined for the sample. If none of them is
/// a preferred candidate, because only few workers are usable, the whole group is scanned instead.
constexpr std::size_t sampleDrawsMax = 48;
/// Traffic share at the beginning of a slow start, relative to the full share. Above 0, so that the
/// worker gets calls at all and its responses can show that it is healthy.
constexpr double slowStartShareMin = 0.1;
/// Maximum number of leaving VMs that the balancer records. Separate from the limit of the VM list,
/// `leavingVmsMax` in decision/fleet/vm_list.h.
constexpr std::size_t recordedLeavingVmsMax = 20000;
/// A time-out counts as a failure of the worker only after this multiple of the response time that
/// is expected of an idle worker. An earlier time-out is more likely due to the caller's short
/// deadline than to the worker.
constexpr double timeoutFailureFactor = 3;
/// Weight of the latest selection in the moving average `group_record::selectedResponseTimeS`.
constexpr double selectedTimeWeight = 0.05;

/// Preference tier of a candidate. A tier is used only if all tiers before it are empty. A worker
/// is in `reserve` if its connection limit is reached or if it is in slow start and the random draw
/// for its traffic share excludes it.
enum class selection_tier { preferred, reserve, ejected, unusable };
constexpr std::size_t selectionTiers = 4;

bool isFailure(const attempt_observation &observation, double expectedResponseTimeS)
{
    switch (observation.end) {
    case attempt_end::answered:
        return observation.status >= 500 && !observation.rejectedBeforeRun;
    case attempt_end::not_sent:
    case attempt_end::broken:
        return true;
    case attempt_end::timed_out:
        return toSeconds(observation.elapsed) >= timeoutFailureFactor * expectedResponseTimeS;
    case attempt_end::cancelled:
        return false;
    }
    return false;
}

std::string_view stateName(worker_state state)
{
    switch (state) {
    case worker_state::ready:
        return "ready";
    case worker_state::cold:
        return "cold";
    case worker_state::draining:
        return "draining";
    }
    return "ready";
}

} // namespace

struct balancer::state
{
    state(balancer_settings initialSettings, random_source &randomSource,
          invariant_set &invariantSet, counter_set &counterSet)
        : settings(std::move(initialSettings)), random(randomSource),
          selectionRandom(mixBits(settings.selectionSeed) ^ randomSource.next()),
          invariants(invariantSet), counters(counterSet),
          strategy(makeSelectionStrategy("expected_wait"))
    { }

    double slowStartShare(instant now, const worker_record &worker) const;
    selection_tier classify(instant now, const selection_request &request, worker_index index);
    void collectCandidates(const selection_request &request, const group_record &group);
    void applyReport(instant now, worker_record &worker, const load_report &report);
    void readmitExpired(instant now, group_record &group);
    void readmit(instant now, group_record &group, worker_record &worker);
    void tryEject(instant now, group_record &group, worker_record &worker);
    void beginSlowStart(instant now, worker_record &worker) const;
    load_prediction meanPrediction(instant now, const worker_record &worker) const;
    nlohmann::json describe(instant now, const worker_record &worker) const;

    balancer_settings settings;
    random_source &random;
    /// Random source of worker selection. Differs between gateways even if `random` was given the
    /// same seed in all of them.
    random_source selectionRandom;
    invariant_set &invariants;
    counter_set &counters;
    std::unique_ptr<selection_strategy> strategy;
    shared_config config;
    worker_table table;
    drain_table drains;
    std::map<std::string, instant, std::less<>> leavingVms;
    probe_scheduler probeScheduler;
    /// Candidates of the current selection by tier. Kept between selections only to reuse the
    /// memory.
    std::vector<candidate> candidatesByTier[selectionTiers];
};

std::unique_ptr<balancer> balancer::create(balancer_settings settings, random_source &random,
                                           invariant_set &invariants, counter_set &counters)
{
    return std::unique_ptr<balancer>(
        new balancer(std::make_unique<state>(std::move(settings), random, invariants, counters)));
}

balancer::balancer(std::unique_ptr<state> data) : m_state(std::move(data)) { }

balancer::~balancer() = default;

void balancer::applyConfig(instant now, const shared_config &config)
{
    state &impl = *m_state;
    const bool isFirstConfig = impl.config == nullptr;
    impl.config = config;
    const std::string &selection = config->objects().limits.selection;
    std::unique_ptr<selection_strategy> strategy = makeSelectionStrategy(selection);
    if (strategy != nullptr)
        impl.strategy = std::move(strategy);
    else
        impl.counters.add("balancer_unknown_strategies_total");

    std::map<std::string, std::string, std::less<>> drainingAddresses;
    for (const worker_record &worker : impl.table.workers()) {
        if (impl.drains.contains(worker.name))
            drainingAddresses.emplace(worker.name, worker.address);
    }
    for (const worker_index index :
         impl.table.applyConfig(now, *config, impl.settings.failureDomain)) {
        worker_record &worker = impl.table.at(index);
        worker.lastContactAt = now;
        const auto previousAddress = drainingAddresses.find(worker.name);
        if (previousAddress != drainingAddresses.end() && previousAddress->second != worker.address)
            impl.drains.markReplaced(worker.name, now);
        // Workers in the first configuration are assumed to be running and warm already. Workers
        // that are added later have just been started and get a slow start.
        if (!isFirstConfig)
            impl.beginSlowStart(now, worker);
    }
    for (worker_record &worker : impl.table.workers()) {
        worker.draining = impl.drains.contains(worker.name);
        worker.vmLeaving = impl.leavingVms.contains(worker.vm);
    }
    for (const std::unique_ptr<group_record> &group : impl.table.groups()) {
        // The members or the ejection limit may have changed: counts the ejected members again and
        // readmits those beyond the limit.
        const unsigned ejectedMax = static_cast<unsigned>(static_cast<double>(group->members.size())
                                                          * group->config.ejectionShareMax);
        group->ejectedCount = 0;
        group->nextReadmission = now;
        for (const worker_index member : group->members) {
            worker_record &worker = impl.table.at(member);
            if (!worker.ejectionState.isEjected())
                continue;
            ++group->ejectedCount;
            if (group->ejectedCount > ejectedMax)
                impl.readmit(now, *group, worker);
        }
    }
    impl.probeScheduler.restart(now, impl.table, impl.random);
    impl.counters.set("balancer_workers", static_cast<double>(config->objects().workers.size()));
}

std::optional<selected_worker> balancer::select(const selection_request &request)
{
    state &impl = *m_state;
    group_record *group
        = request.group == nullptr ? nullptr : impl.table.findGroup(request.group->name);
    if (group == nullptr || group->members.empty()) {
        impl.counters.add("balancer_selections_total{result=\"no_worker\"}");
        return std::nullopt;
    }
    group->hasReceivedCalls = true;
    group->lastCallAt = request.now;
    impl.readmitExpired(request.now, *group);
    impl.collectCandidates(request, *group);
    for (const std::vector<candidate> &candidates : impl.candidatesByTier) {
        if (candidates.empty())
            continue;
        const selection_context context {request.now, impl.table, *group, impl.settings.tuning,
                                         impl.selectionRandom};
        const std::size_t chosen = impl.strategy->choose(context, candidates);
        const worker_index index = candidates[chosen].worker;
        const worker_record &worker = impl.table.at(index);
        const load_prediction prediction = impl.meanPrediction(request.now, worker);
        group->selectedResponseTimeS
            = group->selectedResponseTimeS <= 0
                  ? prediction.responseTimeS
                  : group->selectedResponseTimeS
                        + selectedTimeWeight
                              * (prediction.responseTimeS - group->selectedResponseTimeS);
        impl.invariants.check("selected_worker_not_leaving",
                              worker.configured && !worker.draining && !worker.vmLeaving,
                              worker.name);
        return selected_worker {
            index, worker.name, worker.address, worker.connectionLimit,
            duration(static_cast<std::int64_t>(prediction.responseTimeS * 1e6))};
    }
    impl.counters.add("balancer_selections_total{result=\"no_worker\"}");
    return std::nullopt;
}

void balancer::attemptStarted(instant now, worker_index worker)
{
    if (!m_state->table.contains(worker))
        return;
    worker_record &record = m_state->table.at(worker);
    record.load.startAttempt(now, m_state->meanPrediction(now, record).baseResponseTimeS);
}

void balancer::attemptFinished(instant now, const attempt_observation &observation)
{
    state &impl = *m_state;
    if (!impl.table.contains(observation.worker))
        return;
    worker_record &worker = impl.table.at(observation.worker);
    group_record &group = impl.table.groupOf(worker);
    const bool failed = isFailure(observation, worker.roundTripS + group.estimate.serviceTimeS());
    const bool served
        = observation.end == attempt_end::answered && !failed && !observation.rejectedBeforeRun;
    const std::optional<double> ratio = worker.load.finishAttempt(
        now, observation.elapsed, served, group.estimate, impl.settings.tuning);
    // The group index of a removed worker may refer to a different group by now.
    if (!worker.configured)
        return;
    if (ratio)
        group.estimate.addLatencyRatio(*ratio);
    if (observation.load)
        impl.applyReport(now, worker, *observation.load);
    if (observation.end == attempt_end::cancelled)
        return;

    // A rejected call costs little but has to be retried on another worker. It counts as a failure
    // in selection, but it does not indicate a broken worker and so does not lead to ejection.
    const bool countsAsFailure = failed || observation.rejectedBeforeRun;
    worker.load.addOutcome(now, countsAsFailure);
    group.estimate.addOutcome(countsAsFailure);
    if (observation.end == attempt_end::answered)
        worker.lastContactAt = now;
    if (worker.ejectionState.addOutcome(failed))
        impl.tryEject(now, group, worker);
}

void balancer::markDraining(instant now, const std::string &worker, duration age)
{
    if (!m_state->drains.add(worker, now - std::max(age, duration(0))))
        return;
    m_state->counters.add("balancer_drains_total");
    worker_record *record = m_state->table.find(worker);
    if (record != nullptr)
        record->draining = true;
}

void balancer::markVmLeaving(instant now, const std::string &vm, instant leaveAt)
{
    static_cast<void>(now);
    state &impl = *m_state;
    if (impl.leavingVms.size() >= recordedLeavingVmsMax && !impl.leavingVms.contains(vm)) {
        impl.counters.add("balancer_leaving_vms_refused_total");
        return;
    }
    impl.leavingVms.insert_or_assign(vm, leaveAt);
    for (worker_record &worker : impl.table.workers()) {
        if (worker.vm == vm)
            worker.vmLeaving = true;
    }
}

void balancer::clearVmLeaving(instant now, const std::string &vm)
{
    state &impl = *m_state;
    if (impl.leavingVms.erase(vm) == 0)
        return;
    for (worker_record &worker : impl.table.workers()) {
        if (worker.vm != vm)
            continue;
        worker.vmLeaving = false;
        impl.beginSlowStart(now, worker);
    }
}

std::vector<worker_drain> balancer::recentDrains(instant now, std::size_t limit) const
{
    return m_state->drains.recent(now, limit);
}

void balancer::pauseDetected(instant now)
{
    state &impl = *m_state;
    for (worker_record &worker : impl.table.workers()) {
        worker.load.markStale(now);
        // After a long pause all token buckets are full; without this limit all workers would be
        // probed at once.
        worker.budget.limitTokens(now, impl.random.uniform());
    }
    impl.counters.add("balancer_pauses_total");
}

std::vector<probe_request> balancer::dueProbes(instant now)
{
    state &impl = *m_state;
    std::vector<probe_request> out;
    for (const worker_index index : impl.probeScheduler.takeDueWorkers(now)) {
        worker_record &worker = impl.table.at(index);
        if (!worker.configured)
            continue;
        group_record &group = impl.table.groupOf(worker);
        impl.readmitExpired(now, group);
        // If the end of a probe is never reported, the worker must not remain unprobed forever.
        if (worker.probeInFlight && now - worker.probeStartedAt >= impl.settings.probeTimeout * 4)
            worker.probeInFlight = false;
        if (worker.budget.readyAt() > now || worker.probeInFlight
            || !probe_scheduler::shouldProbe(now, worker, group, impl.settings.tuning)) {
            impl.probeScheduler.schedule(now + impl.probeScheduler.checkInterval(), index);
            continue;
        }
        const std::optional<probe_request> dueProbe = tryProbe(now, index);
        if (dueProbe)
            out.push_back(*dueProbe);
        impl.probeScheduler.schedule(now + impl.probeScheduler.checkInterval(), index);
    }
    return out;
}

std::optional<probe_request> balancer::tryProbe(instant now, worker_index worker)
{
    state &impl = *m_state;
    if (!impl.table.contains(worker))
        return std::nullopt;
    worker_record &record = impl.table.at(worker);
    if (!record.configured || record.probeInFlight || !record.budget.tryStartProbe(now))
        return std::nullopt;
    impl.invariants.check("probe_rate_within_share", record.budget.isWithinShare(now), record.name);
    record.probeInFlight = true;
    record.probeStartedAt = now;
    impl.counters.add("balancer_probes_total");
    return probe_request {worker, record.name, record.address, impl.settings.probeTimeout};
}

void balancer::probeFinished(instant now, worker_index worker,
                             const std::optional<load_report> &load, std::uint32_t bytes)
{
    state &impl = *m_state;
    if (!impl.table.contains(worker))
        return;
    worker_record &record = impl.table.at(worker);
    if (record.probeInFlight) {
        record.probeInFlight = false;
        record.budget.finishProbe(bytes);
    }
    impl.counters.add("balancer_probe_bytes_total", bytes);
    if (!record.configured)
        return;
    if (load) {
        impl.applyReport(now, record, *load);
        record.lastContactAt = now;
        return;
    }
    impl.counters.add("balancer_probe_failures_total");
    // The worker is still not reachable, so its ejection is extended.
    if (record.ejectionState.isEjected()) {
        group_record &group = impl.table.groupOf(record);
        record.ejectionState.eject(now, impl.settings.baseEjectionTime);
        record.lastContactAt = now;
        group.nextReadmission
            = std::min(group.nextReadmission, record.ejectionState.ejectedUntil());
    }
}

instant balancer::nextWake() const
{
    return m_state->probeScheduler.nextWake();
}

nlohmann::json balancer::dump(instant now) const
{
    const state &impl = *m_state;
    nlohmann::json workers = nlohmann::json::array();
    std::size_t configuredCount = 0;
    for (const worker_record &worker : impl.table.workers()) {
        if (!worker.configured)
            continue;
        ++configuredCount;
        workers.push_back(impl.describe(now, worker));
    }
    nlohmann::json groups = nlohmann::json::array();
    for (const std::unique_ptr<group_record> &group : impl.table.groups()) {
        groups.push_back({{"name", group->config.name},
                          {"workers", group->members.size()},
                          {"ejected", group->ejectedCount},
                          {"service_time_us", group->estimate.serviceTimeS() * 1e6},
                          {"mean_calls_at_worker", group->estimate.meanOutstanding()},
                          {"chosen_time_us", group->selectedResponseTimeS * 1e6},
                          {"failure_share", group->estimate.failureShare()}});
    }
    nlohmann::json leaving = nlohmann::json::array();
    for (const std::pair<const std::string, instant> &entry : impl.leavingVms) {
        nlohmann::json row = {{"vm", entry.first}};
        if (entry.second != instant::never())
            row["leaves_in_ms"] = toMilliseconds(entry.second - now);
        leaving.push_back(row);
    }
    return {{"strategy", std::string(impl.strategy->name())},
            {"workers", workers},
            {"groups", groups},
            {"drains",
             {{"count", impl.drains.size()},
              {"bound", drain_table::drainsMax},
              {"dropped", impl.drains.evictedCount()}}},
            {"leaving_vms", leaving},
            {"bytes_per_worker", sizeof(worker_record)},
            {"records", impl.table.workers().size()},
            {"known", configuredCount}};
}

nlohmann::json balancer::explain(instant now, const worker_group &group) const
{
    const state &impl = *m_state;
    nlohmann::json rows = nlohmann::json::array();
    const group_record *record = impl.table.findGroup(group.name);
    if (record == nullptr)
        return rows;
    for (const worker_index member : record->members) {
        const worker_record &worker = impl.table.at(member);
        nlohmann::json row = impl.describe(now, worker);
        row["score_us"]
            = expected_wait::score(impl.meanPrediction(now, worker), record->estimate) * 1e6;
        rows.push_back(row);
    }
    return rows;
}

double balancer::state::slowStartShare(instant now, const worker_record &worker) const
{
    if (!worker.inSlowStart)
        return 1;
    if (worker.cold || settings.slowStart <= duration(0))
        return worker.cold ? slowStartShareMin : 1;
    const double progress
        = toSeconds(now - worker.slowStartBeganAt) / toSeconds(settings.slowStart);
    return std::clamp(slowStartShareMin + (1 - slowStartShareMin) * progress, slowStartShareMin,
                      1.0);
}

selection_tier balancer::state::classify(instant now, const selection_request &request,
                                         worker_index index)
{
    const worker_record &worker = table.at(index);
    if (!worker.configured || worker.draining || worker.vmLeaving)
        return selection_tier::unusable;
    if (std::find(request.excluded.begin(), request.excluded.end(), index)
        != request.excluded.end())
        return selection_tier::unusable;
    if (worker.ejectionState.isEjected())
        return selection_tier::ejected;
    if (worker.load.inFlight() >= worker.connectionLimit)
        return selection_tier::reserve;
    if (worker.inSlowStart) {
        const double share = slowStartShare(now, worker);
        if (share < 1 && selectionRandom.uniform() >= share)
            return selection_tier::reserve;
    }
    return selection_tier::preferred;
}

void balancer::state::collectCandidates(const selection_request &request, const group_record &group)
{
    for (std::vector<candidate> &list : candidatesByTier)
        list.clear();
    const std::size_t size = group.members.size();
    if (size > fullScanMax) {
        std::vector<candidate> &preferred = candidatesByTier[0];
        for (std::size_t i = 0; i < sampleDrawsMax && preferred.size() < sampledCandidates; ++i) {
            const std::size_t position = strategy->isSequential()
                                             ? (group.roundRobinCursor + i) % size
                                             : selectionRandom.below(size);
            const worker_index member = group.members[position];
            if (classify(request.now, request, member) == selection_tier::preferred)
                preferred.push_back({member, position});
        }
        if (!preferred.empty())
            return;
    }
    for (std::size_t position = 0; position < size; ++position) {
        const worker_index member = group.members[position];
        const selection_tier tier = classify(request.now, request, member);
        if (tier != selection_tier::unusable)
            candidatesByTier[static_cast<std::size_t>(tier)].push_back({member, position});
    }
}

void balancer::state::applyReport(instant now, worker_record &worker, const load_report &report)
{
    worker.load.addReport(now, report, worker.roundTrip);
    if (report.slots > 0)
        worker.slots = report.slots;
    table.groupOf(worker).estimate.addOutstanding(report.running + report.queued);
    if (report.state == worker_state::draining) {
        if (drains.add(worker.name, now))
            counters.add("balancer_drains_total");
        worker.draining = drains.contains(worker.name);
        return;
    }
    if (worker.draining && drains.markReady(worker.name, now)) {
        worker.draining = false;
        beginSlowStart(now, worker);
    }
    if (report.state == worker_state::cold) {
        worker.cold = true;
        beginSlowStart(now, worker);
    } else if (worker.cold) {
        worker.cold = false;
        beginSlowStart(now, worker);
    } else if (worker.inSlowStart && now - worker.slowStartBeganAt >= settings.slowStart) {
        worker.inSlowStart = false;
    }
}

void balancer::state::readmitExpired(instant now, group_record &group)
{
    if (group.ejectedCount == 0 || now < group.nextReadmission)
        return;
    group.nextReadmission = instant::never();
    for (const worker_index member : group.members) {
        worker_record &worker = table.at(member);
        if (!worker.ejectionState.isEjected())
            continue;
        if (worker.ejectionState.ejectedUntil() <= now)
            readmit(now, group, worker);
        else
            group.nextReadmission
                = std::min(group.nextReadmission, worker.ejectionState.ejectedUntil());
    }
}

void balancer::state::readmit(instant now, group_record &group, worker_record &worker)
{
    worker.ejectionState.readmit(now);
    --group.ejectedCount;
    beginSlowStart(now, worker);
}

void balancer::state::tryEject(instant now, group_record &group, worker_record &worker)
{
    readmitExpired(now, group);
    const double ejectedMax
        = group.config.ejectionShareMax * static_cast<double>(group.members.size());
    bool otherWorkerHealthy = false;
    for (const worker_index member : group.members) {
        const worker_record &other = table.at(member);
        otherWorkerHealthy
            = otherWorkerHealthy
              || (&other != &worker && !other.draining && !other.ejectionState.isEjected()
                  && other.ejectionState.consecutiveFailures()
                         < ejection_state::consecutiveFailureThreshold);
    }
    if (!otherWorkerHealthy) {
        // Every other worker of the group fails, is ejected or is draining. The cause is then more
        // likely shared, such as a failed dependency, than a fault in each worker, so all ejected
        // workers are readmitted.
        for (const worker_index member : group.members) {
            worker_record &other = table.at(member);
            if (other.ejectionState.isEjected()) {
                readmit(now, group, other);
                other.ejectionState.markUnhealthy();
            }
        }
        counters.add("balancer_ejections_total{result=\"all_bad\"}");
        return;
    }
    if (group.ejectedCount + 1 > ejectedMax) {
        counters.add("balancer_ejections_total{result=\"bound\"}");
        return;
    }
    group.nextReadmission = std::min(group.nextReadmission,
                                     worker.ejectionState.eject(now, settings.baseEjectionTime));
    ++group.ejectedCount;
    counters.add("balancer_ejections_total{result=\"ejected\"}");
    invariants.check("ejected_share_within_bound", group.ejectedCount <= ejectedMax,
                     group.config.name);
}

void balancer::state::beginSlowStart(instant now, worker_record &worker) const
{
    worker.inSlowStart = true;
    worker.slowStartBeganAt = now;
}

load_prediction balancer::state::meanPrediction(instant now, const worker_record &worker) const
{
    return worker.load.predict(now, table.groupOf(worker).estimate, settings.tuning, worker.slots,
                               worker.roundTripS, 0);
}

nlohmann::json balancer::state::describe(instant now, const worker_record &worker) const
{
    const load_prediction prediction = meanPrediction(now, worker);
    nlohmann::json row = {{"name", worker.name},
                          {"address", worker.address},
                          {"group", table.groupOf(worker).config.name},
                          {"in_flight", worker.load.inFlight()},
                          {"expected_us", prediction.responseTimeS * 1e6},
                          {"slowdown", prediction.slowdown},
                          {"estimated_calls", prediction.outstanding},
                          {"estimate_spread", prediction.outstandingDeviation},
                          {"failure_excess", prediction.failureExcess},
                          {"share", slowStartShare(now, worker)},
                          {"draining", worker.draining},
                          {"vm_leaving", worker.vmLeaving},
                          {"ejected", worker.ejectionState.isEjected()},
                          {"connection_limit", worker.connectionLimit},
                          {"probes", worker.budget.startedProbes()},
                          {"unheard_ms", toMilliseconds(now - worker.lastContactAt)}};
    const std::optional<load_report> &report = worker.load.report();
    if (report) {
        row["report"] = {{"running", report->running},
                         {"queued", report->queued},
                         {"slots", report->slots},
                         {"state", std::string(stateName(report->state))}};
        if (worker.load.reportAge(now) != duration::max())
            row["report"]["age_ms"] = toMilliseconds(worker.load.reportAge(now));
    }
    return row;
}

} // namespace almondnotch
