#include "decision/calls/call_runner.h"

#include <algorithm>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// A hedge starts when a call takes longer than this quantile of the recent latencies.
constexpr double hedgeQuantile = 0.95;

/// Number of attempts with a broken connection after which a call is no longer retried. If its
/// request crashes workers, one call thus crashes at most two of them.
constexpr unsigned brokenAttemptsMax = 2;

bool isRetryableServerError(const shared_response &response)
{
    return response->status >= 500 && response->status != 501;
}

/// True for a non-idempotent call that has an idempotency key but holds no claim on it: the owner
/// of the key may be executing another copy of the call.
bool mayRunAtKeyOwner(const call_record &record)
{
    const bool idempotent
        = record.matchedRoute.rule != nullptr && record.matchedRoute.rule->idempotent;
    return !record.request->idempotencyKey.empty() && !record.claimed && !idempotent
           && isMechanismEnabled("owner_decides");
}

} // namespace

call_runner::call_runner(call_settings settings, call_runner_dependencies dependencies)
    : m_settings(settings), m_dependencies(dependencies)
{ }

void call_runner::callReceived(instant now, const call_received &input, const shared_config &config,
                               action_list &actions)
{
    call_record record;
    record.call = input.call;
    record.request = input.request;
    admit(now, std::move(record), config, actions);
}

void call_runner::forwardedCallReceived(instant now, const process_id &from,
                                        const forwarded_call &input, const shared_config &config,
                                        action_list &actions)
{
    std::shared_ptr<call_request> request = std::make_shared<call_request>(*input.request);
    request->timeout = input.timeLeft;
    call_record record;
    record.call = static_cast<call_id>(m_nextForwardedCall++);
    record.request = std::move(request);
    record.origin = forward_origin {from, input.forwardId, input.replyAddress};
    m_dependencies.counters.add("forwarded_calls_received_total");
    admit(now, std::move(record), config, actions);
}

std::optional<call_runner::call_failure> call_runner::routeCall(instant now, call_record &record,
                                                                const shared_config &config) const
{
    if (m_calls.size() >= m_settings.inProgressMax)
        return call_failure {503,
                             "too-many-calls",
                             "Too many calls in progress",
                             "admit",
                             "",
                             "at most " + std::to_string(m_settings.inProgressMax)
                                 + " calls in progress are accepted",
                             seconds(1)};
    if (!config)
        return call_failure {
            503, "no-configuration", "No configuration is in force yet", "admit", "",
            "",  seconds(1)};
    if (record.request->depth >= callDepthMax)
        return call_failure {508,
                             "call-too-deep",
                             "Chain of calls is too deep",
                             "admit",
                             "",
                             "a chain of calls may have at most " + std::to_string(callDepthMax)
                                 + " hops",
                             std::nullopt};
    const std::optional<route> matchedRoute
        = config->findRoute(record.request->method, record.request->target);
    if (!matchedRoute)
        return call_failure {404,
                             "no-matching-rule",
                             "No routing rule matches",
                             "route",
                             "",
                             record.request->method + " " + record.request->target,
                             std::nullopt};
    record.config = config;
    record.matchedRoute = *matchedRoute;
    const duration requestedTimeout
        = record.request->timeout.value_or(matchedRoute->service->timeout);
    record.deadline = now + std::min(requestedTimeout, m_settings.timeoutMax);
    return std::nullopt;
}

