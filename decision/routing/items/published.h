#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// Entry that a worker publishes about itself in the platform's store.
struct published_worker
{
    std::string name;
    /// "ip:port".
    std::string address;
    std::string service;
    std::string failureDomain;
    /// Maximum number of requests that the worker executes concurrently.
    unsigned slots = 1;
    /// The worker is draining: it accepts no new requests and will exit soon.
    bool leaving = false;
    /// Remaining warm-up time at the time the entry was written. The worker is slower than usual
    /// during this time.
    duration warmUpLeft {0};
    /// Start time of the worker, milliseconds since 1970 (Unix epoch); 0 if unknown. A different
    /// value means that the worker was restarted.
    std::int64_t startedUnixMs = 0;

    bool operator==(const published_worker &) const = default;
};

/// Whether a request of a route may be executed more than once.
enum class delivery_semantics { idempotent, at_most_once };

/// A service that receives a share of a route's requests.
struct route_target
{
    std::string service;
    /// Relative weight among the targets of the route.
    double weight = 1;

    bool operator==(const route_target &) const = default;
};

/// Matches requests by host and path prefix, and sets how they are handled.
struct host_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    delivery_semantics delivery = delivery_semantics::at_most_once;
    /// Maximum time until the caller gets a response.
    duration timeout {0};
    /// Latency objective: a response within this time has its full value for the caller; a later
    /// one loses most of it.
    duration latencyObjective {0};
    /// Lower values are more urgent; 0 is the most urgent.
    unsigned priority = 0;
    /// Maximum number of attempts of a request, including the first one. Attempts that certainly
    /// were not executed do not count.
    unsigned attemptsMax = 1;
    std::vector<route_target> targets;

    bool operator==(const host_route &) const = default;
};

/// Properties common to all workers of a service.
struct service_spec
{
    std::string healthPath;
    /// Maximum number of connections that one worker accepts from all gateways together.
    unsigned connectionsMax = 1;
    /// How long a worker stays cold after its start; 0 if workers of the service are never cold.
    duration warmUpTime {0};
    /// Requests per second that a cold worker tolerates from all gateways together; 0 if the
    /// service names no limit.
    double coldRequestsPerSecond = 0;

    bool operator==(const service_spec &) const = default;
};

/// Limits on the requests and connections of callers.
struct caller_limits
{
    std::size_t headerBytesMax = 16384;
    std::size_t bodyBytesMax = std::size_t {64} * 1024 * 1024;
    duration headerTimeout {seconds(3)};
    duration idleTimeout {seconds(15)};

    bool operator==(const caller_limits &) const = default;
};

/// A complete version of the operator's configuration.
struct route_config
{
    std::uint64_t version = 0;
    std::vector<host_route> routes;
    std::map<std::string, service_spec> services;
    caller_limits limits;

    bool operator==(const route_config &) const = default;
};

using shared_route_config = std::shared_ptr<const route_config>;

/// Parts of the platform's store that are read independently of each other. The configuration scope
/// holds everything that operators write: the configuration and the evacuations.
enum class item_scope { configuration, workers };

/// An item read from the platform's store, or its removal.
struct published_item
{
    /// Name of the item within its scope.
    std::string name;
    /// Revision of the store at which the item was last changed; 0 if unknown.
    std::uint64_t revision = 0;
    bool removed = false;
    /// Set if the item is a valid configuration.
    shared_route_config config;
    /// Set if the item is a valid worker entry.
    std::optional<published_worker> worker;
    /// Reason why the item cannot be used; empty if it is valid or was removed.
    std::string fault;
    /// What was not understood in an item that can be used; empty if there is nothing.
    std::string warning {};
    /// Failure domain whose evacuation the item requests, or no longer requests if it was removed;
    /// empty for all other items.
    std::string evacuatedDomain {};
    /// The item could not be used before either. Set by the reader that received it.
    bool isFaultKnown = false;

    bool isUnusable() const { return !fault.empty(); }
};

/// Response to a list or watch of published items.
struct item_page
{
    std::vector<published_item> items;
    /// Number of further items in the response that are none of the scope's.
    std::size_t ignoredCount = 0;
    /// Key after which the next page of the list begins.
    std::string lastKey;
    bool hasMore = false;
    /// Revision up to which the response is complete.
    std::uint64_t revision = 0;
    /// Number of times that the store was restored from a copy; 0 if it does not say. Revisions can
    /// only be compared within one era.
    std::uint64_t era = 0;
    /// The watch asked for changes that the store has already compacted.
    bool historyLost = false;
    /// The changes that the watch asked for are too large to be read one by one. They have to be
    /// read with a list, in which each item occurs once. The page holds no items.
    bool changesTooLarge = false;
};

} // namespace almondnotch
