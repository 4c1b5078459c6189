#include "decision/routing/requests/request_runner.h"

#include <algorithm>
#include <utility>

#include "core/mechanisms.h"
#include "decision/calls/call_record.h"
#include "decision/routing/requests/probe_rounds.h"

namespace almondnotch {

namespace {

/// A request is admitted or retried only if at least this much time is left until its deadline.
constexpr duration timeLeftMin = milliseconds(3);

bool isServerFailure(const shared_response &response)
{
    return response->status >= 500;
}

} // namespace

request_runner::request_runner(const routing_settings &settings,
                               request_runner_dependencies dependencies)
    : m_settings(settings), m_dependencies(dependencies),
      m_selector(dependencies.pool, dependencies.random, settings.peers.failureDomain),
      m_prober(settings, dependencies.pool, dependencies.counters),
      m_hedges(settings.hedges, dependencies.counters),
      m_failureLog(dependencies.pool, dependencies.counters)
{ }

std::optional<request_runner::failure_cause>
request_runner::admit(instant now, routed_request &record, route_table *table)
{
    if (m_requests.size() >= m_settings.bounds.inProgressMax)
        return failure_cause {503, "too-many-requests", "Too many requests in progress", "admit",
                              ""};
    if (table == nullptr)
        return failure_cause {503, "no-configuration", "No configuration is in force yet", "admit",
                              ""};
    record.route = table->find(record.request->host, record.request->target);
    if (record.route == nullptr)
        return failure_cause {404, "no-matching-route", "No route matches", "route",
                              record.request->host + " " + record.request->target};
    record.config = table->config();
    record.service = table->nextTarget(*record.route, m_dependencies.random).service;
    const duration allowed
        = std::min(record.request->timeout.value_or(record.route->timeout), record.route->timeout);
    record.deadline = now + allowed;
    record.objectiveAt = now + std::min(record.route->latencyObjective, allowed);
    if (record.deadline > m_latestEnd)
        return failure_cause {503, "gateway-leaving", "The gateway leaves", "admit", ""};
    if (allowed < timeLeftMin)
        return failure_cause {503, "no-time-left", "No time is left for the request", "admit", ""};
    if (isQuarantined(now, *record.request))
        return failure_cause {503, "request-quarantined", "The request crashed workers", "admit",
                              ""};
    return std::nullopt;
}

bool request_runner::isQuarantined(instant now, const call_request &request) const
{
    // The digest is computed only if crashes have been recorded.
    return m_dependencies.quarantine.hasCrashes() && isMechanismEnabled("routed_quarantine")
           && m_dependencies.quarantine.isQuarantined(now, digestOf(request));
}

void request_runner::callReceived(instant now, const call_received &input, route_table *table,
                                  action_list &actions)
{
    std::unique_ptr<routed_request> owned = std::make_unique<routed_request>();
    routed_request &record = *owned;
    record.call = input.call;
    record.request = input.request;
    record.arrivedAt = now;
    record.deadline = now + input.request->timeout.value_or(seconds(1));
    const std::optional<failure_cause> refused = admit(now, record, table);
    m_dependencies.counters.add("requests_total");
    if (!refused) {
        m_services[record.service].budget.requestArrived(m_settings.budgets.retryFraction,
                                                         retryTokensMax());
        m_hedges.requestArrived(record);
    }
    m_requests.emplace(input.call, std::move(owned));
    if (refused) {
        finishWithProblem(now, record, *refused, actions);
        return;
    }
    beginSelection(record, false);
    selectWorker(now, record, actions);
}

selection_criteria request_runner::selectionCriteria(instant now, const routed_request &record)
{
    selection_criteria out;
    out.service = record.service;
    out.serviceTime = m_serviceTimes.expected(*record.route);
    out.objective = record.route->latencyObjective;
    out.timeToObjective = std::max(record.objectiveAt - now, duration {0});
    out.timeToDeadline = record.deadline - now;
    out.excludedWorkers = record.triedWorkers();
    out.domains = m_domains.termsOf(now, record.service);
    out.homeShortage = m_domains.shortage(now, record.service, m_settings.peers.failureDomain);
    return out;
}

void request_runner::selectWorker(instant now, routed_request &record, action_list &actions)
{
    record.probeDeadline = instant::never();
    record.reselectAt = instant::never();
    record.awaitedWorkers.clear();
    selection_criteria criteria = selectionCriteria(now, record);
    const std::vector<scored_worker> ranked = m_selector.rank(now, criteria, m_gracePeriods);
    if (ranked.empty()) {
        handleNoWorker(now, record, "no worker of the service is usable", actions);
        return;
    }
    // Workers at home that are evacuated or gone are not probed, so the probes do not show that
    // there is no room.
    if (std::none_of(ranked.begin(), ranked.end(),
                     [](const scored_worker &candidate) { return candidate.isLocal; }))
        criteria.homeShortage = 1;
    const auto first = std::find_if(ranked.begin(), ranked.end(),
                                    [this, now, &record](const scored_worker &rankedWorker) {
                                        return accepts(now, record, rankedWorker);
                                    });
    const bool hasAcceptable = first != ranked.end();
    const bool mayCross
        = record.probeRounds >= localProbeRounds || (criteria.homeShortage > 0 && !record.isHedge);
    if (hasAcceptable && (first->isLocal || mayCross)) {
        startAttempt(now, record, *first, actions);
        return;
    }
    if (probeCandidates(now, record, criteria, ranked, actions)) {
        scheduleTimer(record);
        return;
    }
    if (hasAcceptable) {
        startAttempt(now, record, *first, actions);
        return;
    }
    if (record.isHedge) {
        record.hedgeRefusal = hedge_refusal::no_worker;
        endSelection(record);
        scheduleTimer(record);
        return;
    }
    deferOrFallBack(now, record, ranked.front(), actions);
}

bool request_runner::accepts(instant now, const routed_request &record, const scored_worker &worker)
{
    if (!record.isHedge)
        return worker.isAcceptable();
    const duration serviceTime = m_serviceTimes.expected(*record.route);
    return hedge_policy::isTarget(now, record, serviceTime, worker);
}

/// Called if no worker is acceptable: does with the request what `judgeHeldRequest` says.
/// \param best the worker with the lowest cost.
void request_runner::deferOrFallBack(instant now, routed_request &record, const scored_worker &best,
                                     action_list &actions)
{
    switch (judgeHeldRequest(now, heldRequest(record), best, serviceRoom(now, record))) {
    case overload_verdict::send:
        startAttempt(now, record, best, actions);
        return;
    case overload_verdict::hold:
        record.wasDeferred = true;
        retrySelectionLater(now, record);
        return;
    case overload_verdict::refuse_queue_too_long:
        failSelection(now, record, "more requests wait than can be served in time", actions);
        return;
    case overload_verdict::refuse_no_room:
        failSelection(now, record, "no worker can answer in time", actions);
        return;
    }
}

/// Until the selection is retried, free slots become known through the responses to other requests.
/// The retry starts with the first probe round again.
void request_runner::retrySelectionLater(instant now, routed_request &record)
{
    record.reselectAt = now + holdInterval;
    record.probeRounds = 0;
    scheduleTimer(record);
}

held_request request_runner::heldRequest(const routed_request &record)
{
    return {record.arrivedAt, record.objectiveAt, record.deadline,
            m_serviceTimes.expected(*record.route), record.wasDeferred};
}

service_room request_runner::serviceRoom(instant now, const routed_request &record)
{
    return {countPendingAhead(record), m_services[record.service].attemptRate.perSecond(now),
            m_dependencies.pool.usableFraction(record.service),
            m_dependencies.pool.saturation().factor()};
}

/// Number of pending requests of the service that take precedence over this request.
std::size_t request_runner::countPendingAhead(const routed_request &record) const
{
    const auto found = m_pendingRequests.find(record.service);
    if (found == m_pendingRequests.end())
        return 0;
    const pending_request self {record.route->priority, record.deadline, record.call};
    return static_cast<std::size_t>(
        std::distance(found->second.begin(), found->second.lower_bound(self)));
}

void request_runner::beginSelection(routed_request &record, bool isHedge)
{
    record.isSelecting = true;
    record.isHedge = isHedge;
    record.wasDeferred = false;
    record.probeRounds = 0;
    m_pendingRequests[record.service].insert(
        pending_request {record.route->priority, record.deadline, record.call});
}

void request_runner::endSelection(routed_request &record)
{
    if (!record.isSelecting)
        return;
    record.isSelecting = false;
    record.isHedge = false;
    record.probeDeadline = instant::never();
    record.reselectAt = instant::never();
    record.awaitedWorkers.clear();
    m_pendingRequests[record.service].erase(
        pending_request {record.route->priority, record.deadline, record.call});
}

/// Called when a load report of a worker has arrived or a probe of it has failed. Each pending
/// request of its service, the most urgent first, is sent to the worker if the worker is acceptable
/// for it. A request that is not sent and that awaited only this worker's probe continues its
/// selection.
void request_runner::reconsiderPendingRequests(instant now, worker_index worker,
                                               action_list &actions)
{
    const auto found = m_pendingRequests.find(m_dependencies.pool.at(worker).entry.service);
    if (found == m_pendingRequests.end())
        return;
    // The loop runs over a copy, since `startAttempt` and `selectWorker` modify the set.
    const std::vector<pending_request> pending(found->second.begin(), found->second.end());
    for (const pending_request &pendingRequest : pending) {
        routed_request *record = find(pendingRequest.call);
        if (record == nullptr || !record->isSelecting)
            continue;
        const bool wasAwaitingProbe = record->awaitedWorkers.erase(worker) > 0;
        const selection_criteria criteria = selectionCriteria(now, *record);
        const std::optional<scored_worker> offered
            = m_selector.assess(now, criteria, worker, m_gracePeriods);
        const bool mayUse = offered
                            && (offered->isLocal || wasAwaitingProbe
                                || (criteria.homeShortage > 0 && !record->isHedge));
        const bool isTaken = mayUse && accepts(now, *record, *offered);
        if (isTaken)
            startAttempt(now, *record, *offered, actions);
        else if (wasAwaitingProbe && record->awaitedWorkers.empty())
            selectWorker(now, *record, actions);
    }
}

bool request_runner::probeCandidates(instant now, routed_request &record,
                                     const selection_criteria &criteria,
                                     const std::vector<scored_worker> &ranked, action_list &actions)
{
    const auto spec = record.config->services.find(record.service);
    const std::string path = spec == record.config->services.end() ? "/" : spec->second.healthPath;
    while (const std::optional<probe_round> round
           = beginProbeRound(now, record, criteria, ranked)) {
        for (const worker_index worker : round->workers) {
            if (!m_prober.ensureProbed(now, worker, path, actions))
                break;
            record.awaitedWorkers.insert(worker);
        }
        if (!record.awaitedWorkers.empty()) {
            record.probeDeadline = now + round->wait;
            if (criteria.homeShortage > 0)
                m_dependencies.counters.add("probe_rounds_short_total");
            return true;
        }
    }
    return false;
}

/// Called if no worker is usable: retries the selection for a short time unless the request may
/// already have been executed, then fails the selection.
void request_runner::handleNoWorker(instant now, routed_request &record, std::string_view reason,
                                    action_list &actions)
{
    const std::optional<instant> pauseEnd
        = m_selector.firstPauseEnd(now, selectionCriteria(now, record));
    record.retryNotBefore = pauseEnd.value_or(instant());
    const bool isUntouched = !record.isHedge && record.runningAttempts() == 0
                             && !record.failureResponse && !record.mayHaveRun();
    if (isUntouched
        && mayAwaitUsableWorker(now, heldRequest(record), record.route->latencyObjective,
                                record.retryNotBefore)) {
        retrySelectionLater(now, record);
        return;
    }
    failSelection(now, record, reason, actions);
}

/// Ends the selection, and ends the request as well unless an attempt is in flight.
void request_runner::failSelection(instant now, routed_request &record, std::string_view reason,
                                   action_list &actions)
{
    if (record.runningAttempts() > 0) {
        record.hedgeRefusal = hedge_refusal::no_worker;
        endSelection(record);
        scheduleTimer(record);
        return;
    }
    if (record.failureResponse) {
        finish(now, record, record.failureResponse, actions);
        return;
    }
    finishWithProblem(now, record,
                      {record.mayHaveRun() ? 502 : 503, "no-worker-available",
                       "No worker is available", "place", std::string(reason)},
                      actions);
}

/// Number of connections that this gateway may have to a worker of the request's service.
unsigned request_runner::connectionShare(const routed_request &record) const
{
    const auto spec = record.config->services.find(record.service);
    const unsigned total = spec == record.config->services.end() ? 1 : spec->second.connectionsMax;
    return std::max(1U, total / std::max(1U, m_gatewayCount));
}

void request_runner::startAttempt(instant now, routed_request &record, const scored_worker &chosen,
                                  action_list &actions)
{
    const pooled_worker &worker = m_dependencies.pool.at(chosen.worker);
    const attempt_id id {m_nextAttempt++};
    m_dependencies.invariants.check("at_most_once_sent_once",
                                    record.isIdempotent() || !record.mayHaveRun(),
                                    record.request->requestId);
    const bool isHedge = record.isHedge;
    endSelection(record);
    // Other requests may have used up the limits while workers were probed for this one.
    if (isHedge && !m_hedges.take(record, m_services[record.service].budget)) {
        scheduleTimer(record);
        return;
    }
    m_services[record.service].attemptRate.count(now);
    record.attempts.push_back({id, chosen.worker, now,
                               chosen.hasFreshReport ? worker.report.slowdownPercent : 0,
                               chosen.isNearSaturation, std::nullopt, false, isHedge});
    m_attempts.emplace(id, std::pair(record.call, chosen.worker));
    m_dependencies.pool.attemptStarted(now, chosen.worker);
    start_attempt command;
    command.attempt = id;
    command.request = record.request;
    command.workerAddress = worker.entry.address;
    command.workerName = worker.entry.name;
    command.timeLimit = record.deadline - now;
    command.attemptNumber = static_cast<unsigned>(record.attempts.size()) - 1;
    command.idempotent = record.isIdempotent();
    command.connectionLimit = connectionShare(record);
    command.freshConnection = !record.isIdempotent();
    m_dependencies.counters.add("attempts_total");
    if (!chosen.isLocal)
        m_dependencies.counters.add("requests_crossed_total");
    actions.push_back(std::move(command));
    record.hedgeAt = m_hedges.dueAt(now, record, m_serviceTimes.expected(*record.route));
    scheduleTimer(record);
}

void request_runner::attemptFinished(instant now, const attempt_finished &input,
                                     action_list &actions)
{
    const auto found = m_attempts.find(input.attempt);
    if (found == m_attempts.end()) {
        m_dependencies.invariants.check("attempt_ends_once", false);
        return;
    }
    const std::pair<call_id, worker_index> ended = found->second;
    m_attempts.erase(found);
    routed_request *record = find(ended.first);
    recordOutcome(now, record, ended.second, input, actions);
    if (record != nullptr)
        handleAttemptResult(now, *record, input, actions);
    if (input.load)
        reconsiderPendingRequests(now, ended.second, actions);
}

void request_runner::handleAttemptResult(instant now, routed_request &record,
                                         const attempt_finished &input, action_list &actions)
{
    const auto attempt = std::find_if(
        record.attempts.begin(), record.attempts.end(),
        [&input](const routed_attempt &row) { return row.attempt == input.attempt; });
    attempt->end = input.end;
    attempt->rejectedBeforeRun = input.rejectedBeforeRun;
    const bool isAnswer = input.end == attempt_end::answered && !input.rejectedBeforeRun;
    if (isAnswer && !isServerFailure(input.response)) {
        m_serviceTimes.record(now, *record.route, *attempt, m_dependencies.pool);
        m_hedges.attemptAnswered(now, record, *attempt);
        record.answeredBy = attempt->attempt;
        finish(now, record, input.response, actions);
        return;
    }
    if (isAnswer)
        record.failureResponse = input.response;
    attemptFailed(now, record, input, actions);
}

/// Updates the pool and the quarantine with the result of an attempt.
void request_runner::recordOutcome(instant now, const routed_request *record, worker_index worker,
                                   const attempt_finished &input, action_list &actions)
{
    m_dependencies.pool.attemptFinished(now, worker, input);
    const std::string &name = m_dependencies.pool.at(worker).entry.name;
    if (input.end == attempt_end::answered)
        m_dependencies.quarantine.workerAnswered(name);
    else if (input.end == attempt_end::not_sent && !input.wasWithdrawn)
        m_dependencies.quarantine.workerUnreachable(now, name);
    if (input.end != attempt_end::broken || record == nullptr)
        return;
    m_dependencies.quarantine.connectionBroke(now, digestOf(*record->request), name);
    // Distinguishes a crash from a lost connection.
    m_prober.tryProbe(now, worker, *record->config, actions);
}

bool request_runner::tryAcquireRetry(instant now, const routed_request &record,
                                     const attempt_finished &input)
{
    if (record.deadline - now < timeLeftMin || record.attempts.size() >= transmissionsMax)
        return false;
    if (input.end == attempt_end::not_sent)
        return true;
    const bool didNotRun = input.end == attempt_end::answered && input.rejectedBeforeRun;
    if (!didNotRun && !record.isIdempotent() && isMechanismEnabled("routed_at_most_once"))
        return false;
    if (record.possiblyRunAttempts() >= record.route->attemptsMax)
        return false;
    if (isQuarantined(now, *record.request))
        return false;
    if (m_services[record.service].budget.take() || !isMechanismEnabled("routed_retry_budget")) {
        m_dependencies.counters.add("retries_total");
        return true;
    }
    m_dependencies.counters.add("retries_denied_total");
    return false;
}

void request_runner::attemptFailed(instant now, routed_request &record,
                                   const attempt_finished &input, action_list &actions)
{
    if (record.runningAttempts() > 0) {
        // The other copy may still be answered. If this one did not run, it may be replaced.
        if (record.hedgeAt == instant::never()) {
            record.hedgeAt = m_hedges.dueAt(now, record, m_serviceTimes.expected(*record.route));
            scheduleTimer(record);
        }
        return;
    }
    if (tryAcquireRetry(now, record, input)) {
        record.hedgeAt = instant::never();
        // A hedge may have put probes of other failure domains off for longer.
        record.remoteProbesAllowedAt
            = std::min<instant>(record.remoteProbesAllowedAt, now + remoteProbeInterval);
        beginSelection(record, false);
        selectWorker(now, record, actions);
        return;
    }
    if (record.failureResponse) {
        finish(now, record, record.failureResponse, actions);
        return;
    }
    if (!record.mayHaveRun()) {
        finishWithProblem(now, record,
                          {503, "worker-refused", "The worker refused the request",
                           "await response", input.detail},
                          actions);
        return;
    }
    const bool isLate = input.end == attempt_end::timed_out || now >= record.deadline;
    finishWithProblem(now, record,
                      {isLate ? 504 : 502, isLate ? "deadline-passed" : "response-incomplete",
                       isLate ? "Deadline passed" : "The worker gave no whole response",
                       "await response", input.detail},
                      actions);
}

void request_runner::probeFinished(instant now, const probe_finished &input, action_list &actions)
{
    const std::optional<ended_probe> probed = m_prober.probeFinished(input.probe);
    if (!probed) {
        m_dependencies.invariants.check("probe_ends_once", false);
        return;
    }
    const worker_index worker = probed->worker;
    m_dependencies.pool.probeFinished(now, worker, input);
    m_domains.probeEnded(now, m_dependencies.pool.at(worker), probed->startedAt,
                         input.load.has_value());
    const std::string name = m_dependencies.pool.at(worker).entry.name;
    if (input.load)
        m_dependencies.quarantine.workerAnswered(name);
    else
        m_dependencies.quarantine.workerUnreachable(now, name);
    reconsiderPendingRequests(now, worker, actions);
}

void request_runner::callerDisconnected(instant now, const caller_disconnected &input,
                                        action_list &actions)
{
    routed_request *record = find(input.call);
    if (record == nullptr)
        return;
    m_dependencies.counters.add("callers_disconnected_total");
    for (const routed_attempt &attempt : record->attempts) {
        if (!attempt.end)
            actions.push_back(cancel_attempt {attempt.attempt});
    }
    endSelection(*record);
    m_hedges.requestEnded(now, *record);
    m_requests.erase(input.call);
}

void request_runner::timerExpired(instant now, action_list &actions)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const call_id call = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        routed_request *record = find(call);
        if (record == nullptr || record->nextTimer() > now)
            continue;
        if (now >= record->deadline) {
            finishWithProblem(now, *record,
                              {record->mayHaveRun() ? 504 : 503, "deadline-passed",
                               "Deadline passed", "await response", ""},
                              actions);
        } else if (record->isSelecting) {
            selectWorker(now, *record, actions);
        } else if (now >= record->hedgeAt) {
            tryHedge(now, *record, actions);
        } else {
            scheduleTimer(*record);
        }
    }
}

