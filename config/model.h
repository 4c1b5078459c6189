#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// VMs that fail together.
struct failure_domain
{
    std::string name;
    /// Region that contains the domain, for operators. The gateway does not use it.
    std::string region;
    /// One-way network delay to the other failure domains. Between two domains, the larger of their
    /// two values applies.
    duration oneWayDelay {0};

    bool operator==(const failure_domain &) const = default;
};

/// A VM that runs a gateway.
struct entry_vm
{
    std::string name;
    std::string failureDomain;
    /// "ip:port" for callers.
    std::string entryAddress;
    /// "ip:port" for other gateways.
    std::string peerAddress;

    bool operator==(const entry_vm &) const = default;
};

/// Budget for load probes of the workers in a group, per worker and summed over all gateways.
struct probe_budget_config
{
    std::string name;
    /// Load probes per second that one worker receives from all gateways together.
    double probesPerSecond = 0;
    /// Probe bytes per second to one worker, requests and responses together.
    double bytesPerSecond = 0;

    bool operator==(const probe_budget_config &) const = default;
};

/// Admission order when capacity is short; a lower rank comes first. The gateway does not use it.
struct priority_class
{
    std::string name;
    unsigned rank = 0;

    bool operator==(const priority_class &) const = default;
};

/// A group of interchangeable workers.
struct worker_group
{
    std::string name;
    /// Name of the probe budget of its workers.
    std::string budget;
    /// Maximum number of calls that one worker executes at the same time.
    unsigned slots = 1;
    /// Maximum number of connections that one worker accepts from all gateways together.
    unsigned connections = 1;
    /// Largest share of the workers that may be ejected at once, 0 to 1.
    double ejectionShareMax = 0.3;

    bool operator==(const worker_group &) const = default;
};

/// A backend server process.
struct worker_config
{
    std::string name;
    std::string group;
    std::string failureDomain;
    /// VM that the worker runs on, named as in the platform's VM list.
    std::string vm;
    /// "ip:port".
    std::string address;

    bool operator==(const worker_config &) const = default;
};

/// A service that callers can call, provided by the workers of one group.
struct service_config
{
    std::string name;
    std::string group;
    std::string priorityClass;
    /// Timeout of a call whose caller did not set one.
    duration timeout {seconds(10)};
    /// Retries as a share of first attempts, 0 to 1.
    double retryBudget = 0.1;
    /// Hedges as a share of first attempts, 0 to 1; 0 turns hedges off.
    double hedgeBudget = 0.05;
    /// Service for calls that this one cannot handle; empty if there is none. The gateway does not
    /// use it.
    std::string fallback;

    bool operator==(const service_config &) const = default;
};

/// Maps calls to services. The longest matching path prefix wins.
struct routing_rule
{
    std::string name;
    /// Begins with "/"; matches whole path segments.
    std::string pathPrefix;
    /// Upper case; empty matches every method.
    std::vector<std::string> methods;
    std::string service;
    /// True if the calls may be executed more than once.
    bool idempotent = false;

    bool operator==(const routing_rule &) const = default;
};

/// Settings of the whole fleet.
struct fleet_limits
{
    /// Maximum number of gateway processes that run at the same time, including replacements.
    unsigned maxGateways = 16;
    /// How long callers may cache the entry addresses that they looked up.
    duration entryCacheTime {seconds(10)};
    /// Name of the worker selection strategy.
    std::string selection = "expected_wait";

    bool operator==(const fleet_limits &) const = default;
};

/// All named objects of one published configuration.
struct config_objects
{
    fleet_limits limits;
    std::vector<failure_domain> failureDomains;
    std::vector<entry_vm> entryVms;
    std::vector<probe_budget_config> budgets;
    std::vector<priority_class> priorityClasses;
    std::vector<worker_group> groups;
    std::vector<worker_config> workers;
    std::vector<service_config> services;
    std::vector<routing_rule> rules;

    bool operator==(const config_objects &) const = default;
};

/// Result of routing one call.
struct route
{
    const routing_rule *rule = nullptr;
    const service_config *service = nullptr;
    const worker_group *group = nullptr;
};

/// A validated, published configuration with lookup tables. Immutable.
class config_set
{
public:
    /// \param objects must come from `parseConfig`.
    static std::shared_ptr<const config_set>
    create(std::uint64_t version, std::string manifestSha256, config_objects objects);
    config_set(const config_set &) = delete;
    config_set &operator=(const config_set &) = delete;

    std::uint64_t version() const { return m_version; }
    const std::string &manifestSha256() const { return m_manifestSha256; }
    const config_objects &objects() const { return m_objects; }

    /// The object with this name, or null.
    const service_config *service(std::string_view name) const;
    const worker_group *group(std::string_view name) const;
    const probe_budget_config *budget(std::string_view name) const;
    const failure_domain *failureDomain(std::string_view name) const;
    const priority_class *priorityClass(std::string_view name) const;

    /// The rule with the longest prefix of whole segments that matches the path and the method.
    /// A query or fragment is ignored; the path is compared byte by byte, without percent-decoding.
    /// The number of hash lookups is limited by the length of the longest configured prefix.
    std::optional<route> findRoute(std::string_view method, std::string_view target) const;

    /// Expected one-way network delay between two failure domains; 0 within one domain. The
    /// delay of an unknown domain counts as 0.
    duration oneWayDelay(std::string_view from, std::string_view to) const;

private:
    config_set(std::uint64_t version, std::string manifestSha256, config_objects objects);

    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view> {}(text);
        }
    };
    template <typename T>
    using name_index = std::unordered_map<std::string, T, text_hash, std::equal_to<>>;

    std::uint64_t m_version;
    std::string m_manifestSha256;
    config_objects m_objects;
    name_index<const service_config *> m_services;
    name_index<const worker_group *> m_groups;
    name_index<const probe_budget_config *> m_budgets;
    name_index<const failure_domain *> m_failureDomains;
    name_index<const priority_class *> m_priorityClasses;
    name_index<std::vector<const routing_rule *>> m_rulesByPrefix;
    /// Length of the longest prefix of a rule, bytes. Bounds the routing cost of hostile paths.
    std::size_t m_prefixBytesMax = 0;
};

using shared_config = std::shared_ptr<const config_set>;

} // namespace almondnotch
