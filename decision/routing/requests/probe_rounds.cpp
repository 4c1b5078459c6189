#include "decision/routing/requests/probe_rounds.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

namespace {

/// A request is probed for only if more than this is left until its deadline after the round.
constexpr duration timeLeftMin = milliseconds(3);
/// How long a request waits for the probes of a round, if their way is not known to take longer,
/// and at most.
constexpr duration waitMin = milliseconds(12);
constexpr duration waitMax = milliseconds(60);
/// Workers that a remote round probes beyond its plan while there is no room at home, since a
/// failed round costs a whole way there and back.
constexpr std::size_t remoteProbesExtra = 1;
/// Shortage at home from which the second local round is skipped: three of four of its probes would
/// not even find one free worker in seven.
constexpr double localRoundShortageMax = 0.5;

/// Longest time that a probe of one of the failure domains takes by what is known.
duration longestRoundTrip(const selection_criteria &criteria)
{
    duration longest {0};
    for (const domain_terms &domain : criteria.domains)
        longest = std::max(longest, domain.longestRoundTrip);
    return longest;
}

std::vector<worker_index> candidatesOf(const probe_round_plan &plan, std::size_t workersMax,
                                       const std::vector<scored_worker> &ranked)
{
    std::vector<worker_index> out;
    for (const scored_worker &candidate : ranked) {
        if (out.size() == workersMax)
            break;
        if (!candidate.hasFreshReport && candidate.isLocal == plan.isLocal)
            out.push_back(candidate.worker);
    }
    return out;
}

} // namespace

std::optional<probe_round> beginProbeRound(instant now, routed_request &record,
                                           const selection_criteria &criteria,
                                           const std::vector<scored_worker> &ranked)
{
    while (record.probeRounds < probeRoundPlan.size()) {
        const probe_round_plan &plan = probeRoundPlan.at(record.probeRounds);
        const duration wait
            = plan.isLocal ? waitMin : std::clamp(longestRoundTrip(criteria), waitMin, waitMax);
        if (record.deadline - now <= wait + timeLeftMin)
            return std::nullopt;
        const bool isRepeatedLocal = plan.isLocal && record.probeRounds > 0;
        ++record.probeRounds;
        if (isRepeatedLocal && criteria.homeShortage > localRoundShortageMax)
            continue;
        if (!plan.isLocal && criteria.homeShortage == 0) {
            if (now < record.remoteProbesAllowedAt)
                continue;
            record.remoteProbesAllowedAt = now + remoteProbeInterval;
        }
        const bool isExtended = !plan.isLocal && criteria.homeShortage > 0;
        std::vector<worker_index> workers
            = candidatesOf(plan, plan.workersMax + (isExtended ? remoteProbesExtra : 0), ranked);
        if (!workers.empty())
            return probe_round {std::move(workers), wait};
    }
    return std::nullopt;
}

} // namespace almondnotch