/// Maximum number of retry tokens that this gateway may accumulate for a service.
double request_runner::retryTokensMax() const
{
    return std::max(1.0, budgetSafetyFactor * m_settings.budgets.retryBurst / m_gatewayCount);
}

void request_runner::tryHedge(instant now, routed_request &record, action_list &actions)
{
    const hedge_conditions conditions = hedgeConditions(now, record);
    record.hedgeAt = hedge_policy::nextTryAt(now, record, conditions.serviceTime);
    record.hedgeRefusal
        = m_hedges.refusal(now, record, conditions, m_services[record.service].budget);
    if (record.runningAttempts() == 0 || record.hedgeRefusal != hedge_refusal::none) {
        scheduleTimer(record);
        return;
    }
    const instant latest = hedge_policy::latestAt(record, conditions.serviceTime);
    // Workers are probed only at the first try and at the first one in which other failure domains
    // count; further tries rely on reports that other requests obtained.
    const bool mayProbe
        = record.hedgeProbedAt == instant() || (record.hedgeProbedAt < latest && now >= latest);
    beginSelection(record, true);
    record.probeRounds = mayProbe ? 0 : probeRoundPlan.size();
    if (mayProbe)
        record.hedgeProbedAt = now;
    record.remoteProbesAllowedAt = std::max(record.remoteProbesAllowedAt, latest);
    selectWorker(now, record, actions);
}

