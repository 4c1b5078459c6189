#pragma once

#include "decision/routing/items/published.h"
#include "decision/routing/workers/request_limit_share.h"

namespace almondnotch {

/// What all gateways together may send to a cold worker in any second, beyond the rate that its
/// service names.
struct cold_request_bounds
{
    /// Factor on the rate.
    double overshoot = 1;
    /// Requests in addition.
    double slack = 0;

    bool operator==(const cold_request_bounds &) const = default;
};

/// Divides the requests that a cold worker may get in any second, without messages between the
/// gateways.
///
/// Some gateways, selected by rendezvous hashing, use the worker: those of its failure domain, or
/// one of all if none is known there. If the bound allows one request for each of them, a user
/// sends less than one a second, so that a second holds no more requests than there are users.
/// Gateways that know different sets of each other select different users, so only a fraction of
/// the bound is planned for. While a gateway may know few others, it counts the unknown ones as
/// competitors. \param rate requests per second that a cold worker of the service tolerates.
request_limit_share shareOfColdRequests(double rate, const cold_request_bounds &bounds,
                                        const published_worker &worker, const gateway_group &group);

} // namespace almondnotch
