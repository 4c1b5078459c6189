#include "decision/fleet/entry_selector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

#include "decision/fleet/rendezvous.h"

namespace almondnotch {

namespace {

/// Minimum number of failure domains of a subset, if the fleet has as many.
constexpr std::size_t subsetDomainsMin = 3;

double meanCalls(const std::vector<entry_candidate> &candidates)
{
    double sum = 0;
    for (const entry_candidate &candidate : candidates)
        sum += candidate.callsInProgress;
    return sum / static_cast<double>(candidates.size());
}

/// Weight of a gateway by its reported load. The range is narrow, since the reports are seconds
/// old: a wide range would direct all callers to a gateway that was idle for a moment.
double loadWeight(const entry_candidate &candidate, double mean)
{
    return std::clamp((mean + 4) / (candidate.callsInProgress + 4.0), 0.5, 2.0);
}

} // namespace

std::vector<entry_candidate> gatewaySubset(std::string_view service,
                                           std::vector<entry_candidate> candidates)
{
    if (candidates.size() <= entrySubsettingThreshold)
        return candidates;
    const double mean = meanCalls(candidates);
    std::vector<std::pair<double, std::size_t>> scores;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // The weight has only two values, so that only clearly overloaded gateways drop out of the
        // subsets of some services. A continuous weight would change the subsets with every load
        // report.
        const double calls = candidates[i].callsInProgress;
        const double weight = calls > 16 && calls > 1.5 * mean ? 0.5 : 1.0;
        scores.emplace_back(rendezvousScore(service, candidates[i].vm, weight), i);
    }
    std::sort(scores.begin(), scores.end(), std::greater<> {});
    std::vector<entry_candidate> chosen;
    std::set<std::string> domains;
    for (const std::pair<double, std::size_t> &score : scores) {
        const entry_candidate &candidate = candidates[score.second];
        const std::size_t remaining = entrySubsetSize - chosen.size();
        const std::size_t domainsMissing
            = subsetDomainsMin - std::min(subsetDomainsMin, domains.size());
        // The last places are reserved for failure domains that are not represented yet.
        if (remaining <= domainsMissing && domains.contains(candidate.failureDomain))
            continue;
        domains.insert(candidate.failureDomain);
        chosen.push_back(candidate);
        if (chosen.size() == entrySubsetSize)
            break;
    }
    return chosen;
}

std::size_t entry_selector::drawWeighted(const std::vector<double> &weights)
{
    double point = m_random.uniform() * std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t i = 0; i < weights.size(); ++i) {
        point -= weights[i];
        if (point < 0)
            return i;
    }
    return weights.size() - 1;
}

double entry_selector::assignedLoad(instant now, const std::string &address,
                                    duration timeToLive) const
{
    const auto found = m_assignedLoads.find(address);
    if (found == m_assignedLoads.end())
        return 0;
    return found->second.callers
           * std::exp(-toSeconds(now - found->second.updatedAt)
                      / std::max(0.001, toSeconds(timeToLive)));
}

std::vector<std::string> entry_selector::choose(instant now, std::string_view service,
                                                std::vector<entry_candidate> candidates,
                                                duration timeToLive)
{
    // Once the table has more than twice as many entries as there are candidates, entries with a
    // negligible load and entries of gateways that are no longer candidates are removed.
    if (m_assignedLoads.size() > 2 * candidates.size() + entryAddressesMax)
        std::erase_if(m_assignedLoads,
                      [&](const std::pair<const std::string, decaying_load> &entry) {
                          return assignedLoad(now, entry.first, timeToLive) < 0.01
                                 || std::none_of(candidates.begin(), candidates.end(),
                                                 [&](const entry_candidate &candidate) {
                                                     return candidate.entryAddress == entry.first;
                                                 });
                      });
    std::vector<std::string> addresses;
    std::vector<entry_candidate> remaining = gatewaySubset(service, std::move(candidates));
    std::set<std::string> usedDomains;
    while (!remaining.empty() && addresses.size() < entryAddressesMax) {
        const double mean = meanCalls(remaining);
        std::vector<double> weights;
        weights.reserve(remaining.size());
        bool hasUnusedDomain = false;
        for (const entry_candidate &candidate : remaining)
            hasUnusedDomain = hasUnusedDomain || !usedDomains.contains(candidate.failureDomain);
        for (const entry_candidate &candidate : remaining)
            weights.push_back(hasUnusedDomain && usedDomains.contains(candidate.failureDomain)
                                  ? 0
                                  : loadWeight(candidate, mean));
        std::size_t chosen = drawWeighted(weights);
        if (addresses.empty()) {
            // Power of two choices by the load that this gateway itself has assigned, which it
            // knows without delay.
            const std::size_t other = drawWeighted(weights);
            const double chosenLoad
                = assignedLoad(now, remaining[chosen].entryAddress, timeToLive) / weights[chosen];
            const double otherLoad
                = assignedLoad(now, remaining[other].entryAddress, timeToLive) / weights[other];
            if (otherLoad < chosenLoad)
                chosen = other;
            const double before = assignedLoad(now, remaining[chosen].entryAddress, timeToLive);
            m_assignedLoads[remaining[chosen].entryAddress] = {before + 1, now};
        }
        addresses.push_back(remaining[chosen].entryAddress);
        usedDomains.insert(remaining[chosen].failureDomain);
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return addresses;
}

} // namespace almondnotch
