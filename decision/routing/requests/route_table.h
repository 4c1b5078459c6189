#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/random_source.h"
#include "decision/routing/items/published.h"

namespace almondnotch {

/// Finds the route of a request in one version of the configuration. Immutable except for the
/// round-robin state of routes with several targets.
class route_table
{
public:
    explicit route_table(shared_route_config config);

    const shared_route_config &config() const { return m_config; }

    /// Finds the host's route with the longest matching path prefix; null if none matches.
    /// \param target path with query.
    const host_route *find(std::string_view host, std::string_view target) const;

    /// Selects the next target of a route by smooth weighted round robin, so that any sequence of
    /// requests is split according to the weights. The initial state is random; otherwise many
    /// processes with few requests each would all start with the heaviest target.
    const route_target &nextTarget(const host_route &route, random_source &random);

private:
    shared_route_config m_config;
    /// Routes by host, longest prefix first.
    std::map<std::string, std::vector<const host_route *>, std::less<>> m_byHost;
    /// Current weights of smooth weighted round robin, by route name and target index.
    std::map<std::string, std::vector<double>> m_currentWeights;
};

} // namespace almondnotch
