#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/time.h"
#include "decision/routing/requests/worker_selector.h"
#include "decision/routing/workers/worker_pool.h"

namespace almondnotch {

/// Round-trip time to the workers of one failure domain, from the probes of this gateway.
class round_trip_estimate
{
public:
    /// \param sample time from a probe to its response, with that of a new connection if it needed
    /// one.
    void add(duration sample);
    /// The usual round-trip time; 0 while none is known.
    duration usual() const { return m_usual; }
    /// Time within which almost all probes are answered (the retransmission timeout of RFC 6298);
    /// 0 while no round-trip time is known.
    duration longest() const;

private:
    bool m_isKnown = false;
    duration m_usual {0};
    duration m_deviation {0};
};

/// Share of the recent probes of one service in one failure domain that found a free slot on a
/// machine at full speed.
class free_share
{
public:
    void probed(instant now, bool foundRoom);
    /// Returns to `unknown` while no probes are answered, so that no decision rests on old ones.
    double value(instant now) const;

    /// Share that is assumed where nothing was probed recently.
    static constexpr double unknown = 0.6;

private:
    double m_share = unknown;
    instant m_probedAt;
};

/// What this gateway has measured of the failure domains: how far their workers are, and how much
/// of each service is free there. Every gateway measures on its own, nothing is exchanged.
class domain_conditions
{
public:
    /// Learns from a probe.
    /// \param worker the probed worker, with the report that the probe returned.
    void probeEnded(instant now, const pooled_worker &worker, instant startedAt, bool wasAnswered);

    /// What a selection for the service goes by. The result refers to this object.
    std::vector<domain_terms> termsOf(instant now, std::string_view service) const;
    /// Free share of a service in a failure domain, 0 to 1; see `free_share`.
    double freeShare(instant now, std::string_view service, std::string_view failureDomain) const;
    /// How far the service lacks room in the failure domain: 0 while the rounds of probes find a
    /// worker there for most requests, rising to 1 where they find none.
    double shortage(instant now, std::string_view service, std::string_view failureDomain) const;

    nlohmann::json dump(instant now) const;

private:
    std::map<std::string, round_trip_estimate, std::less<>> m_roundTrips;
    /// By service and failure domain.
    std::map<std::string, std::map<std::string, free_share, std::less<>>, std::less<>> m_free;
};

} // namespace almondnotch
