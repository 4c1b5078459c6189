#include "config/describe.h"

#include <sstream>

namespace almondnotch {

namespace {

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::string formatMilliseconds(duration length)
{
    return formatNumber(static_cast<double>(length.count()) / 1000);
}

std::string quoted(const std::string &value)
{
    return "\"" + value + "\"";
}

std::string formatList(const std::vector<std::string> &values)
{
    std::string out;
    for (const std::string &value : values)
        out += (out.empty() ? "" : ", ") + quoted(value);
    return "[" + out + "]";
}

} // namespace

std::vector<object_field> describeFields(const fleet_limits &object)
{
    return {{"max_gateways", std::to_string(object.maxGateways)},
            {"entry_keep_ms", formatMilliseconds(object.entryCacheTime)},
            {"selection", quoted(object.selection)}};
}

std::vector<object_field> describeFields(const failure_domain &object)
{
    return {{"region", quoted(object.region)},
            {"one_way_ms", formatMilliseconds(object.oneWayDelay)}};
}

std::vector<object_field> describeFields(const entry_vm &object)
{
    return {{"failure_domain", quoted(object.failureDomain)},
            {"entry_address", quoted(object.entryAddress)},
            {"peer_address", quoted(object.peerAddress)}};
}

std::vector<object_field> describeFields(const probe_budget_config &object)
{
    return {{"probes_per_second", formatNumber(object.probesPerSecond)},
            {"bytes_per_second", formatNumber(object.bytesPerSecond)}};
}

std::vector<object_field> describeFields(const priority_class &object)
{
    return {{"rank", std::to_string(object.rank)}};
}

std::vector<object_field> describeFields(const worker_group &object)
{
    return {{"budget", quoted(object.budget)},
            {"slots", std::to_string(object.slots)},
            {"connections", std::to_string(object.connections)},
            {"ejection_share_max", formatNumber(object.ejectionShareMax)}};
}

std::vector<object_field> describeFields(const worker_config &object)
{
    return {{"group", quoted(object.group)},
            {"failure_domain", quoted(object.failureDomain)},
            {"vm", quoted(object.vm)},
            {"address", quoted(object.address)}};
}

std::vector<object_field> describeFields(const service_config &object)
{
    return {{"group", quoted(object.group)},
            {"class", quoted(object.priorityClass)},
            {"timeout_ms", formatMilliseconds(object.timeout)},
            {"retry_budget", formatNumber(object.retryBudget)},
            {"hedge_budget", formatNumber(object.hedgeBudget)},
            {"fallback", quoted(object.fallback)}};
}

std::vector<object_field> describeFields(const routing_rule &object)
{
    return {{"path_prefix", quoted(object.pathPrefix)},
            {"methods", formatList(object.methods)},
            {"service", quoted(object.service)},
            {"idempotent", object.idempotent ? "true" : "false"}};
}

} // namespace almondnotch
