#include "decision/routing/workers/request_limit_share.h"

#include <algorithm>

#include "core/mechanisms.h"
#include "decision/fleet/rendezvous.h"

namespace almondnotch {

namespace {

/// A worker with limit L gets at most 4 L requests and the bursts of all its users in 4 s, and has
/// to bear 6 L + 5. The bursts may sum up to this number, and this many more for each request per
/// second of the limit.
constexpr double burstsBorne = 5;
constexpr double burstsBornePerRequestRate = 2;
/// Fraction of the bursts that the worker bears which is planned for. The rest is a margin.
constexpr double plannedBurstFraction = 0.5;
/// Range of the burst of one gateway, in requests.
constexpr double burstMin = 1;
constexpr double burstMax = 2;

/// VMs of the gateways in a failure domain, or of all gateways if it has none.
std::vector<std::string> candidates(const gateway_group &group, const std::string &failureDomain)
{
    std::vector<std::string> local;
    std::vector<std::string> all;
    for (const gateway_location &gateway : group.gateways) {
        all.push_back(gateway.vm);
        if (gateway.failureDomain == failureDomain)
            local.push_back(gateway.vm);
    }
    return local.empty() ? all : local;
}

} // namespace

request_limit_share shareOfRequestLimit(double limit, const published_worker &worker,
                                        const gateway_group &group)
{
    if (!isMechanismEnabled("request_limit_share"))
        return {limit, burstMax};
    const std::vector<std::string> users = candidates(group, worker.failureDomain);
    if (std::find(users.begin(), users.end(), group.self) == users.end())
        return {0, burstMin};
    const double bursts = plannedBurstFraction * (burstsBorne + burstsBornePerRequestRate * limit);
    const double usersMax = bursts / burstMin;
    const std::string key = "limit/" + worker.name;
    const double ownScore = rendezvousScore(key, group.self);
    const std::ptrdiff_t rank
        = std::count_if(users.begin(), users.end(), [&key, ownScore](const std::string &vm) {
              return rendezvousScore(key, vm) > ownScore;
          });
    if (static_cast<double>(rank) + 1 > usersMax)
        return {0, burstMin};
    const std::size_t known = std::max<std::size_t>(users.size(), group.countMin);
    const double userCount = std::min(static_cast<double>(known), usersMax);
    return {limit / userCount, std::clamp(bursts / userCount, burstMin, burstMax)};
}

} // namespace almondnotch
