#pragma once

#include "core/time.h"
#include "decision/routing/items/published.h"
#include "decision/routing/workers/cold_request_share.h"
#include "decision/routing/workers/pooled_worker.h"

namespace almondnotch {

/// Decides which workers are cold and keeps this gateway's share of what they may get.
///
/// Only workers of a service that names the rate that a cold worker tolerates are limited, and only
/// what is said of them changes their warm-up. All others keep the warm-up that their first entry
/// names.
class cold_limits
{
public:
    explicit cold_limits(const cold_request_bounds &bounds) : m_bounds(bounds) { }

    /// `update` must follow for each worker, also after `setGatewayGroup`.
    void setConfig(shared_route_config config) { m_config = std::move(config); }
    void setGatewayGroup(const gateway_group &group) { m_group = group; }

    /// Computes the share of the worker anew.
    void update(instant now, pooled_worker &worker) const;
    /// The worker's entry has changed what it says about the warm-up, which can only prolong it:
    /// the worker may have said more since it was written.
    void entrySaid(instant now, pooled_worker &worker) const;
    /// A response of the worker says how much longer it stays cold; 0 if it is warm.
    void workerSaid(instant now, pooled_worker &worker, duration left) const;
    /// The worker got no requests and may have become cold.
    void evacuationEnded(instant now, pooled_worker &worker) const;

private:
    const service_spec *specOf(const pooled_worker &worker) const;
    void prolong(instant now, pooled_worker &worker, duration left) const;

    cold_request_bounds m_bounds;
    shared_route_config m_config;
    gateway_group m_group;
};

} // namespace almondnotch
