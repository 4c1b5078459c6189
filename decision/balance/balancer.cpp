#include "decision/balance/balancer.h"

#include <algorithm>
#include <map>
#include <utility>

#include "decision/balance/drain_table.h"
#include "decision/balance/expected_wait.h"
#include "decision/balance/load_estimate.h"
#include "decision/balance/probe_planner.h"
#include "decision/balance/selection_strategy.h"
#include "decision/balance/worker_table.h"

namespace almondnotch {

namespace {

/// Groups up to this size are looked at as a whole. Covers the largest service of both users.
constexpr std::size_t wholeGroupMax = 20;
/// Candidates drawn from a larger group. Bounds the cost of a choice; the shortest of 16 random
/// queues is within a few percent of the shortest of all.
constexpr std::size_t drawnCandidates = 16;
/// Draws before all members are looked at, for groups of which only few workers are usable.
constexpr std::size_t drawsMax = 48;
/// Share of the normal traffic at the begin of a slow start. Above 0, so that the worker can show
/// that it works.
constexpr double rampFloor = 0.1;
/// Most VM names on the list of leaving VMs that are kept.
constexpr std::size_t leavingVmsMax = 20000;
/// A time-out counts as a failure if the worker had this many expected times; before that it says
/// more about the deadline than about the worker.
constexpr double timeoutFactor = 3;
/// Weight of the last choice in the average of chosen times.
constexpr double chosenWeight = 0.05;

/// How readily a worker is used. A class is used only if all before it are empty.
enum class usability { preferred, reserve, ejected, unusable };
constexpr std::size_t usabilityClasses = 4;

bool isFailure(const attempt_observation &observation, double expectedS)
{
    switch (observation.end) {
    case attempt_end::answered:
        return observation.status >= 500 && !observation.refusedNotRun;
    case attempt_end::not_sent:
    case attempt_end::broken:
        return true;
    case attempt_end::timed_out:
        return toSeconds(observation.elapsed) >= timeoutFactor * expectedS;
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
    state(balancer_settings given, random_source &source, invariant_set &checks,
          counter_set &counts)
        : settings(std::move(given)), random(source),
          choices(mixBits(settings.gatewaySeed) ^ source.next()), invariants(checks),
          counters(counts), strategy(makeSelectionStrategy("expected_wait"))
    { }

    double rampShare(instant now, const worker_record &worker) const;
    usability classify(instant now, const selection_request &request, worker_index index);
    void collect(const selection_request &request, const group_record &group);
    void takeReport(instant now, worker_record &worker, const load_report &report);
    void readmitDue(instant now, group_record &group);
    void readmit(instant now, group_record &group, worker_record &worker);
    void tryEject(instant now, group_record &group, worker_record &worker);
    void startRamp(instant now, worker_record &worker) const;
    load_prediction meanPrediction(instant now, const worker_record &worker) const;
    nlohmann::json describe(instant now, const worker_record &worker) const;

    balancer_settings settings;
    random_source &random;
    /// Differs between gateways even if all random sources were seeded alike.
    random_source choices;
    invariant_set &invariants;
    counter_set &counters;
    std::unique_ptr<selection_strategy> strategy;
    shared_config config;
    worker_table table;
    drain_table drains;
    std::map<std::string, instant, std::less<>> leavingVms;
    probe_planner probes;
    /// Candidates of the choice in progress by usability; kept for their memory.
    std::vector<candidate> classes[usabilityClasses];
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
    state &own = *m_state;
    const bool first = own.config == nullptr;
    own.config = config;
    const std::string &selection = config->objects().limits.selection;
    std::unique_ptr<selection_strategy> strategy = makeSelectionStrategy(selection);
    if (strategy != nullptr)
        own.strategy = std::move(strategy);
    else
        own.counters.add("balancer_unknown_strategies_total");

    std::map<std::string, std::string, std::less<>> addresses;
    for (const worker_record &worker : own.table.workers()) {
        if (own.drains.contains(worker.name))
            addresses.emplace(worker.name, worker.address);
    }
    for (const worker_index index :
         own.table.applyConfig(now, *config, own.settings.failureDomain)) {
        worker_record &worker = own.table.at(index);
        worker.lastHeardAt = now;
        const auto before = addresses.find(worker.name);
        if (before != addresses.end() && before->second != worker.address)
            own.drains.replaced(worker.name, now);
        // A gateway that starts finds the workers warm; one that runs sees new workers start.
        if (!first)
            own.startRamp(now, worker);
    }
    for (worker_record &worker : own.table.workers()) {
        worker.draining = own.drains.contains(worker.name);
        worker.vmLeaving = own.leavingVms.contains(worker.vm);
    }
    for (const std::unique_ptr<group_record> &group : own.table.groups()) {
        // The members or the bound may have changed: counts anew and readmits those too many.
        const unsigned bound = static_cast<unsigned>(static_cast<double>(group->members.size())
                                                     * group->config.ejectionShareMax);
        group->ejectedCount = 0;
        group->nextReadmission = now;
        for (const worker_index member : group->members) {
            worker_record &worker = own.table.at(member);
            if (!worker.ejected.isEjected())
                continue;
            ++group->ejectedCount;
            if (group->ejectedCount > bound)
                own.readmit(now, *group, worker);
        }
    }
    own.probes.restart(now, own.table, own.random);
    own.counters.set("balancer_workers", static_cast<double>(config->objects().workers.size()));
}

std::optional<selected_worker> balancer::select(const selection_request &request)
{
    state &own = *m_state;
    group_record *group
        = request.group == nullptr ? nullptr : own.table.findGroup(request.group->name);
    if (group == nullptr || group->members.empty()) {
        own.counters.add("balancer_selections_total{result=\"no_worker\"}");
        return std::nullopt;
    }
    group->called = true;
    group->lastCallAt = request.now;
    own.readmitDue(request.now, *group);
    own.collect(request, *group);
    for (const std::vector<candidate> &candidates : own.classes) {
        if (candidates.empty())
            continue;
        const selection_context context {request.now, own.table, *group, own.settings.tuning,
                                         own.choices};
        const std::size_t chosen = own.strategy->choose(context, candidates);
        const worker_index index = candidates[chosen].worker;
        const worker_record &worker = own.table.at(index);
        const load_prediction prediction = own.meanPrediction(request.now, worker);
        group->chosenTimeS
            = group->chosenTimeS <= 0
                  ? prediction.timeS
                  : group->chosenTimeS + chosenWeight * (prediction.timeS - group->chosenTimeS);
        own.invariants.check("selected_worker_not_leaving",
                             worker.present && !worker.draining && !worker.vmLeaving, worker.name);
        return selected_worker {index, worker.name, worker.address, worker.connectionLimit,
                                duration(static_cast<std::int64_t>(prediction.timeS * 1e6))};
    }
    own.counters.add("balancer_selections_total{result=\"no_worker\"}");
    return std::nullopt;
}

void balancer::attemptStarted(instant now, worker_index worker)
{
    if (!m_state->table.contains(worker))
        return;
    worker_record &record = m_state->table.at(worker);
    record.load.attemptStarted(now, m_state->meanPrediction(now, record).baseS);
}

void balancer::attemptFinished(instant now, const attempt_observation &observation)
{
    state &own = *m_state;
    if (!own.table.contains(observation.worker))
        return;
    worker_record &worker = own.table.at(observation.worker);
    group_record &group = own.table.groupOf(worker);
    const bool failed = isFailure(observation, worker.roundTripS + group.estimate.serviceS());
    const bool served
        = observation.end == attempt_end::answered && !failed && !observation.refusedNotRun;
    const std::optional<double> ratio = worker.load.attemptEnded(
        now, observation.elapsed, served, group.estimate, own.settings.tuning);
    // The group of a worker that left the configuration may be another one by now.
    if (!worker.present)
        return;
    if (ratio)
        group.estimate.addRatio(*ratio);
    if (observation.load)
        own.takeReport(now, worker, *observation.load);
    if (observation.end == attempt_end::cancelled)
        return;

    // A refusal is cheap but the call has to go elsewhere: it weighs like a failure in the choice,
    // but is no sign that the worker is broken.
    const bool unserved = failed || observation.refusedNotRun;
    worker.load.addOutcome(now, unserved);
    group.estimate.addOutcome(unserved);
    if (observation.end == attempt_end::answered)
        worker.lastHeardAt = now;
    if (worker.ejected.addOutcome(failed))
        own.tryEject(now, group, worker);
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
    state &own = *m_state;
    if (own.leavingVms.size() >= leavingVmsMax && !own.leavingVms.contains(vm)) {
        own.counters.add("balancer_leaving_vms_refused_total");
        return;
    }
    own.leavingVms.insert_or_assign(vm, leaveAt);
    for (worker_record &worker : own.table.workers()) {
        if (worker.vm == vm)
            worker.vmLeaving = true;
    }
}

void balancer::clearVmLeaving(instant now, const std::string &vm)
{
    state &own = *m_state;
    if (own.leavingVms.erase(vm) == 0)
        return;
    for (worker_record &worker : own.table.workers()) {
        if (worker.vm != vm)
            continue;
        worker.vmLeaving = false;
        own.startRamp(now, worker);
    }
}

std::vector<worker_drain> balancer::recentDrains(instant now, std::size_t limit) const
{
    return m_state->drains.recent(now, limit);
}

void balancer::pauseDetected(instant now)
{
    state &own = *m_state;
    for (worker_record &worker : own.table.workers()) {
        worker.load.forget(now);
        // All buckets are full after a pause; without this all workers would be probed at once.
        worker.budget.limitTokens(now, own.random.uniform());
    }
    own.counters.add("balancer_pauses_total");
}

std::vector<probe_order> balancer::dueProbes(instant now)
{
    state &own = *m_state;
    std::vector<probe_order> out;
    for (const worker_index index : own.probes.due(now)) {
        worker_record &worker = own.table.at(index);
        if (!worker.present)
            continue;
        group_record &group = own.table.groupOf(worker);
        own.readmitDue(now, group);
        // A probe whose end was lost may not stop the measuring for good.
        if (worker.probing && now - worker.probeStartedAt >= own.settings.probeTimeout * 4)
            worker.probing = false;
        if (worker.budget.readyAt() > now || worker.probing
            || !probe_planner::isWorthProbe(now, worker, group, own.settings.tuning)) {
            own.probes.schedule(now + own.probes.checkInterval(), index);
            continue;
        }
        const std::optional<probe_order> order = checkWorker(now, index);
        if (order)
            out.push_back(*order);
        own.probes.schedule(now + own.probes.checkInterval(), index);
    }
    return out;
}

std::optional<probe_order> balancer::checkWorker(instant now, worker_index worker)
{
    state &own = *m_state;
    if (!own.table.contains(worker))
        return std::nullopt;
    worker_record &record = own.table.at(worker);
    if (!record.present || record.probing || !record.budget.tryStart(now))
        return std::nullopt;
    own.invariants.check("probe_rate_within_share", record.budget.withinShare(now), record.name);
    record.probing = true;
    record.probeStartedAt = now;
    own.counters.add("balancer_probes_total");
    return probe_order {worker, record.name, record.address, own.settings.probeTimeout};
}

void balancer::probeFinished(instant now, worker_index worker,
                             const std::optional<load_report> &load, std::uint32_t bytes)
{
    state &own = *m_state;
    if (!own.table.contains(worker))
        return;
    worker_record &record = own.table.at(worker);
    if (record.probing) {
        record.probing = false;
        record.budget.finish(bytes);
    }
    own.counters.add("balancer_probe_bytes_total", bytes);
    if (!record.present)
        return;
    if (load) {
        own.takeReport(now, record, *load);
        record.lastHeardAt = now;
        return;
    }
    own.counters.add("balancer_probe_failures_total");
    // Not reachable shortly before its return: stays out.
    if (record.ejected.isEjected()) {
        group_record &group = own.table.groupOf(record);
        record.ejected.eject(now, own.settings.ejectionTime);
        record.lastHeardAt = now;
        group.nextReadmission = std::min(group.nextReadmission, record.ejected.until());
    }
}

instant balancer::nextWake() const
{
    return m_state->probes.nextWake();
}

nlohmann::json balancer::dump(instant now) const
{
    const state &own = *m_state;
    nlohmann::json workers = nlohmann::json::array();
    std::size_t known = 0;
    for (const worker_record &worker : own.table.workers()) {
        if (!worker.present)
            continue;
        ++known;
        workers.push_back(own.describe(now, worker));
    }
    nlohmann::json groups = nlohmann::json::array();
    for (const std::unique_ptr<group_record> &group : own.table.groups()) {
        groups.push_back({{"name", group->config.name},
                          {"workers", group->members.size()},
                          {"ejected", group->ejectedCount},
                          {"service_time_us", group->estimate.serviceS() * 1e6},
                          {"mean_calls_at_worker", group->estimate.meanTotal()},
                          {"chosen_time_us", group->chosenTimeS * 1e6},
                          {"failure_share", group->estimate.failureShare()}});
    }
    nlohmann::json leaving = nlohmann::json::array();
    for (const std::pair<const std::string, instant> &entry : own.leavingVms) {
        nlohmann::json row = {{"vm", entry.first}};
        if (entry.second != instant::never())
            row["leaves_in_ms"] = toMilliseconds(entry.second - now);
        leaving.push_back(row);
    }
    return {{"strategy", std::string(own.strategy->name())},
            {"workers", workers},
            {"groups", groups},
            {"drains",
             {{"count", own.drains.size()},
              {"bound", drain_table::drainsMax},
              {"dropped", own.drains.dropped()}}},
            {"leaving_vms", leaving},
            {"bytes_per_worker", sizeof(worker_record)},
            {"records", own.table.workers().size()},
            {"known", known}};
}

nlohmann::json balancer::explain(instant now, const worker_group &group) const
{
    const state &own = *m_state;
    nlohmann::json rows = nlohmann::json::array();
    const group_record *record = own.table.findGroup(group.name);
    if (record == nullptr)
        return rows;
    for (const worker_index member : record->members) {
        const worker_record &worker = own.table.at(member);
        nlohmann::json row = own.describe(now, worker);
        row["score_us"]
            = expected_wait::score(own.meanPrediction(now, worker), record->estimate) * 1e6;
        rows.push_back(row);
    }
    return rows;
}

double balancer::state::rampShare(instant now, const worker_record &worker) const
{
    if (!worker.ramping)
        return 1;
    if (worker.cold || settings.slowStart <= duration(0))
        return worker.cold ? rampFloor : 1;
    const double progress = toSeconds(now - worker.rampFrom) / toSeconds(settings.slowStart);
    return std::clamp(rampFloor + (1 - rampFloor) * progress, rampFloor, 1.0);
}

usability balancer::state::classify(instant now, const selection_request &request,
                                    worker_index index)
{
    const worker_record &worker = table.at(index);
    if (!worker.present || worker.draining || worker.vmLeaving)
        return usability::unusable;
    if (std::find(request.excluded.begin(), request.excluded.end(), index)
        != request.excluded.end())
        return usability::unusable;
    if (worker.ejected.isEjected())
        return usability::ejected;
    if (worker.load.inFlight() >= worker.connectionLimit)
        return usability::reserve;
    if (worker.ramping) {
        const double share = rampShare(now, worker);
        if (share < 1 && choices.uniform() >= share)
            return usability::reserve;
    }
    return usability::preferred;
}

void balancer::state::collect(const selection_request &request, const group_record &group)
{
    for (std::vector<candidate> &list : classes)
        list.clear();
    const std::size_t size = group.members.size();
    if (size > wholeGroupMax) {
        std::vector<candidate> &preferred = classes[0];
        for (std::size_t i = 0; i < drawsMax && preferred.size() < drawnCandidates; ++i) {
            const std::size_t position
                = strategy->takesTurns() ? (group.cursor + i) % size : choices.below(size);
            const worker_index member = group.members[position];
            if (classify(request.now, request, member) == usability::preferred)
                preferred.push_back({member, position});
        }
        if (!preferred.empty())
            return;
    }
    for (std::size_t position = 0; position < size; ++position) {
        const worker_index member = group.members[position];
        const usability use = classify(request.now, request, member);
        if (use != usability::unusable)
            classes[static_cast<std::size_t>(use)].push_back({member, position});
    }
}

void balancer::state::takeReport(instant now, worker_record &worker, const load_report &report)
{
    worker.load.addReport(now, report, worker.roundTrip);
    if (report.slots > 0)
        worker.slots = report.slots;
    table.groupOf(worker).estimate.addTotal(report.running + report.queued);
    if (report.state == worker_state::draining) {
        if (drains.add(worker.name, now))
            counters.add("balancer_drains_total");
        worker.draining = drains.contains(worker.name);
        return;
    }
    if (worker.draining && drains.seenReady(worker.name, now)) {
        worker.draining = false;
        startRamp(now, worker);
    }
    if (report.state == worker_state::cold) {
        worker.cold = true;
        startRamp(now, worker);
    } else if (worker.cold) {
        worker.cold = false;
        startRamp(now, worker);
    } else if (worker.ramping && now - worker.rampFrom >= settings.slowStart) {
        worker.ramping = false;
    }
}

void balancer::state::readmitDue(instant now, group_record &group)
{
    if (group.ejectedCount == 0 || now < group.nextReadmission)
        return;
    group.nextReadmission = instant::never();
    for (const worker_index member : group.members) {
        worker_record &worker = table.at(member);
        if (!worker.ejected.isEjected())
            continue;
        if (worker.ejected.until() <= now)
            readmit(now, group, worker);
        else
            group.nextReadmission = std::min(group.nextReadmission, worker.ejected.until());
    }
}

void balancer::state::readmit(instant now, group_record &group, worker_record &worker)
{
    worker.ejected.readmit(now);
    --group.ejectedCount;
    startRamp(now, worker);
}

void balancer::state::tryEject(instant now, group_record &group, worker_record &worker)
{
    readmitDue(now, group);
    const double bound = group.config.ejectionShareMax * static_cast<double>(group.members.size());
    bool othersWork = false;
    for (const worker_index member : group.members) {
        const worker_record &other = table.at(member);
        othersWork = othersWork
                     || (&other != &worker && !other.draining && !other.ejected.isEjected()
                         && other.ejected.failuresInARow() < ejection::failuresMax);
    }
    if (!othersWork) {
        // All look bad, so the cause is more likely common to them than in each of them.
        for (const worker_index member : group.members) {
            worker_record &other = table.at(member);
            if (other.ejected.isEjected()) {
                readmit(now, group, other);
                other.ejected.keepSuspect();
            }
        }
        counters.add("balancer_ejections_total{result=\"all_bad\"}");
        return;
    }
    if (group.ejectedCount + 1 > bound) {
        counters.add("balancer_ejections_total{result=\"bound\"}");
        return;
    }
    group.nextReadmission
        = std::min(group.nextReadmission, worker.ejected.eject(now, settings.ejectionTime));
    ++group.ejectedCount;
    counters.add("balancer_ejections_total{result=\"ejected\"}");
    invariants.check("ejected_share_within_bound", group.ejectedCount <= bound, group.config.name);
}

void balancer::state::startRamp(instant now, worker_record &worker) const
{
    worker.ramping = true;
    worker.rampFrom = now;
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
                          {"expected_us", prediction.timeS * 1e6},
                          {"slowdown", prediction.slowdown},
                          {"estimated_calls", prediction.total},
                          {"estimate_spread", prediction.spread},
                          {"failure_excess", prediction.failureExcess},
                          {"share", rampShare(now, worker)},
                          {"draining", worker.draining},
                          {"vm_leaving", worker.vmLeaving},
                          {"ejected", worker.ejected.isEjected()},
                          {"connection_limit", worker.connectionLimit},
                          {"probes", worker.budget.started()},
                          {"unheard_ms", toMilliseconds(now - worker.lastHeardAt)}};
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
