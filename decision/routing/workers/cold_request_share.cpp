#include "decision/routing/workers/cold_request_share.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "decision/fleet/rendezvous.h"

namespace almondnotch {

namespace {

/// Fraction of the bound that is planned for. The rest is for additional users.
constexpr double plannedFraction = 0.25;
/// How much less than a whole number of requests per second a gateway sends, so that a request
/// which is sent late does not share a second with one more than planned.
constexpr double rateMargin = 0.05;
constexpr request_limit_share nothing {0, 0};

/// The gateways that compete for one worker.
struct competition
{
    std::vector<std::string> vms;
    bool isLocal = false;
};

competition competitionFor(const published_worker &worker, const gateway_group &group)
{
    competition local {{}, true};
    competition all;
    for (const gateway_location &gateway : group.gateways) {
        all.vms.push_back(gateway.vm);
        if (gateway.failureDomain == worker.failureDomain)
            local.vms.push_back(gateway.vm);
    }
    return local.vms.empty() ? all : local;
}

/// Number of gateways that come before this one, including those of the unknown ones that are
/// expected to.
double expectedRank(const published_worker &worker, const competition &competitors,
                    const gateway_group &group)
{
    const std::string key = "cold/" + worker.name;
    const double ownScore = rendezvousScore(key, group.self);
    const std::ptrdiff_t before = std::count_if(
        competitors.vms.begin(), competitors.vms.end(),
        [&key, ownScore](const std::string &vm) { return rendezvousScore(key, vm) > ownScore; });
    const double unknown = std::max(0.0, static_cast<double>(group.countMin)
                                             - static_cast<double>(group.gateways.size()));
    // A score of weight 1 is -1 / ln(u), with u distributed evenly between 0 and 1.
    const double probabilityOfHigher = 1 - std::exp(-1 / ownScore);
    return static_cast<double>(before) + unknown * probabilityOfHigher;
}

} // namespace

request_limit_share shareOfColdRequests(double rate, const cold_request_bounds &bounds,
                                        const published_worker &worker, const gateway_group &group)
{
    const double bound = rate * bounds.overshoot + bounds.slack;
    if (bound < 1)
        return nothing;
    const competition competitors = competitionFor(worker, group);
    if (std::find(competitors.vms.begin(), competitors.vms.end(), group.self)
        == competitors.vms.end())
        return nothing;
    const double planned = std::max(1.0, plannedFraction * bound);
    const double usersMax = competitors.isLocal ? std::floor(planned) : 1;
    if (expectedRank(worker, competitors, group) + 1 > usersMax)
        return nothing;
    const double known = std::max(static_cast<double>(competitors.vms.size()),
                                  static_cast<double>(group.countMin));
    const double users = std::min(known, usersMax);
    // A bucket of one request lets n requests pass in a second if its rate is less than n.
    const double requestsEach = competitors.isLocal ? std::floor(planned / users) : 1;
    return {std::min(rate / users, requestsEach - rateMargin), 1};
}

} // namespace almondnotch
