#include "decision/routing/request_limit_share.h"

#include <algorithm>

#include "core/mechanisms.h"
#include "decision/fleet/rendezvous.h"
#include "decision/routing/request_pacer.h"

namespace almondnotch {

namespace {

/// Number of gateways that may use a worker: this many in any case, and this many more for each
/// request per second of its limit. With k gateways and limit L, a worker gets at most
/// 4 L + k * request_pacer::capacity requests in 4 s; it has to bear 6 L + 5.
constexpr double gatewaysMin = 5 / request_pacer::capacity;
constexpr double gatewaysPerRequestRate = 2 / request_pacer::capacity;

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

double shareOfRequestLimit(double limit, const published_worker &worker, const gateway_group &group)
{
    if (!isMechanismEnabled("request_limit_share"))
        return limit;
    const std::vector<std::string> users = candidates(group, worker.failureDomain);
    if (std::find(users.begin(), users.end(), group.self) == users.end())
        return 0;
    const double usersMax = gatewaysMin + gatewaysPerRequestRate * limit;
    const std::string key = "limit/" + worker.name;
    const double ownScore = rendezvousScore(key, group.self);
    const std::ptrdiff_t rank
        = std::count_if(users.begin(), users.end(), [&key, ownScore](const std::string &vm) {
              return rendezvousScore(key, vm) > ownScore;
          });
    if (static_cast<double>(rank) + 1 > usersMax)
        return 0;
    const std::size_t known = std::max<std::size_t>(users.size(), group.countMin);
    return limit / std::min(static_cast<double>(known), usersMax);
}

} // namespace almondnotch