void call_runner::admit(instant now, call_record incoming, const shared_config &config,
                        action_list &actions)
{
    m_dependencies.counters.add("calls_total");
    incoming.arrivedAt = now;
    const std::optional<call_failure> refused = routeCall(now, incoming, config);
    if (refused) {
        m_dependencies.counters.add("calls_refused_total{reason=\"" + std::string(refused->type)
                                    + "\"}");
        failCall(now, incoming, *refused, actions);
        return;
    }

    const call_id call = incoming.call;
    call_record &record
        = *m_calls.emplace(call, std::make_unique<call_record>(std::move(incoming))).first->second;
    m_dependencies.invariants.check("calls_within_bound",
                                    m_calls.size() <= m_settings.inProgressMax);
    m_timers.emplace(record.deadline, record.call);

    const bool keyed
        = !record.matchedRoute.rule->idempotent && !record.request->idempotencyKey.empty();
    if (keyed && !claimKey(now, record, actions))
        return;
    if (m_dependencies.quarantine.hasCrashes()
        && m_dependencies.quarantine.isQuarantined(now, digestOf(*record.request))) {
        m_dependencies.counters.add("calls_refused_total{reason=\"quarantined\"}");
        failCall(now, record,
                 {422, "request-quarantined", "Request is quarantined", "admit", "",
                  "the request crashed two workers and is rejected for a limited time",
                  std::nullopt},
                 actions);
        return;
    }
    service_state &service = serviceStateOf(record);
    service.retryBudget.addFirstAttempt(record.matchedRoute.service->retryBudget);
    service.hedgeBudget.addFirstAttempt(record.matchedRoute.service->hedgeBudget);
    if (startAttempt(now, record, actions))
        planHedge(now, record);
}

bool call_runner::claimKey(instant now, call_record &record, action_list &actions)
{
    const claim_result claimResult = m_dependencies.claims.beginOperation(
        now, *record.request, digestOf(*record.request), record.call);
    switch (claimResult.verdict) {
    case claim_verdict::execute:
        record.claimed = true;
        return true;
    case claim_verdict::wait:
        record.stage = call_stage::waiting;
        return false;
    case claim_verdict::replay:
    case claim_verdict::reject:
        completeCall(now, record, claimResult.response, actions);
        return false;
    case claim_verdict::forward:
        forward(now, record, claimResult.owner, actions);
        return false;
    }
    return false;
}

void call_runner::forward(instant now, call_record &record, const process_id &owner,
                          action_list &actions)
{
    record.stage = call_stage::forwarded;
    const std::optional<std::string> address = m_dependencies.directory.peerAddress(owner);
    if (!address) {
        m_dependencies.counters.add("forwards_without_owner_total");
        failCall(now, record,
                 {502, "key-owner-gone", "Owner of the idempotency key is gone", "forward",
                  toString(owner), "the owner may have run the operation; it is not run again",
                  std::nullopt},
                 actions);
        return;
    }
    if (record.origin && !m_dependencies.claims.isSealed()) {
        // A call that was forwarded to this process is forwarded again only if this process has
        // sealed its claim table, that is, if it is handing over or has handed over its claims.
        failCall(now, record,
                 {502, "key-owner-moved", "Forwarded to a process that does not own the key",
                  "forward", toString(owner), "", std::nullopt},
                 actions);
        return;
    }
    record.outgoingForwardId = m_nextForward++;
    m_forwards.emplace(record.outgoingForwardId, record.call);
    m_dependencies.counters.add("forwards_total");
    actions.push_back(
        send_peer_message {*address, record.outgoingForwardId,
                           forwarded_call {record.outgoingForwardId, record.request,
                                           record.deadline - now - m_settings.responseReserve,
                                           m_dependencies.directory.ownPeerAddress()}});
}

void call_runner::forwardFailed(instant now, std::uint64_t forwardId, action_list &actions)
{
    const auto found = m_forwards.find(forwardId);
    call_record *record = found == m_forwards.end() ? nullptr : find(found->second);
    if (record == nullptr)
        return;
    m_dependencies.counters.add("forwards_failed_total");
    failCall(now, *record,
             {502, "key-owner-unreachable", "Owner of the idempotency key is unreachable",
              "forward", "", "the owner may have run the operation; it is not run again",
              seconds(1)},
             actions);
}

void call_runner::forwardedResponseReceived(instant now, const forwarded_response &input,
                                            action_list &actions)
{
    const auto found = m_forwards.find(input.forwardId);
    if (found == m_forwards.end()) {
        m_dependencies.counters.add("forwarded_responses_late_total");
        return;
    }
    call_record *record = find(found->second);
    if (record == nullptr || !input.response)
        return;
    completeCall(now, *record, input.response, actions);
}