hedge_conditions request_runner::hedgeConditions(instant now, const routed_request &record)
{
    hedge_conditions out;
    out.serviceTime = m_serviceTimes.expected(*record.route);
    out.isShortOfRoom = isShortOfRoom(record);
    out.isQuarantined = isQuarantined(now, *record.request);
    out.drainEnd = m_latestEnd;
    out.retryTokensMax = retryTokensMax();
    return out;
}

/// True if another request of the service waits because no worker is acceptable, or if hardly any
/// worker of the service can be used.
bool request_runner::isShortOfRoom(const routed_request &record) const
{
    if (m_dependencies.pool.usableFraction(record.service) < usableFractionMin)
        return true;
    const auto pending = m_pendingRequests.find(record.service);
    return pending != m_pendingRequests.end()
           && std::any_of(pending->second.begin(), pending->second.end(),
                          [this](const pending_request &waiting) {
                              const auto found = m_requests.find(waiting.call);
                              return found != m_requests.end() && found->second->wasDeferred;
                          });
}

void request_runner::withdrawUnsent(const std::string &worker, action_list &actions) const
{
    for (const std::pair<const attempt_id, std::pair<call_id, worker_index>> &started :
         m_attempts) {
        if (m_dependencies.pool.at(started.second.second).entry.name == worker)
            actions.push_back(withdraw_attempt {started.first});
    }
}

