#pragma once

#include <limits>
#include <string>
#include <vector>

#include "decision/routing/items/published.h"

namespace almondnotch {

/// VM and failure domain of a gateway.
struct gateway_location
{
    std::string vm;
    std::string failureDomain;

    bool operator==(const gateway_location &) const = default;
};

/// The gateways among which the request limits of workers are divided.
struct gateway_group
{
    /// VM of this gateway.
    std::string self;
    /// All gateways that may still run, including this one.
    std::vector<gateway_location> gateways;
    /// Number of gateways to assume at least, while not all of them are known.
    unsigned countMin = 1;

    bool operator==(const gateway_group &) const = default;
};

/// This gateway's share of the request limit of a worker.
struct request_limit_share
{
    /// Infinity for no limit; 0 if this gateway must not use the worker.
    double requestsPerSecond = std::numeric_limits<double>::infinity();
    /// Number of requests that may be saved for a burst, at least 1.
    double burst = 1;

    bool operator==(const request_limit_share &) const = default;
};

/// Divides the request limit of a worker.
///
/// The gateways of the worker's failure domain divide the limit equally; if there are none, all
/// gateways do. All of them may send a burst at the same moment, so for a low limit only some of
/// them, selected by rendezvous hashing, use the worker. Gateways that know different sets of each
/// other select different users, so the planned bursts leave a margin for additional users.
/// \param limit requests per second that the worker accepts from all gateways together.
request_limit_share shareOfRequestLimit(double limit, const published_worker &worker,
                                        const gateway_group &group);

} // namespace almondnotch
