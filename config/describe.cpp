#include "config/describe.h"

#include <sstream>

namespace almondnotch {

namespace {

std::string number(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::string inMilliseconds(duration length)
{
    return number(static_cast<double>(length.count()) / 1000);
}

std::string text(const std::string &value)
{
    return "\"" + value + "\"";
}

std::string list(const std::vector<std::string> &values)
{
    std::string out;
    for (const std::string &value : values)
        out += (out.empty() ? "" : ", ") + text(value);
    return "[" + out + "]";
}

} // namespace

std::vector<object_field> describeFields(const fleet_limits &object)
{
    return {{"max_gateways", std::to_string(object.maxGateways)},
            {"entry_keep_ms", inMilliseconds(object.entryCacheTime)},
            {"selection", text(object.selection)}};
}

std::vector<object_field> describeFields(const failure_domain &object)
{
    return {{"region", text(object.region)}, {"one_way_ms", inMilliseconds(object.oneWay)}};
}

std::vector<object_field> describeFields(const entry_vm &object)
{
    return {{"failure_domain", text(object.failureDomain)},
            {"entry_address", text(object.entryAddress)},
            {"peer_address", text(object.peerAddress)}};
}

std::vector<object_field> describeFields(const measuring_budget &object)
{
    return {{"probes_per_second", number(object.probesPerSecond)},
            {"bytes_per_second", number(object.bytesPerSecond)}};
}

std::vector<object_field> describeFields(const priority_class &object)
{
    return {{"rank", std::to_string(object.rank)}};
}

std::vector<object_field> describeFields(const worker_group &object)
{
    return {{"budget", text(object.budget)},
            {"slots", std::to_string(object.slots)},
            {"connections", std::to_string(object.connections)},
            {"ejection_share_max", number(object.ejectionShareMax)}};
}

std::vector<object_field> describeFields(const worker_entry &object)
{
    return {{"group", text(object.group)},
            {"failure_domain", text(object.failureDomain)},
            {"vm", text(object.vm)},
            {"address", text(object.address)}};
}

std::vector<object_field> describeFields(const service_entry &object)
{
    return {{"group", text(object.group)},
            {"class", text(object.priorityClass)},
            {"timeout_ms", inMilliseconds(object.timeout)},
            {"retry_budget", number(object.retryBudget)},
            {"hedge_budget", number(object.hedgeBudget)},
            {"fallback", text(object.fallback)}};
}

std::vector<object_field> describeFields(const routing_rule &object)
{
    return {{"path_prefix", text(object.pathPrefix)},
            {"methods", list(object.methods)},
            {"service", text(object.service)},
            {"idempotent", object.idempotent ? "true" : "false"}};
}

} // namespace almondnotch
