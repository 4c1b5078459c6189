#pragma once

#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/time.h"
#include "decision/calls/latency_tracker.h"
#include "decision/routing/requests/retry_budget.h"
#include "decision/routing/requests/routed_request.h"
#include "decision/routing/requests/worker_selector.h"
#include "decision/routing/routing_settings.h"

namespace almondnotch {

/// What a request runner knows of the service and of itself when a hedge is due.
struct hedge_conditions
{
    /// Expected service time of the request on an idle worker at normal speed.
    duration serviceTime {0};
    /// Other requests of the service wait for a worker, or hardly any worker of it can be used.
    bool isShortOfRoom = false;
    /// The request has crashed workers.
    bool isQuarantined = false;
    /// Time by which this gateway wants to be done with its requests; `never` unless it drains.
    instant drainEnd = instant::never();
    /// Maximum number of tokens that the retry budget of the service can hold.
    double retryTokensMax = 0;
};

/// Decides whether, when and to which kind of worker a hedge is sent: a second copy of an
/// idempotent request whose answer is late. The first good answer is returned, and the other
/// copies are cancelled.
///
/// Hedges draw on two limits. The retry budget of the service counts them together with retries and
/// keeps a reserve for these. `hedge_settings::share` limits hedges alone: every idempotent request
/// earns this fraction of a hedge, and each hedge takes a whole one. A gateway starts with nothing
/// earned and looks only at its own requests, so the limit holds for the sum of all gateways
/// without any message between them.
class hedge_policy
{
public:
    /// \param settings, counters must outlive the policy.
    hedge_policy(const hedge_settings &settings, counter_set &counters)
        : m_settings(settings), m_counters(counters)
    { }

    /// Counts a request that was admitted.
    void requestArrived(const routed_request &record);

    /// When a hedge is due for a request of which an attempt starts now; `never` if none may be
    /// sent.
    instant dueAt(instant now, const routed_request &record, duration serviceTime) const;
    /// When a hedge that could not be sent now is tried again.
    static instant nextTryAt(instant now, const routed_request &record, duration serviceTime);
    /// Latest time at which a hedge is expected to meet the latency objective.
    static instant latestAt(const routed_request &record, duration serviceTime);

    /// Why no hedge is sent for the request now.
    hedge_refusal refusal(instant now, const routed_request &record,
                          const hedge_conditions &conditions, const retry_budget &budget) const;
    /// True if a hedge may be sent to the worker: without taking a slot that the first attempt of
    /// another request may need, and not to another failure domain before `latestAt`.
    static bool isTarget(instant now, const routed_request &record, duration serviceTime,
                         const scored_worker &worker);
    /// Takes a hedge from both limits. \return false if one of them is used up.
    bool take(const routed_request &record, retry_budget &budget);

    /// Learns how long an attempt took that was answered.
    void attemptAnswered(instant now, const routed_request &record, const routed_attempt &attempt);
    /// Counts what became of the hedges of a request that ends, before its other attempts are
    /// cancelled, and learns from these attempts.
    void requestEnded(instant now, const routed_request &record);

    nlohmann::json dump() const;

private:
    duration learnedDelay(const routed_request &record) const;
    void learn(const routed_request &record, duration latency);

    const hedge_settings &m_settings;
    counter_set &m_counters;
    /// Hedges that were earned and not sent yet, by service.
    std::map<std::string, double, std::less<>> m_earned;
    /// Latencies of attempts by route; empty if `hedge_settings::quantile` is 0.
    std::map<std::string, latency_tracker, std::less<>> m_latencies;
};

} // namespace almondnotch
