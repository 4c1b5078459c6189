#include "decision/routing/requests/domain_conditions.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

/// Weights of a sample in the smoothed round-trip time and in its deviation, and the number of
/// deviations that the longest one lies above it (RFC 6298).
constexpr double roundTripWeight = 0.125;
constexpr double deviationWeight = 0.25;
constexpr int deviationsToLongest = 4;
/// Weight of one probe in the free share of a service.
constexpr double probeWeight = 0.1;
/// Time in which a free share without new probes returns to `free_share::unknown` but for 1/e.
constexpr duration freeShareDecayTime = seconds(2);
/// An answer to a probe that comes later is not learned from.
constexpr duration answerTimeMax = milliseconds(400);
/// Free share below which a service is short of room: of the four workers that the local rounds
/// probe, none is free for one request in four (0.7^4 = 0.24).
constexpr double freeShareMin = 0.3;

} // namespace

void round_trip_estimate::add(duration sample)
{
    if (!m_isKnown) {
        m_isKnown = true;
        m_usual = sample;
        m_deviation = sample / 2;
        return;
    }
    const duration error = sample - m_usual;
    m_deviation += scaled(std::max(error, -error) - m_deviation, deviationWeight);
    m_usual += scaled(error, roundTripWeight);
}

duration round_trip_estimate::longest() const
{
    return m_usual + m_deviation * deviationsToLongest;
}

void free_share::probed(instant now, bool foundRoom)
{
    const double known = value(now);
    m_share = known + probeWeight * ((foundRoom ? 1.0 : 0.0) - known);
    m_probedAt = now;
}

double free_share::value(instant now) const
{
    const double kept = std::exp(-toSeconds(now - m_probedAt) / toSeconds(freeShareDecayTime));
    return unknown + (m_share - unknown) * kept;
}

void domain_conditions::probeEnded(instant now, const pooled_worker &worker, instant startedAt,
                                   bool wasAnswered)
{
    // The answer has lain here while the process was paused.
    if (wasAnswered && now - startedAt > answerTimeMax)
        return;
    if (wasAnswered)
        m_roundTrips[worker.entry.failureDomain].add(now - startedAt);
    m_free[worker.entry.service][worker.entry.failureDomain].probed(
        now, wasAnswered && hasRoom(worker.report));
}

std::vector<domain_terms> domain_conditions::termsOf(instant now, std::string_view service) const
{
    std::vector<domain_terms> out;
    out.reserve(m_roundTrips.size());
    for (const std::pair<const std::string, round_trip_estimate> &entry : m_roundTrips) {
        const double occupied = 1 - freeShare(now, service, entry.first) / free_share::unknown;
        out.push_back(
            {entry.first, entry.second.usual(), entry.second.longest(), std::max(0.0, occupied)});
    }
    return out;
}

double domain_conditions::freeShare(instant now, std::string_view service,
                                    std::string_view failureDomain) const
{
    const auto domains = m_free.find(service);
    if (domains == m_free.end())
        return free_share::unknown;
    const auto found = domains->second.find(failureDomain);
    return found == domains->second.end() ? free_share::unknown : found->second.value(now);
}

double domain_conditions::shortage(instant now, std::string_view service,
                                   std::string_view failureDomain) const
{
    return std::max(0.0, 1 - freeShare(now, service, failureDomain) / freeShareMin);
}

nlohmann::json domain_conditions::dump(instant now) const
{
    nlohmann::json roundTrips = nlohmann::json::object();
    for (const std::pair<const std::string, round_trip_estimate> &entry : m_roundTrips)
        roundTrips[entry.first] = toMilliseconds(entry.second.usual());
    nlohmann::json free = nlohmann::json::object();
    for (const std::pair<const std::string, std::map<std::string, free_share, std::less<>>>
             &service : m_free) {
        for (const std::pair<const std::string, free_share> &entry : service.second)
            free[service.first][entry.first] = entry.second.value(now);
    }
    return {{"round_trip_ms", roundTrips}, {"free_share", free}};
}

} // namespace almondnotch
