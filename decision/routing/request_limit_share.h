#pragma once

#include <string>
#include <vector>

#include "decision/routing/published.h"

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

/// Rate at which this gateway may send requests to a worker that limits them, in requests per
/// second.
///
/// The gateways of the worker's failure domain divide the limit equally; if there are none, all
/// gateways do. All of them may send a burst at the same moment, so for a low limit only some of
/// them, selected by rendezvous hashing, use the worker. The others get 0.
/// \param limit requests per second that the worker accepts from all gateways together.
double shareOfRequestLimit(double limit, const published_worker &worker,
                           const gateway_group &group);

} // namespace almondnotch
