#include "decision/routing/requests/failure_log.h"

namespace almondnotch {

namespace {

/// Maximum number of log records per second; further failures are only counted.
constexpr double recordsPerSecondMax = 20;

} // namespace

/// The attempts as NAME:END:AGE:SLOWDOWN, separated by spaces.
std::string failure_log::describeAttempts(instant now, const routed_request &record) const
{
    std::string out;
    for (const routed_attempt &attempt : record.attempts) {
        out += (out.empty() ? "" : " ") + m_pool.at(attempt.worker).entry.name + ":"
               + std::string(attempt.end ? toString(*attempt.end) : "running") + ":"
               + std::to_string(toMilliseconds(now - attempt.startedAt))
               + "ms:" + std::to_string(attempt.slowdownPercent) + "%";
    }
    return out;
}

void failure_log::write(instant now, const routed_request &record, const call_response &response,
                        double retryTokens, duration serviceTime, action_list &actions)
{
    if (response.status < 500)
        return;
    if (m_rate.perSecond(now) >= recordsPerSecondMax) {
        m_counters.add("log_lines_left_out_total");
        return;
    }
    m_rate.count(now);
    const unsigned attemptsMax = record.route == nullptr ? 0 : record.route->attemptsMax;
    actions.push_back(
        write_log {log_level::warning,
                   "request",
                   "The request failed.",
                   {{"request_id", record.request->requestId},
                    {"status", std::to_string(response.status)},
                    {"service", record.service},
                    {"age_ms", std::to_string(toMilliseconds(now - record.arrivedAt))},
                    {"time_left_ms", std::to_string(toMilliseconds(record.deadline - now))},
                    {"attempts", describeAttempts(now, record)},
                    {"attempts_max", std::to_string(attemptsMax)},
                    {"retry_tokens", std::to_string(static_cast<int>(retryTokens))},
                    {"work_ms", std::to_string(toMilliseconds(serviceTime))}}});
}

} // namespace almondnotch