bool call_runner::startAttempt(instant now, call_record &record, action_list &actions)
{
    const duration timeLeft = record.deadline - now - m_settings.responseReserve;
    if (timeLeft <= duration {0} && isMechanismEnabled("deadline_check")) {
        failCall(now, record,
                 {504, "deadline-passed", "Deadline passed", "start attempt", "",
                  "no time is left to send the call", std::nullopt},
                 actions);
        return false;
    }
    const std::optional<selected_worker> selected = m_dependencies.loadBalancer.select(
        {record.matchedRoute.group, record.triedWorkers(), timeLeft, now});
    if (!selected) {
        failCall(now, record,
                 {503, "no-worker-available", "No worker is available", "select worker",
                  record.matchedRoute.group->name,
                  std::to_string(record.attempts.size()) + " workers were tried", seconds(1)},
                 actions);
        return false;
    }
    attempt_record attempt;
    attempt.attempt = static_cast<attempt_id>(m_nextAttempt++);
    attempt.worker = selected->worker;
    attempt.workerName = selected->name;
    attempt.startedAt = now;
    m_attempts.emplace(attempt.attempt,
                       running_attempt {record.call, selected->worker, selected->name,
                                        record.matchedRoute.service->name, now, record.request});
    m_dependencies.loadBalancer.attemptStarted(now, selected->worker);
    m_dependencies.counters.add("attempts_total");
    m_dependencies.invariants.check("no_attempt_after_deadline", now < record.deadline,
                                    record.request->requestId);
    m_dependencies.invariants.check("non_idempotent_sent_once",
                                    record.matchedRoute.rule->idempotent || !record.mayHaveRun(),
                                    record.request->requestId);
    start_attempt startAction;
    startAction.attempt = attempt.attempt;
    startAction.request = record.request;
    startAction.workerAddress = selected->address;
    startAction.workerName = selected->name;
    startAction.timeLimit = timeLeft;
    startAction.attemptNumber
        = record.request->priorRetries + static_cast<unsigned>(record.attempts.size());
    startAction.idempotent = record.matchedRoute.rule->idempotent;
    startAction.connectionLimit = selected->connectionLimit;
    actions.push_back(std::move(startAction));
    record.attempts.push_back(std::move(attempt));
    return true;
}

void call_runner::planHedge(instant now, call_record &record)
{
    // Only the first hop of a chain of calls hedges, for the same reason as in `tryAcquireRetry`.
    if (!record.matchedRoute.rule->idempotent || record.request->depth > 0
        || record.matchedRoute.service->hedgeBudget <= 0)
        return;
    const duration delay = serviceStateOf(record).latency.quantile(hedgeQuantile);
    if (delay <= duration {0} || now + delay >= record.deadline)
        return;
    record.hedgeAt = now + delay;
    m_timers.emplace(record.hedgeAt, record.call);
}

void call_runner::hedge(instant now, call_record &record, action_list &actions)
{
    record.hedgeAt = instant::never();
    if (record.runningAttempts() != 1 || record.attempts.size() >= m_settings.attemptsMax)
        return;
    if (!hasUntriedWorker(now, record))
        return;
    if (!serviceStateOf(record).hedgeBudget.takeExtraAttempt()) {
        m_dependencies.counters.add("hedges_denied_total");
        return;
    }
    m_dependencies.counters.add("hedges_total");
    startAttempt(now, record, actions);
}

void call_runner::recordAttemptEnd(instant now, const running_attempt &attempt,
                                   const attempt_finished &input)
{
    attempt_observation observation;
    observation.worker = attempt.worker;
    observation.end = input.end;
    observation.elapsed = now - attempt.startedAt;
    observation.status = input.response ? input.response->status : 0;
    observation.rejectedBeforeRun = input.end == attempt_end::answered && input.rejectedBeforeRun;
    observation.load = input.load;
    m_dependencies.loadBalancer.attemptFinished(now, observation);
    m_dependencies.counters.add("attempt_ends_total{end=\"" + std::string(toString(input.end))
                                + "\"}");

    switch (input.end) {
    case attempt_end::answered:
        m_dependencies.quarantine.workerAnswered(attempt.workerName);
        m_suspectedWorkers.erase(attempt.worker);
        if (!observation.rejectedBeforeRun)
            m_services[attempt.service].latency.add(observation.elapsed);
        break;
    case attempt_end::broken:
        m_dependencies.quarantine.connectionBroke(now, digestOf(*attempt.request),
                                                  attempt.workerName);
        m_suspectedWorkers[attempt.worker] = now + quarantine_table::confirmWindow;
        break;
    case attempt_end::not_sent:
        m_dependencies.quarantine.workerUnreachable(now, attempt.workerName);
        break;
    case attempt_end::timed_out:
    case attempt_end::cancelled:
        break;
    }
}

