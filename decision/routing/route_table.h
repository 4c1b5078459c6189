#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/random_source.h"
#include "decision/routing/published.h"

namespace almondnotch {

/// Finds the route of a request in one version of the configuration. Immutable but for the shares
/// of split routes that were handed out.
class route_table
{
public:
    explicit route_table(shared_route_config config);

    const shared_route_config &config() const { return m_config; }

    /// The host's route with the longest prefix of the path; null if none matches.
    /// \param target path with query.
    const host_route *find(std::string_view host, std::string_view target) const;

    /// The target whose turn it is, so that any run of requests is shared by the weights (smooth
    /// weighted round robin). The first turn of a process is random, so that many processes with
    /// few requests each do not all begin with the heaviest target.
    const route_target &nextTarget(const host_route &route, random_source &random);

private:
    shared_route_config m_config;
    /// Routes by host, the longest prefix first.
    std::map<std::string, std::vector<const host_route *>, std::less<>> m_byHost;
    std::map<std::string, std::vector<double>> m_credits;
};

} // namespace almondnotch
