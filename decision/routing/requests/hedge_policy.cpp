#include "decision/routing/requests/hedge_policy.h"

#include <algorithm>
#include <array>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// A hedge that follows the objective is not sent before the previous attempt has taken this
/// multiple of the expected service time.
constexpr double hedgeDelayFactor = 1.4;
/// Time that a hedge is expected to take, as a multiple of the expected service time, and a margin
/// for its way.
constexpr double hedgeTimeFactor = 1.3;
constexpr duration hedgeTimeMargin = milliseconds(5);
/// Interval at which a hedge that could not be sent is tried again.
constexpr duration retryInterval = milliseconds(30);
/// Fraction of the retry budget's capacity that hedges must leave for retries.
constexpr double reserveFraction = 0.2;
/// The same for requests that have missed their objective.
constexpr double lateReserveFraction = 0.5;
/// Number of requests whose hedges can be saved up. It bounds a burst of hedges after a quiet time.
constexpr double savedRequestsMax = 100;

std::string_view toString(hedge_refusal refusal)
{
    static constexpr std::array<std::string_view, 7> names {
        "none", "share", "retry-budget", "no-room", "leaving", "quarantined", "no-worker"};
    return names.at(static_cast<std::size_t>(refusal));
}

} // namespace

void hedge_policy::requestArrived(const routed_request &record)
{
    if (!record.isIdempotent())
        return;
    double &earned = m_earned[record.service];
    earned
        = std::min(earned + m_settings.share, std::max(1.0, savedRequestsMax * m_settings.share));
}

/// Quantile of the latencies of the route; 0 if hedges follow the objective alone or too few
/// attempts were answered yet.
duration hedge_policy::learnedDelay(const routed_request &record) const
{
    const auto found = m_latencies.find(record.route->name);
    return m_settings.quantile <= 0 || found == m_latencies.end()
               ? duration {0}
               : found->second.quantile(m_settings.quantile);
}

instant hedge_policy::latestAt(const routed_request &record, duration serviceTime)
{
    return record.objectiveAt - scaled(serviceTime, hedgeTimeFactor) - hedgeTimeMargin;
}

instant hedge_policy::dueAt(instant now, const routed_request &record, duration serviceTime) const
{
    if (m_settings.share <= 0 || !record.isIdempotent()
        || record.possiblyRunAttempts() >= record.route->attemptsMax
        || record.attempts.size() >= transmissionsMax)
        return instant::never();
    const instant byObjective
        = std::max(now + scaled(serviceTime, hedgeDelayFactor), latestAt(record, serviceTime));
    const duration learned = learnedDelay(record);
    return learned == duration {0} ? byObjective : std::min(byObjective, now + learned);
}

instant hedge_policy::nextTryAt(instant now, const routed_request &record, duration serviceTime)
{
    const instant next = now + retryInterval;
    return next + serviceTime > record.deadline ? instant::never() : next;
}

hedge_refusal hedge_policy::refusal(instant now, const routed_request &record,
                                    const hedge_conditions &conditions,
                                    const retry_budget &budget) const
{
    if (now + conditions.serviceTime > conditions.drainEnd)
        return hedge_refusal::leaving;
    if (conditions.isQuarantined)
        return hedge_refusal::quarantined;
    if (conditions.isShortOfRoom && isMechanismEnabled("hedge_room"))
        return hedge_refusal::no_room;
    const auto earned = m_earned.find(record.service);
    if ((earned == m_earned.end() || earned->second < 1) && isMechanismEnabled("hedge_share"))
        return hedge_refusal::share_used;
    const double reserve = now < record.objectiveAt ? reserveFraction : lateReserveFraction;
    if (!budget.hasTokens(1 + reserve * conditions.retryTokensMax))
        return hedge_refusal::retry_budget;
    return hedge_refusal::none;
}

bool hedge_policy::isTarget(instant now, const routed_request &record, duration serviceTime,
                            const scored_worker &worker)
{
    // Before that time, the first attempt may still be answered in time, which cross-domain traffic
    // for a second one is not worth.
    const bool mayCross = now >= latestAt(record, serviceTime);
    return worker.isAcceptable() && worker.isLightlyLoaded && (worker.isLocal || mayCross)
           && !(worker.isWarmingUp && isMechanismEnabled("hedge_warm_workers"));
}

bool hedge_policy::take(const routed_request &record, retry_budget &budget)
{
    double &earned = m_earned[record.service];
    if ((earned < 1 && isMechanismEnabled("hedge_share")) || !budget.take())
        return false;
    earned -= 1;
    m_counters.add("hedges_total");
    return true;
}

void hedge_policy::learn(const routed_request &record, duration latency)
{
    if (m_settings.quantile > 0 && record.isIdempotent())
        m_latencies[record.route->name].add(latency);
}

void hedge_policy::attemptAnswered(instant now, const routed_request &record,
                                   const routed_attempt &attempt)
{
    learn(record, now - attempt.startedAt);
}

void hedge_policy::requestEnded(instant now, const routed_request &record)
{
    bool wasHedged = false;
    for (const routed_attempt &attempt : record.attempts) {
        const bool hasWon = attempt.attempt == record.answeredBy;
        if (attempt.isHedge)
            m_counters.add(hasWon ? "hedges_won_total" : "hedges_lost_total");
        wasHedged = wasHedged || attempt.isHedge;
        // The answer would have come even later. Without these attempts, the quantile would fall
        // with every hedge that wins.
        if (!attempt.end && !attempt.isHedge && record.answeredBy)
            learn(record, now - attempt.startedAt);
    }
    if (!wasHedged) {
        if (record.hedgeRefusal != hedge_refusal::none)
            m_counters.add("hedges_not_sent_total{reason=\""
                           + std::string(toString(record.hedgeRefusal)) + "\"}");
        return;
    }
    duration cancelled {0};
    for (const routed_attempt &attempt : record.attempts) {
        if (!attempt.end)
            cancelled += now - attempt.startedAt;
    }
    m_counters.add("hedge_cancelled_work_ms_total",
                   static_cast<std::uint64_t>(toMilliseconds(cancelled)));
}

nlohmann::json hedge_policy::dump() const
{
    nlohmann::json out = nlohmann::json::object();
    for (const std::pair<const std::string, double> &entry : m_earned)
        out[entry.first] = {{"hedges_earned", entry.second}};
    return out;
}

} // namespace almondnotch