void call_runner::attemptFinished(instant now, const attempt_finished &input, action_list &actions)
{
    const auto found = m_attempts.find(input.attempt);
    if (found == m_attempts.end()) {
        m_dependencies.invariants.check("attempt_ends_once", false);
        return;
    }
    const running_attempt ended = std::move(found->second);
    m_attempts.erase(found);
    recordAttemptEnd(now, ended, input);
    call_record *record = find(ended.call);
    if (record == nullptr)
        return; // The call has already ended, for example with the response of another attempt.
    const auto attempt = std::find_if(
        record->attempts.begin(), record->attempts.end(),
        [&input](const attempt_record &entry) { return entry.attempt == input.attempt; });
    attempt->end = input.end;
    attempt->rejectedBeforeRun = input.end == attempt_end::answered && input.rejectedBeforeRun;

    if (input.end == attempt_end::answered && !input.rejectedBeforeRun) {
        responseArrived(now, *record, input, actions);
        return;
    }
    if (record->runningAttempts() > 0)
        return; // The other attempt may still succeed.
    if (tryAcquireRetry(now, *record, input))
        startAttempt(now, *record, actions);
    else
        failCall(now, *record, describeFailure(now, *record, input), actions);
}

void call_runner::responseArrived(instant now, call_record &record, const attempt_finished &input,
                                  action_list &actions)
{
    if (isRetryableServerError(input.response)) {
        if (record.runningAttempts() > 0)
            return; // The other attempt may still succeed.
        if (hasUntriedWorker(now, record) && tryAcquireRetry(now, record, input)) {
            startAttempt(now, record, actions);
            return;
        }
    }
    completeCall(now, record, input.response, actions);
}

bool call_runner::hasUntriedWorker(instant now, const call_record &record)
{
    const duration timeLeft = record.deadline - now - m_settings.responseReserve;
    return timeLeft > duration {0}
           && m_dependencies.loadBalancer.select(
               {record.matchedRoute.group, record.triedWorkers(), timeLeft, now});
}

bool call_runner::tryAcquireRetry(instant now, call_record &record, const attempt_finished &input)
{
    if (record.isCallerDisconnected && !record.claimed)
        return false;
    if (record.attempts.size() >= m_settings.attemptsMax
        || record.deadline - now <= m_settings.responseReserve)
        return false;
    // A request that may be crashing workers must not reach a third worker.
    if (record.brokenAttempts() >= brokenAttemptsMax && isMechanismEnabled("crash_limit"))
        return false;
    // An attempt that ended as `not_sent` put no load on a worker, so its retry needs no budget.
    if (input.end == attempt_end::not_sent)
        return true;
    const bool didNotRun = input.end == attempt_end::answered && input.rejectedBeforeRun;
    if (!didNotRun) {
        if (!record.matchedRoute.rule->idempotent && isMechanismEnabled("retry_idempotent_only"))
            return false;
        // Only the first hop of a chain of calls retries a call that may have been executed: with a
        // budget of 10% at each of 10 hops, the load would grow 2.6 times.
        if (record.request->depth > 0 && isMechanismEnabled("retry_one_layer"))
            return false;
    }
    if (m_dependencies.quarantine.hasCrashes()
        && m_dependencies.quarantine.isQuarantined(now, digestOf(*record.request)))
        return false;
    if (!serviceStateOf(record).retryBudget.takeExtraAttempt()
        && isMechanismEnabled("retry_budget")) {
        m_dependencies.counters.add("retries_denied_total");
        return false;
    }
    m_dependencies.counters.add("retries_total");
    return true;
}