shared_request request_runner::requestOf(attempt_id attempt) const
{
    const auto started = m_attempts.find(attempt);
    const auto found
        = started == m_attempts.end() ? m_requests.end() : m_requests.find(started->second.first);
    return found == m_requests.end() ? nullptr : found->second->request;
}

void request_runner::terminateAll(instant now, action_list &actions)
{
    while (!m_requests.empty()) {
        routed_request &record = *m_requests.begin()->second;
        finishWithProblem(now, record,
                          {record.mayHaveRun() ? 502 : 503, "gateway-leaving",
                           "The gateway left before the request ended", "leave", ""},
                          actions);
    }
}

void request_runner::finishWithProblem(instant now, routed_request &record,
                                       const failure_cause &cause, action_list &actions)
{
    m_dependencies.counters.add("requests_ended_total{reason=\"" + std::string(cause.type) + "\"}");
    problem details;
    details.status = cause.status;
    details.type = std::string(cause.type);
    details.title = std::string(cause.title);
    details.outcome = record.mayHaveRun() ? call_outcome::unknown : call_outcome::not_run;
    details.step = std::string(cause.step);
    details.detail = cause.detail;
    details.requestId = record.request->requestId;
    if (cause.status == 503) {
        m_dependencies.invariants.check("not_run_was_not_sent", !record.mayHaveRun(),
                                        record.request->requestId);
        details.retryAfter = returnDelay(now, record);
    }
    finish(now, record, makeProblemResponse(details), actions);
}

