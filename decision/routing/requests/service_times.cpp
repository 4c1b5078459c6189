#include "decision/routing/requests/service_times.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// Initial service time of a route, as a fraction of its latency objective.
constexpr double defaultServiceTimeFraction = 0.35;
/// Weight of the newest sample in the service time of a route.
constexpr double serviceTimeWeight = 0.05;
/// Number of samples of its service time that a route needs before its responses are used to
/// estimate the slowdown near saturation.
constexpr unsigned serviceTimeSamplesMin = 5;

} // namespace

duration service_times::expected(const host_route &route)
{
    route_statistics &statistics = m_routes[route.name];
    if (statistics.serviceTime == duration {0})
        statistics.serviceTime = scaled(route.latencyObjective, defaultServiceTimeFraction);
    return std::max<duration>(statistics.serviceTime, milliseconds(1));
}

void service_times::record(instant now, const host_route &route, const routed_attempt &attempt,
                           worker_pool &pool)
{
    const double slowdown = std::max(attempt.slowdownPercent, 100U) / 100.0;
    // The sample is not representative if the machine's speed was unknown or far from normal.
    if (attempt.slowdownPercent == 0 || slowdown > 2)
        return;
    duration sample = scaled(now - attempt.startedAt, 1 / slowdown);
    route_statistics &statistics = m_routes[route.name];
    const duration known = expected(route);
    if (attempt.isNearSaturation && statistics.sampleCount >= serviceTimeSamplesMin) {
        pool.recordSaturation(toSeconds(sample) / toSeconds(known));
        return;
    }
    if (attempt.isNearSaturation)
        sample = scaled(sample, 1 / pool.saturation().factor());
    ++statistics.sampleCount;
    // The first samples have a larger weight, since the initial service time is only assumed.
    const double weight = std::max(serviceTimeWeight, 1.0 / (statistics.sampleCount + 1));
    const duration bounded = std::min(sample, known * 3);
    statistics.serviceTime = scaled(known, 1 - weight) + scaled(bounded, weight);
}

nlohmann::json service_times::dump() const
{
    nlohmann::json rows = nlohmann::json::object();
    for (const std::pair<const std::string, route_statistics> &entry : m_routes)
        rows[entry.first] = {{"work_ms", toMilliseconds(entry.second.serviceTime)}};
    return rows;
}

} // namespace almondnotch
