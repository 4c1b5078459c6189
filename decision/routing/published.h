#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// What a worker says of itself in the platform's store.
struct published_worker
{
    std::string name;
    /// "ip:port".
    std::string address;
    std::string service;
    std::string failureDomain;
    /// Requests that the worker runs at once.
    unsigned slots = 1;
    /// The worker ends soon and takes no new work.
    bool leaving = false;
    /// How much longer the worker is slow after its start, when the entry was written.
    duration warmUpLeft {0};
    /// Start of the worker, milliseconds since 1970; another value is another run. 0 if unknown.
    std::int64_t startedUnixMs = 0;

    bool operator==(const published_worker &) const = default;
};

/// Whether requests of a route may run more than once.
enum class delivery_semantics { idempotent, at_most_once };

/// A service that a route sends a share of its requests to.
struct route_target
{
    std::string service;
    /// Share in proportion to the weights of the route's other targets.
    double weight = 1;

    bool operator==(const route_target &) const = default;
};

/// Requests of one host whose path begins with a prefix, and how they are treated.
struct host_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    delivery_semantics delivery = delivery_semantics::at_most_once;
    /// Longest time that a caller is kept waiting.
    duration timeout {0};
    /// Response time up to which a response has its full value.
    duration latencyObjective {0};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Workers that one request may be sent to, the first included.
    unsigned attemptsMax = 1;
    std::vector<route_target> targets;

    bool operator==(const host_route &) const = default;
};

/// How the workers of a service are reached.
struct service_spec
{
    std::string healthPath;
    /// Connections that one worker accepts from all gateways together.
    unsigned connectionsMax = 1;

    bool operator==(const service_spec &) const = default;
};

/// Bounds of what callers may send.
struct caller_limits
{
    std::size_t headerBytesMax = 16384;
    std::size_t bodyBytesMax = std::size_t {64} * 1024 * 1024;
    duration headerTimeout {seconds(3)};
    duration idleTimeout {seconds(15)};

    bool operator==(const caller_limits &) const = default;
};

/// One whole version of the operator's configuration.
struct route_config
{
    std::uint64_t version = 0;
    std::vector<host_route> routes;
    std::map<std::string, service_spec> services;
    caller_limits limits;

    bool operator==(const route_config &) const = default;
};

using shared_route_config = std::shared_ptr<const route_config>;

/// Parts of the platform's store that are read apart from each other.
enum class item_scope { configuration, workers };

/// An item as it was written, or its removal.
struct published_item
{
    /// Name of the item within its scope.
    std::string name;
    std::uint64_t revision = 0;
    bool removed = false;
    /// Set for a readable configuration.
    shared_route_config config;
    /// Set for a readable entry of a worker.
    std::optional<published_worker> worker;
    /// Why the item cannot be used; empty if it can, or if it was removed.
    std::string fault;
};

/// Response to a read of published items.
struct item_page
{
    std::vector<published_item> items;
    /// Key after which the next page of a list begins.
    std::string lastKey;
    bool hasMore = false;
    /// Revision up to which the store has told everything.
    std::uint64_t revision = 0;
    /// A watch asked for changes that the store no longer has.
    bool historyLost = false;
};

} // namespace almondnotch