call_runner::call_failure call_runner::describeFailure(instant now, const call_record &record,
                                                       const attempt_finished &input)
{
    const std::string &peer = record.attempts.back().workerName;
    if (input.end == attempt_end::timed_out || now >= record.deadline)
        return {504,  "deadline-passed", "Deadline passed", "await response",
                peer, input.detail,      std::nullopt};
    if (input.rejectedBeforeRun)
        return {503,
                "worker-refused",
                "Worker refused the call",
                "await response",
                peer,
                "the worker reported that it did not execute the call",
                seconds(1)};
    if (input.end == attempt_end::not_sent)
        return {503,
                "worker-unreachable",
                "Worker could not be reached",
                "connect",
                peer,
                input.detail,
                seconds(1)};
    return {502,
            "response-incomplete",
            "Worker gave no whole response",
            "await response",
            peer,
            input.detail,
            std::nullopt};
}

void call_runner::callerDisconnected(instant now, const caller_disconnected &input,
                                     action_list &actions)
{
    call_record *record = find(input.call);
    if (record == nullptr)
        return;
    m_dependencies.counters.add("callers_disconnected_total");
    record->isCallerDisconnected = true;
    // A claimed operation continues, so that a later call with the same key gets its response.
    if (record->claimed || record->stage == call_stage::forwarded)
        return;
    failCall(now, *record,
             {499, "caller-disconnected", "Caller closed the connection", "await response", "", "",
              std::nullopt},
             actions);
}

void call_runner::cancelAttempts(call_record &record, action_list &actions)
{
    for (const attempt_record &attempt : record.attempts) {
        if (!attempt.end) {
            m_dependencies.counters.add("attempts_cancelled_total");
            actions.push_back(cancel_attempt {attempt.attempt});
        }
    }
}

void call_runner::failCall(instant now, call_record &record, const call_failure &cause,
                           action_list &actions)
{
    problem details;
    details.status = cause.status;
    details.type = std::string(cause.type);
    details.title = std::string(cause.title);
    details.outcome = record.mayHaveRun() || mayRunAtKeyOwner(record) ? call_outcome::unknown
                                                                      : call_outcome::not_run;
    details.step = std::string(cause.step);
    details.peer = cause.peer;
    details.detail = cause.detail;
    details.requestId = record.request->requestId;
    if (details.outcome == call_outcome::not_run || record.matchedRoute.rule == nullptr
        || record.matchedRoute.rule->idempotent)
        details.retryAfter = cause.retryAfter;
    completeCall(now, record, makeProblemResponse(details), actions);
}

void call_runner::completeCall(instant now, call_record &record,
                               const shared_response &finalResponse, action_list &actions)
{
    // The copy is needed because `finalResponse` may belong to `record`, which is destroyed below.
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    const shared_response response = finalResponse;
    cancelAttempts(record, actions);
    if (record.stage == call_stage::running)
        m_dependencies.invariants.check("not_run_was_not_sent",
                                        response->outcome != call_outcome::not_run
                                            || !record.mayHaveRun(),
                                        record.request->requestId);
    m_dependencies.counters.add("responses_total{outcome=\""
                                + std::string(toString(response->outcome)) + "\"}");
    if (!record.isCallerDisconnected)
        sendResponse(record, response, actions);
    if (record.stage == call_stage::waiting)
        m_dependencies.claims.removeWaiter(record.request->idempotencyKey, record.call);
    if (record.outgoingForwardId != 0)
        m_forwards.erase(record.outgoingForwardId);

    std::vector<call_id> waiters;
    if (record.claimed)
        waiters = m_dependencies.claims.finishOperation(record.request->idempotencyKey,
                                                        response->outcome, response);
    m_timers.erase({record.deadline, record.call});
    if (record.hedgeAt != instant::never())
        m_timers.erase({record.hedgeAt, record.call});
    m_calls.erase(record.call); // `record` is destroyed here.
    for (const call_id call : waiters) {
        call_record *waiter = find(call);
        if (waiter != nullptr)
            completeCall(now, *waiter, response, actions);
    }
}

