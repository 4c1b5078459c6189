#include "servers/peer_link/item_codec.h"

#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace almondnotch {

namespace {

namespace wire = peer::v1;

tl::unexpected<error> malformed(std::string_view message)
{
    return fail(error_code::invalid_message, "decode items", {}, message);
}

void encode(const published_worker &worker, wire::PublishedWorker &out)
{
    out.set_name(worker.name);
    out.set_address(worker.address);
    out.set_service(worker.service);
    out.set_failure_domain(worker.failureDomain);
    out.set_slots(worker.slots);
    out.set_leaving(worker.leaving);
    out.set_warm_up_left_us(worker.warmUpLeft.count());
    out.set_started_unix_ms(worker.startedUnixMs);
}

published_worker decode(const wire::PublishedWorker &in)
{
    published_worker worker;
    worker.name = in.name();
    worker.address = in.address();
    worker.service = in.service();
    worker.failureDomain = in.failure_domain();
    worker.slots = in.slots();
    worker.leaving = in.leaving();
    worker.warmUpLeft = duration(in.warm_up_left_us());
    worker.startedUnixMs = in.started_unix_ms();
    return worker;
}

void encode(const host_route &route, wire::HostRoute &out)
{
    out.set_name(route.name);
    out.set_host(route.host);
    out.set_prefix(route.prefix);
    out.set_at_most_once(route.delivery == delivery_semantics::at_most_once);
    out.set_timeout_us(route.timeout.count());
    out.set_latency_objective_us(route.latencyObjective.count());
    out.set_priority(route.priority);
    out.set_attempts_max(route.attemptsMax);
    for (const route_target &target : route.targets) {
        wire::RouteTarget &added = *out.add_targets();
        added.set_service(target.service);
        added.set_weight(target.weight);
    }
}

result<host_route> decode(const wire::HostRoute &in)
{
    host_route route;
    route.name = in.name();
    route.host = in.host();
    route.prefix = in.prefix();
    route.delivery
        = in.at_most_once() ? delivery_semantics::at_most_once : delivery_semantics::idempotent;
    route.timeout = duration(in.timeout_us());
    route.latencyObjective = duration(in.latency_objective_us());
    route.priority = in.priority();
    route.attemptsMax = in.attempts_max();
    for (const wire::RouteTarget &target : in.targets()) {
        if (!std::isfinite(target.weight()) || target.weight() < 0)
            return malformed("a target has a weight that is negative or not finite");
        route.targets.push_back({target.service(), target.weight()});
    }
    if (route.targets.empty())
        return malformed("a route has no target");
    return route;
}

void encode(const route_config &config, wire::RouteConfig &out)
{
    out.set_version(config.version);
    for (const host_route &route : config.routes)
        encode(route, *out.add_routes());
    for (const std::pair<const std::string, service_spec> &entry : config.services) {
        wire::ServiceSpec &added = *out.add_services();
        added.set_name(entry.first);
        added.set_health_path(entry.second.healthPath);
        added.set_connections_max(entry.second.connectionsMax);
        added.set_warm_up_time_us(entry.second.warmUpTime.count());
        added.set_cold_requests_per_second(entry.second.coldRequestsPerSecond);
    }
    wire::CallerLimits &limits = *out.mutable_limits();
    limits.set_header_bytes_max(config.limits.headerBytesMax);
    limits.set_body_bytes_max(config.limits.bodyBytesMax);
    limits.set_header_timeout_us(config.limits.headerTimeout.count());
    limits.set_idle_timeout_us(config.limits.idleTimeout.count());
}

result<shared_route_config> decode(const wire::RouteConfig &in)
{
    if (static_cast<std::size_t>(in.routes_size()) > updateRoutesMax)
        return malformed("a configuration has more routes than an update may contain");
    route_config config;
    config.version = in.version();
    for (const wire::HostRoute &route : in.routes()) {
        result<host_route> decoded = decode(route);
        if (!decoded)
            return tl::unexpected(decoded.error());
        config.routes.push_back(std::move(*decoded));
    }
    for (const wire::ServiceSpec &spec : in.services()) {
        if (!std::isfinite(spec.cold_requests_per_second()) || spec.cold_requests_per_second() < 0)
            return malformed("a service has a rate that is negative or not finite");
        config.services[spec.name()]
            = {spec.health_path(), spec.connections_max(), duration(spec.warm_up_time_us()),
               spec.cold_requests_per_second()};
    }
    config.limits.headerBytesMax = in.limits().header_bytes_max();
    config.limits.bodyBytesMax = in.limits().body_bytes_max();
    config.limits.headerTimeout = duration(in.limits().header_timeout_us());
    config.limits.idleTimeout = duration(in.limits().idle_timeout_us());
    return std::make_shared<const route_config>(std::move(config));
}

std::optional<item_scope> decode(wire::ItemScope scope)
{
    switch (scope) {
    case wire::ITEM_SCOPE_CONFIGURATION:
        return item_scope::configuration;
    case wire::ITEM_SCOPE_WORKERS:
        return item_scope::workers;
    default:
        return std::nullopt;
    }
}

result<published_item> decode(const wire::PublishedItem &in)
{
    published_item item;
    item.name = in.name();
    item.revision = in.revision();
    item.removed = in.removed();
    item.fault = in.fault();
    item.evacuatedDomain = in.evacuated_domain();
    if (in.has_worker())
        item.worker = decode(in.worker());
    if (in.has_config()) {
        const result<shared_route_config> config = decode(in.config());
        if (!config)
            return tl::unexpected(config.error());
        item.config = *config;
    }
    return item;
}

} // namespace

void encodeItems(const items_update &update, wire::ItemsUpdate &out)
{
    out.set_scope(update.scope == item_scope::configuration ? wire::ITEM_SCOPE_CONFIGURATION
                                                            : wire::ITEM_SCOPE_WORKERS);
    out.set_era(update.era);
    out.set_after_revision(update.afterRevision);
    out.set_revision(update.revision);
    out.set_list_difference(update.isListDifference);
    for (const published_item &item : update.items) {
        wire::PublishedItem &added = *out.add_items();
        added.set_name(item.name);
        added.set_revision(item.revision);
        added.set_removed(item.removed);
        added.set_fault(item.fault);
        added.set_evacuated_domain(item.evacuatedDomain);
        if (item.config)
            encode(*item.config, *added.mutable_config());
        if (item.worker)
            encode(*item.worker, *added.mutable_worker());
    }
}

result<items_update> decodeItems(const wire::ItemsUpdate &in)
{
    const std::optional<item_scope> scope = decode(in.scope());
    if (!scope)
        return malformed("an update has an unknown scope");
    if (static_cast<std::size_t>(in.items_size()) > updateItemsMax)
        return malformed("an update has more items than it may contain");
    items_update update;
    update.scope = *scope;
    update.era = in.era();
    update.afterRevision = in.after_revision();
    update.revision = in.revision();
    update.isListDifference = in.list_difference();
    for (const wire::PublishedItem &item : in.items()) {
        result<published_item> decoded = decode(item);
        if (!decoded)
            return tl::unexpected(decoded.error());
        update.items.push_back(std::move(*decoded));
    }
    return update;
}

} // namespace almondnotch
