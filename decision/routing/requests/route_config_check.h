#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "decision/routing/items/published.h"

namespace almondnotch {

/// What a finding about a configuration means for the operator.
enum class finding_kind {
    /// Requests that the operator means to serve would be refused.
    error,
    /// An entry that no request can reach.
    never_matches,
    /// Two limits that cannot both have an effect.
    contradiction,
};

/// Name of the kind in the output of tools.
std::string_view toString(finding_kind kind);

/// One finding about a configuration.
struct config_finding
{
    finding_kind kind = finding_kind::error;
    /// What it is about, such as "route r-1".
    std::string subject;
    std::string message;

    bool operator==(const config_finding &) const = default;
};

/// Checks a configuration that could be decoded: errors, entries that can never match, and limits
/// that contradict each other. \return the findings by kind, then in the order of the entries.
std::vector<config_finding> checkRouteConfig(const route_config &config);

/// What differs between two versions of a configuration, one sentence a difference: routes and
/// services that were added, removed or changed, and limits.
std::vector<std::string> describeDifferences(const route_config &inForce,
                                             const route_config &changed);

} // namespace almondnotch