/// When the caller of a refused request is told to return.
duration request_runner::returnDelay(instant now, const routed_request &record)
{
    if (record.route == nullptr)
        return returnDelayMin;
    refusal cause;
    cause.usableAt = record.retryNotBefore;
    cause.wasTurnedAway = !record.attempts.empty() && record.attempts.back().rejectedBeforeRun
                          && hasRoom(m_dependencies.pool.at(record.attempts.back().worker).report);
    return m_services[record.service].returns.place(now, heldRequest(record),
                                                    serviceRoom(now, record), cause);
}

void request_runner::finish(instant now, routed_request &record,
                            const shared_response &finalResponse, action_list &actions)
{
    // The copy is needed because `finalResponse` may belong to `record`, which is erased below.
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    const shared_response response = finalResponse;
    for (const routed_attempt &attempt : record.attempts) {
        if (!attempt.end)
            actions.push_back(cancel_attempt {attempt.attempt});
    }
    endSelection(record);
    if (record.route != nullptr)
        m_hedges.requestEnded(now, record);
    m_dependencies.counters.add("responses_total{class=\"" + std::to_string(response->status / 100)
                                + "xx\"}");
    const duration expected
        = record.route == nullptr ? duration {0} : m_serviceTimes.expected(*record.route);
    m_failureLog.write(now, record, *response, m_services[record.service].budget.tokens(), expected,
                       actions);
    actions.push_back(send_response {record.call, response, m_closeConnections});
    m_requests.erase(record.call); // Destroys `record`.
}

