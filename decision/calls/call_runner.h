#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/model.h"
#include "core/counters.h"
#include "core/invariants.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/balance/balancer.h"
#include "decision/calls/attempt_budget.h"
#include "decision/calls/call_record.h"
#include "decision/calls/call_settings.h"
#include "decision/calls/latency_tracker.h"
#include "decision/calls/quarantine_table.h"
#include "decision/claims/claim_table.h"
#include "decision/events.h"

namespace almondnotch {

/// Provides the call runner with the addresses of gateway processes.
class process_directory
{
public:
    virtual ~process_directory() = default;

    /// Peer address of a process; empty if the process is gone or was never seen.
    virtual std::optional<std::string> peerAddress(const process_id &process) const = 0;
    /// Peer address of this process.
    virtual std::string ownPeerAddress() const = 0;
};

/// Components that the call runner uses. All must outlive it.
struct call_runner_dependencies
{
    balancer &loadBalancer;
    claim_table &claims;
    quarantine_table &quarantine;
    const process_directory &directory;
    invariant_set &invariants;
    counter_set &counters;
};

/// Processes calls: routes them, claims their idempotency keys, starts attempts, retries and hedges
/// within their budgets, and sends exactly one response for each call, unless its caller
/// disconnects.
class call_runner
{
public:
    call_runner(call_settings settings, call_runner_dependencies dependencies);

    /// Admits a call that a caller sent to this gateway.
    /// \param config the active configuration; null before the first one arrives.
    void callReceived(instant now, const call_received &input, const shared_config &config,
                      action_list &actions);
    /// Admits a call that another gateway forwarded to this one as the owner of its key.
    void forwardedCallReceived(instant now, const process_id &from, const forwarded_call &input,
                               const shared_config &config, action_list &actions);
    /// Completes a forwarded call with the response of the owner of its key.
    void forwardedResponseReceived(instant now, const forwarded_response &input,
                                   action_list &actions);
    /// Handles the failure to send a forwarded call, which the owner of the key may have received
    /// nevertheless.
    void forwardFailed(instant now, std::uint64_t forwardId, action_list &actions);
    void attemptFinished(instant now, const attempt_finished &input, action_list &actions);
    void callerDisconnected(instant now, const caller_disconnected &input, action_list &actions);

    /// Returns probes that check whether suspected workers crashed, as far as the probe budget
    /// currently allows. The caller of this function must start them.
    std::vector<probe_request> takeCrashProbes(instant now);

    /// Ends calls whose deadline has passed and starts hedges that are due.
    void timerExpired(instant now, action_list &actions);

    /// Ends all calls with an error response, for example near the drain deadline.
    void failAllCalls(instant now, std::string_view reason, action_list &actions);

    /// From now on, the connections of callers are closed after their responses.
    void closeConnectionsAfterResponses() { m_closeConnections = true; }

    std::size_t inProgress() const { return m_calls.size(); }
    instant nextWake() const;
    nlohmann::json dump(instant now) const;

private:
    /// State of one service that is kept between its calls.
    struct service_state
    {
        attempt_budget retryBudget;
        attempt_budget hedgeBudget;
        latency_tracker latency;
    };

    /// An attempt that has not ended; it may outlive its call.
    struct running_attempt
    {
        call_id call {};
        worker_index worker {};
        std::string workerName;
        std::string service;
        instant startedAt;
        shared_request request;
    };

    /// Reason why a call ends without a worker's response. Its members have the same meaning as in
    /// `problem`; `failCall` adds the outcome and the request ID.
    struct call_failure
    {
        int status = 500;
        std::string_view type;
        std::string_view title;
        std::string_view step;
        std::string peer;
        std::string detail;
        std::optional<seconds> retryAfter;
    };

    void admit(instant now, call_record record, const shared_config &config, action_list &actions);
    /// Checks whether the call can be accepted, and sets its route and deadline.
    /// \return the reason if the call is rejected.
    std::optional<call_failure> routeCall(instant now, call_record &record,
                                          const shared_config &config) const;
    /// Claims the idempotency key of the call.
    /// \return true if the call is to be executed here; otherwise it waits, was forwarded or has
    /// ended.
    bool claimKey(instant now, call_record &record, action_list &actions);
    void forward(instant now, call_record &record, const process_id &owner, action_list &actions);
    /// \return false if no attempt could be started; the call has ended then.
    bool startAttempt(instant now, call_record &record, action_list &actions);
    void planHedge(instant now, call_record &record);
    void hedge(instant now, call_record &record, action_list &actions);
    /// Decides whether the call is retried, and takes a token from the retry budget if one is
    /// needed.
    bool tryAcquireRetry(instant now, call_record &record, const attempt_finished &input);
    /// Reports the end of an attempt to the balancer, the quarantine and the latency statistics.
    void recordAttemptEnd(instant now, const running_attempt &attempt,
                          const attempt_finished &input);
    void responseArrived(instant now, call_record &record, const attempt_finished &input,
                         action_list &actions);
    bool hasUntriedWorker(instant now, const call_record &record);
    static call_failure describeFailure(instant now, const call_record &record,
                                        const attempt_finished &input);
    void cancelAttempts(call_record &record, action_list &actions);
    /// Ends a call with a problem response. Its outcome is `unknown` if the call may have been
    /// executed, otherwise `not_run`.
    void failCall(instant now, call_record &record, const call_failure &cause,
                  action_list &actions);
    void completeCall(instant now, call_record &record, const shared_response &finalResponse,
                      action_list &actions);
    void sendResponse(const call_record &record, const shared_response &response,
                      action_list &actions);
    service_state &serviceStateOf(const call_record &record);
    call_record *find(call_id call);

    call_settings m_settings;
    call_runner_dependencies m_dependencies;
    bool m_closeConnections = false;
    std::unordered_map<call_id, std::unique_ptr<call_record>> m_calls;
    std::unordered_map<attempt_id, running_attempt> m_attempts;
    /// Calls forwarded by this process, by `call_record::outgoingForwardId`.
    std::unordered_map<std::uint64_t, call_id> m_forwards;
    /// Times at which deadlines and hedges are due. Stale entries are skipped.
    std::set<std::pair<instant, call_id>> m_timers;
    std::map<std::string, service_state, std::less<>> m_services;
    /// Workers whose connection broke during a call and that are to be probed, with the time after
    /// which a probe is no longer useful.
    std::map<worker_index, instant> m_suspectedWorkers;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_nextForward = 1;
    /// Identifier of the next call that another gateway forwards to this one. The highest bit
    /// distinguishes these from the identifiers that the entry port assigns.
    std::uint64_t m_nextForwardedCall = 1ULL << 63U;
};

} // namespace almondnotch