void call_runner::sendResponse(const call_record &record, const shared_response &response,
                               action_list &actions)
{
    if (!record.origin) {
        actions.push_back(send_response {record.call, response, m_closeConnections});
        return;
    }
    const forward_origin &origin = *record.origin;
    const std::optional<std::string> address
        = origin.replyAddress.empty() ? m_dependencies.directory.peerAddress(origin.from)
                                      : origin.replyAddress;
    if (!address) {
        m_dependencies.counters.add("forwarded_responses_without_receiver_total");
        return;
    }
    actions.push_back(
        send_peer_message {*address, 0, forwarded_response {origin.forwardId, response}});
}

void call_runner::timerExpired(instant now, action_list &actions)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const std::pair<instant, call_id> due = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        call_record *record = find(due.second);
        if (record == nullptr)
            continue;
        if (now >= record->deadline) {
            failCall(now, *record,
                     {504, "deadline-passed", "Deadline passed", "await response",
                      record->attempts.empty() ? std::string() : record->attempts.back().workerName,
                      "no complete response arrived in time", std::nullopt},
                     actions);
        } else if (now >= record->hedgeAt) {
            hedge(now, *record, actions);
        }
    }
}

void call_runner::failAllCalls(instant now, std::string_view reason, action_list &actions)
{
    while (!m_calls.empty()) {
        call_record &record = *m_calls.begin()->second;
        m_dependencies.counters.add("calls_ended_by_drain_total");
        failCall(now, record,
                 {503, "gateway-leaving", "Gateway left before the call ended", "drain", "",
                  std::string(reason), std::nullopt},
                 actions);
    }
}

std::vector<probe_request> call_runner::takeCrashProbes(instant now)
{
    std::vector<probe_request> probes;
    for (auto it = m_suspectedWorkers.begin(); it != m_suspectedWorkers.end();) {
        const std::optional<probe_request> probe
            = m_dependencies.loadBalancer.tryProbe(now, it->first);
        if (probe)
            probes.push_back(*probe);
        it = probe || now >= it->second ? m_suspectedWorkers.erase(it) : std::next(it);
    }
    return probes;
}

call_runner::service_state &call_runner::serviceStateOf(const call_record &record)
{
    return m_services[record.matchedRoute.service->name];
}

call_record *call_runner::find(call_id call)
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? nullptr : found->second.get();
}

instant call_runner::nextWake() const
{
    return m_timers.empty() ? instant::never() : m_timers.begin()->first;
}

nlohmann::json call_runner::dump(instant now) const
{
    /// Maximum number of calls in progress that a dump lists.
    constexpr std::size_t rowsMax = 100;
    nlohmann::json calls = nlohmann::json::array();
    for (const std::pair<const call_id, std::unique_ptr<call_record>> &entry : m_calls) {
        if (calls.size() >= rowsMax)
            break;
        const call_record &record = *entry.second;
        calls.push_back({{"request_id", record.request->requestId},
                         {"service", record.matchedRoute.service->name},
                         {"stage", toString(record.stage)},
                         {"age_ms", toMilliseconds(now - record.arrivedAt)},
                         {"time_left_ms", toMilliseconds(record.deadline - now)},
                         {"attempts", record.attempts.size()}});
    }
    nlohmann::json services = nlohmann::json::object();
    for (const std::pair<const std::string, service_state> &entry : m_services) {
        const service_state &service = entry.second;
        services[entry.first] = {{"first_attempts", service.retryBudget.firstAttemptCount()},
                                 {"retries", service.retryBudget.extraAttemptCount()},
                                 {"retries_denied", service.retryBudget.deniedCount()},
                                 {"retry_tokens", service.retryBudget.tokens()},
                                 {"hedges", service.hedgeBudget.extraAttemptCount()},
                                 {"hedges_denied", service.hedgeBudget.deniedCount()},
                                 {"hedge_tokens", service.hedgeBudget.tokens()},
                                 {"p95_ms", toMilliseconds(service.latency.quantile(0.95))}};
    }
    return {{"in_progress", m_calls.size()},
            {"attempts_in_flight", m_attempts.size()},
            {"in_progress_max", m_settings.inProgressMax},
            {"calls", calls},
            {"services", services}};
}

} // namespace almondnotch