void request_runner::scheduleTimer(routed_request &record)
{
    m_timers.emplace(record.nextTimer(), record.call);
}

routed_request *request_runner::find(call_id call)
{
    const auto found = m_requests.find(call);
    return found == m_requests.end() ? nullptr : found->second.get();
}

instant request_runner::nextWake() const
{
    return m_timers.empty() ? instant::never() : m_timers.begin()->first;
}

nlohmann::json request_runner::dump(instant now) const
{
    /// Maximum number of requests in progress that a dump lists.
    constexpr std::size_t rowsMax = 100;
    nlohmann::json rows = nlohmann::json::array();
    for (const std::pair<const call_id, std::unique_ptr<routed_request>> &entry : m_requests) {
        if (rows.size() >= rowsMax)
            break;
        const routed_request &record = *entry.second;
        rows.push_back({{"request_id", record.request->requestId},
                        {"service", record.service},
                        {"placing", record.isSelecting},
                        {"attempts", record.attempts.size()},
                        {"age_ms", toMilliseconds(now - record.arrivedAt)},
                        {"time_left_ms", toMilliseconds(record.deadline - now)}});
    }
    nlohmann::json services = nlohmann::json::object();
    for (const std::pair<const std::string, service_state> &entry : m_services)
        services[entry.first] = {{"retry_tokens", entry.second.budget.tokens()},
                                 {"sent_per_second", entry.second.attemptRate.perSecond(now)}};
    return {{"crowding_factor", m_dependencies.pool.saturation().factor()},
            {"in_progress", m_requests.size()},
            {"attempts_in_flight", m_attempts.size()},
            {"probes_in_flight", m_prober.inFlight()},
            {"failure_domains", m_domains.dump(now)},
            {"gateways", m_gatewayCount},
            {"requests", rows},
            {"routes", m_serviceTimes.dump()},
            {"hedges", m_hedges.dump()},
            {"services", services}};
}

} // namespace almondnotch
