#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "core/time.h"
#include "decision/routing/items/published.h"
#include "decision/routing/requests/routed_request.h"
#include "decision/routing/workers/worker_pool.h"

namespace almondnotch {

/// Service times of the routes, learned from their responses.
class service_times
{
public:
    /// Service time expected on an idle worker at normal speed, at least 1 ms.
    duration expected(const host_route &route);
    /// Learns from a response, and adds a sample of the slowdown near saturation to the pool.
    void record(instant now, const host_route &route, const routed_attempt &attempt,
                worker_pool &pool);
    nlohmann::json dump() const;

private:
    struct route_statistics
    {
        /// Moving average of the service time on an idle worker at normal speed.
        duration serviceTime {0};
        /// Number of responses that `serviceTime` is based on.
        unsigned sampleCount = 0;
    };

    std::map<std::string, route_statistics, std::less<>> m_routes;
};

} // namespace almondnotch
