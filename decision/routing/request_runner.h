#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/invariants.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/calls/quarantine_table.h"
#include "decision/events.h"
#include "decision/routing/event_rate.h"
#include "decision/routing/probe_rate_limiter.h"
#include "decision/routing/retry_budget.h"
#include "decision/routing/route_table.h"
#include "decision/routing/routed_request.h"
#include "decision/routing/routing_settings.h"
#include "decision/routing/worker_pool.h"
#include "decision/routing/worker_selector.h"

namespace almondnotch {

/// The parts that the runner uses; all outlive it.
struct request_runner_dependencies
{
    worker_pool &pool;
    quarantine_table &quarantine;
    random_source &random;
    invariant_set &invariants;
    counter_set &counters;
};

/// Runs requests: finds the route, a worker, retries and hedges within the budgets, and sends
/// exactly one response for each request.
class request_runner
{
public:
    request_runner(const routing_settings &settings, request_runner_dependencies dependencies);

    /// \param table null while no configuration is known.
    void callReceived(instant now, const call_received &input, route_table *table,
                      action_list &actions);
    void callerDisconnected(const caller_disconnected &input, action_list &actions);
    void attemptFinished(instant now, const attempt_finished &input, action_list &actions);
    void probeFinished(instant now, const probe_finished &input, action_list &actions);
    void timerExpired(instant now, action_list &actions);
    /// Ends all requests, as at the end of the time to leave.
    void terminateAll(instant now, action_list &actions);

    /// From now on connections are closed after their response.
    void beginLeaving() { m_isLeaving = true; }
    /// From now on new requests are refused.
    void rejectNewRequests() { m_rejectsNewRequests = true; }
    void setGatewayCount(unsigned count) { m_gatewayCount = count; }
    void setRemovalGracePeriods(const removal_grace_periods &gracePeriods)
    {
        m_gracePeriods = gracePeriods;
    }

    std::size_t inProgress() const { return m_requests.size(); }
    instant nextWake() const;
    nlohmann::json dump(instant now) const;

private:
    /// Why a request ends without a worker's response.
    struct failure_cause
    {
        int status = 500;
        std::string_view type;
        std::string_view title;
        std::string_view step;
        std::string detail;
    };
    /// A request that looks for a worker; the most urgent and the earliest deadline go first.
    struct pending_request
    {
        unsigned priority = 0;
        instant deadline;
        call_id call {};

        // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
        auto operator<=>(const pending_request &) const = default; // NOLINT(modernize-use-nullptr)
    };
    /// State of one service that outlives its requests.
    struct service_state
    {
        retry_budget budget;
        event_rate attemptRate;
    };
    /// What is remembered of a route's requests.
    struct route_statistics
    {
        duration serviceTime {0};
        /// Responses that `work` was learned from.
        unsigned sampleCount = 0;
    };

    std::optional<failure_cause> admit(instant now, routed_request &record, route_table *table);
    bool isQuarantined(instant now, const call_request &request) const;
    void selectWorker(instant now, routed_request &record, action_list &actions);
    void deferOrFallBack(instant now, routed_request &record, const scored_worker &best,
                         action_list &actions);
    std::size_t pendingAhead(const routed_request &record) const;
    bool isQueueTooLong(instant now, const routed_request &record);
    void beginSelection(routed_request &record, bool isHedge);
    void endSelection(routed_request &record);
    void offerFreeSlot(instant now, worker_index worker, action_list &actions);
    void attemptEnded(instant now, routed_request &record, const attempt_finished &input,
                      action_list &actions);
    void failSelection(instant now, routed_request &record, std::string_view reason,
                       action_list &actions);
    bool shouldDefer(instant now, const routed_request &record, const scored_worker &best);
    bool probeCandidates(instant now, routed_request &record,
                         const std::vector<scored_worker> &ranked, action_list &actions);
    void startProbe(worker_index worker, const std::string &healthPath, action_list &actions);
    bool acquireProbeToken(instant now);
    void probeAfterDisconnect(instant now, const routed_request &record, worker_index worker,
                              action_list &actions);
    void startAttempt(instant now, routed_request &record, const scored_worker &chosen,
                      action_list &actions);
    void handleNoWorker(instant now, routed_request &record, std::string_view reason,
                        action_list &actions);
    void tryHedge(instant now, routed_request &record, action_list &actions);
    void scheduleHedge(instant now, routed_request &record);
    bool mayRetry(instant now, const routed_request &record, const attempt_finished &input);
    void attemptFailed(instant now, routed_request &record, const attempt_finished &input,
                       action_list &actions);
    void recordServiceTime(instant now, const routed_request &record,
                           const routed_attempt &attempt);
    void recordOutcome(instant now, const routed_request *record, worker_index worker,
                       const attempt_finished &input, action_list &actions);
    selection_criteria selectionCriteria(instant now, const routed_request &record);
    duration expectedServiceTime(const host_route &route);
    double retryTokensMax() const;
    unsigned connectionShare(const routed_request &record) const;
    void finishWithProblem(instant now, routed_request &record, const failure_cause &cause,
                           action_list &actions);
    void finish(instant now, routed_request &record, const shared_response &response,
                action_list &actions);
    void logFailure(instant now, const routed_request &record, const shared_response &response,
                    action_list &actions);
    void scheduleTimer(routed_request &record);
    routed_request *find(call_id call);

    const routing_settings &m_settings;
    request_runner_dependencies m_dependencies;
    worker_selector m_selector;
    bool m_isLeaving = false;
    bool m_rejectsNewRequests = false;
    unsigned m_gatewayCount = 1;
    removal_grace_periods m_gracePeriods;
    std::unordered_map<call_id, std::unique_ptr<routed_request>> m_requests;
    /// Attempts under way; one may outlive its request.
    std::unordered_map<attempt_id, std::pair<call_id, worker_index>> m_attempts;
    probe_rate_limiter m_probeRateLimiter;
    std::map<probe_id, worker_index> m_probes;
    std::map<worker_index, probe_id> m_probeByWorker;
    /// When requests are due; an entry may be stale and is then skipped.
    std::set<std::pair<instant, call_id>> m_timers;
    std::map<std::string, route_statistics, std::less<>> m_routes;
    std::map<std::string, service_state, std::less<>> m_services;
    std::map<std::string, std::set<pending_request>, std::less<>> m_pendingSelections;
    event_rate m_failureLogRate;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_nextProbe = 1;
};

} // namespace almondnotch
