#include "decision/routing/requests/route_table.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

route_table::route_table(shared_route_config config) : m_config(std::move(config))
{
    for (const host_route &route : m_config->routes)
        m_byHost[route.host].push_back(&route);
    for (std::pair<const std::string, std::vector<const host_route *>> &entry : m_byHost)
        std::stable_sort(entry.second.begin(), entry.second.end(),
                         [](const host_route *left, const host_route *right) {
                             return left->prefix.size() > right->prefix.size();
                         });
}

const host_route *route_table::find(std::string_view host, std::string_view target) const
{
    const auto found = m_byHost.find(host);
    if (found == m_byHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const host_route *route : found->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

const route_target &route_table::nextTarget(const host_route &route, random_source &random)
{
    if (route.targets.size() == 1)
        return route.targets.front();
    double total = 0;
    for (const route_target &target : route.targets)
        total += target.weight;
    std::vector<double> &currentWeights = m_currentWeights[route.name];
    if (currentWeights.size() != route.targets.size()) {
        currentWeights.clear();
        for (std::size_t i = 0; i < route.targets.size(); ++i)
            currentWeights.push_back((random.uniform() - 0.5) * total);
    }
    for (std::size_t i = 0; i < currentWeights.size(); ++i)
        currentWeights[i] += route.targets[i].weight;
    const auto first = std::max_element(currentWeights.begin(), currentWeights.end());
    *first -= total;
    return route.targets[static_cast<std::size_t>(first - currentWeights.begin())];
}

} // namespace almondnotch
