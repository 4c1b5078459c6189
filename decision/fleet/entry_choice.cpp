#include "decision/fleet/entry_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

#include "decision/fleet/rendezvous.h"

namespace almondnotch {

namespace {

constexpr std::size_t preferredDomains = 3;

double meanCalls(const std::vector<entry_candidate> &candidates)
{
    double sum = 0;
    for (const entry_candidate &candidate : candidates)
        sum += candidate.callsInProgress;
    return sum / static_cast<double>(candidates.size());
}

/// Weight of a gateway by its reported load. The range is narrow, since the reports are seconds
/// old: a wide one would send all callers to the gateway that was idle once.
double loadWeight(const entry_candidate &candidate, double mean)
{
    return std::clamp((mean + 4) / (candidate.callsInProgress + 4.0), 0.5, 2.0);
}

} // namespace

std::vector<entry_candidate> preferredGateways(std::string_view service,
                                               std::vector<entry_candidate> candidates)
{
    if (candidates.size() <= entryWholeFleetMax)
        return candidates;
    const double mean = meanCalls(candidates);
    std::vector<std::pair<double, std::size_t>> scores;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // Only clearly overloaded gateways lose services; a finer scale would move services with
        // every report.
        const double calls = candidates[i].callsInProgress;
        const double weight = calls > 16 && calls > 1.5 * mean ? 0.5 : 1.0;
        scores.emplace_back(rendezvousScore(service, candidates[i].vm, weight), i);
    }
    std::sort(scores.begin(), scores.end(), std::greater<> {});
    std::vector<entry_candidate> chosen;
    std::set<std::string> domains;
    for (const std::pair<double, std::size_t> &score : scores) {
        const entry_candidate &candidate = candidates[score.second];
        const std::size_t left = entryPreferredGateways - chosen.size();
        const std::size_t domainsLacking
            = preferredDomains - std::min(preferredDomains, domains.size());
        // The last places are kept for domains that are not represented yet.
        if (left <= domainsLacking && domains.contains(candidate.failureDomain))
            continue;
        domains.insert(candidate.failureDomain);
        chosen.push_back(candidate);
        if (chosen.size() == entryPreferredGateways)
            break;
    }
    return chosen;
}

std::size_t entry_choice::draw(const std::vector<double> &weights)
{
    double point = m_random.uniform() * std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t i = 0; i < weights.size(); ++i) {
        point -= weights[i];
        if (point < 0)
            return i;
    }
    return weights.size() - 1;
}

double entry_choice::handedOut(instant now, const std::string &address, duration keep) const
{
    const auto found = m_handedOut.find(address);
    if (found == m_handedOut.end())
        return 0;
    return found->second.callers
           * std::exp(-toSeconds(now - found->second.at) / std::max(0.001, toSeconds(keep)));
}

std::vector<std::string> entry_choice::choose(instant now, std::string_view service,
                                              std::vector<entry_candidate> candidates,
                                              duration keep)
{
    // Addresses of gateways that are no longer candidates are forgotten now and then.
    if (m_handedOut.size() > 2 * candidates.size() + entryAddressesMax)
        std::erase_if(m_handedOut, [&](const std::pair<const std::string, handed_out> &entry) {
            return handedOut(now, entry.first, keep) < 0.01
                   || std::none_of(candidates.begin(), candidates.end(),
                                   [&](const entry_candidate &candidate) {
                                       return candidate.entryAddress == entry.first;
                                   });
        });
    std::vector<std::string> addresses;
    std::vector<entry_candidate> left = preferredGateways(service, std::move(candidates));
    std::set<std::string> usedDomains;
    while (!left.empty() && addresses.size() < entryAddressesMax) {
        const double mean = meanCalls(left);
        std::vector<double> weights;
        weights.reserve(left.size());
        bool otherDomain = false;
        for (const entry_candidate &candidate : left)
            otherDomain = otherDomain || !usedDomains.contains(candidate.failureDomain);
        for (const entry_candidate &candidate : left)
            weights.push_back(otherDomain && usedDomains.contains(candidate.failureDomain)
                                  ? 0
                                  : loadWeight(candidate, mean));
        std::size_t chosen = draw(weights);
        if (addresses.empty()) {
            // Power of two choices on what this gateway itself handed out, which is never stale.
            const std::size_t other = draw(weights);
            const double chosenLoad
                = handedOut(now, left[chosen].entryAddress, keep) / weights[chosen];
            const double otherLoad
                = handedOut(now, left[other].entryAddress, keep) / weights[other];
            if (otherLoad < chosenLoad)
                chosen = other;
            const double before = handedOut(now, left[chosen].entryAddress, keep);
            m_handedOut[left[chosen].entryAddress] = {before + 1, now};
        }
        addresses.push_back(left[chosen].entryAddress);
        usedDomains.insert(left[chosen].failureDomain);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return addresses;
}

} // namespace almondnotch
