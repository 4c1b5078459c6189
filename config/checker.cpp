#include "config/checker.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "config/bounds.h"

namespace almondnotch {

namespace {

std::string formatNumber(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

/// Index of the objects of one kind by name.
template <typename T>
class name_table
{
public:
    /// Reports duplicate names.
    name_table(const std::vector<located<T>> &objects, fault_list &faults)
    {
        m_byName.reserve(objects.size());
        for (const located<T> &each : objects) {
            // A missing or malformed name has already been reported.
            if (each.object.name.empty())
                continue;
            const auto [found, inserted] = m_byName.emplace(each.object.name, &each);
            if (!inserted)
                faults.add(each.where, "name",
                           "the name " + quotedValue(each.object.name) + " is taken by the "
                               + std::string(each.where.kind) + " at "
                               + faults.formatLocation(found->second->where));
        }
    }

    const located<T> *find(std::string_view name) const
    {
        const auto found = m_byName.find(name);
        return found == m_byName.end() ? nullptr : found->second;
    }

    /// Names for suggestions, built on first use.
    const std::vector<std::string> &names()
    {
        if (m_names.empty()) {
            for (const auto &[name, object] : m_byName)
                m_names.emplace_back(name);
            // Hash order must not decide between equally close suggestions.
            std::sort(m_names.begin(), m_names.end());
        }
        return m_names;
    }

private:
    std::unordered_map<std::string_view, const located<T> *> m_byName;
    std::vector<std::string> m_names;
};

class checker
{
public:
    checker(const located_set &set, fault_list &faults)
        : m_set(set), m_faults(faults), m_domains(set.failureDomains, faults),
          m_entryVms(set.entryVms, faults), m_budgets(set.budgets, faults),
          m_classes(set.priorityClasses, faults), m_groups(set.groups, faults),
          m_workers(set.workers, faults), m_services(set.services, faults),
          m_rules(set.rules, faults)
    {
        if (set.limits)
            m_limits = set.limits->object;
    }

    void run()
    {
        checkPresence();
        checkEntryVms();
        checkBudgets();
        checkGroups();
        checkWorkers();
        checkServices();
        checkFallbackCycles();
        checkRules();
    }

private:
    template <typename T>
    void checkReference(const object_location &where, std::string_view key, std::string_view kind,
                        const std::string &name, name_table<T> &table)
    {
        // In an incomplete set the object may be in the part that could not be read.
        if (name.empty() || m_set.incomplete || table.find(name) != nullptr)
            return;
        if (m_faults.isFull()) {
            m_faults.add(where, key, {});
            return;
        }
        m_faults.add(where, key,
                     std::string(key) + ": expected the name of a [[" + std::string(kind)
                         + "]], found " + quotedValue(name)
                         + m_faults.suggestion(name, table.names()));
    }

    /// Reports an address that another object already uses.
    void checkAddress(const object_location &where, std::string_view key,
                      const std::string &address, std::string_view reason)
    {
        if (address.empty())
            return;
        const auto [found, inserted] = m_addresses.emplace(address, &where);
        if (!inserted)
            m_faults.add(where, key,
                         std::string(key) + ": " + quotedValue(address) + " is taken by the "
                             + std::string(found->second->kind) + " at "
                             + m_faults.formatLocation(*found->second) + "; "
                             + std::string(reason));
    }

    void checkPresence()
    {
        if (m_set.incomplete)
            return;
        const bool isEmpty = !m_set.limits && m_set.failureDomains.empty() && m_set.entryVms.empty()
                             && m_set.budgets.empty() && m_set.priorityClasses.empty()
                             && m_set.groups.empty() && m_set.workers.empty()
                             && m_set.services.empty() && m_set.rules.empty();
        object_location wholeSet;
        if (isEmpty)
            m_faults.addAtLine(wholeSet, 0, "expected a configuration, found no objects");
        else if (!m_set.services.empty() && m_set.rules.empty())
            m_faults.addAtLine(
                wholeSet, 0,
                "expected at least one [[rule]]; without rules no call reaches a service");
    }

    void checkEntryVms()
    {
        for (const located<entry_vm> &each : m_set.entryVms) {
            checkReference(each.where, "failure_domain", "failure_domain",
                           each.object.failureDomain, m_domains);
            checkAddress(each.where, "entry_address", each.object.entryAddress,
                         "an address can have only one listener");
            checkAddress(each.where, "peer_address", each.object.peerAddress,
                         "an address can have only one listener");
        }
        if (m_set.entryVms.size() > m_limits.maxGateways) {
            const object_location &where
                = m_set.limits ? m_set.limits->where : m_set.entryVms.front().where;
            m_faults.add(where, "max_gateways",
                         "max_gateways: expected at least the number of [[entry_vm]] tables ("
                             + std::to_string(m_set.entryVms.size()) + "), found "
                             + std::to_string(m_limits.maxGateways)
                             + "; each gateway gets 1/max_gateways of the probe budget, so more "
                               "gateways would exceed it");
        }
    }

    void checkBudgets()
    {
        const double minimum = m_limits.maxGateways / probeIntervalMaxSeconds;
        for (const located<probe_budget_config> &each : m_set.budgets) {
            // Missing or invalid values have already been reported.
            if (hasKey(each.where, "probes_per_second") && each.object.probesPerSecond < minimum)
                m_faults.add(each.where, "probes_per_second",
                             "probes_per_second: expected at least " + formatNumber(minimum)
                                 + ", so that each of " + std::to_string(m_limits.maxGateways)
                                 + " gateways probes a worker once in "
                                 + formatNumber(probeIntervalMaxSeconds / 60) + " minutes, found "
                                 + formatNumber(each.object.probesPerSecond));
            const double bytes = each.object.probesPerSecond * probeBytes;
            if (hasKey(each.where, "bytes_per_second") && each.object.bytesPerSecond < bytes)
                m_faults.add(each.where, "bytes_per_second",
                             "bytes_per_second: expected at least " + formatNumber(bytes) + " for "
                                 + formatNumber(each.object.probesPerSecond) + " probes of "
                                 + formatNumber(probeBytes) + " bytes, found "
                                 + formatNumber(each.object.bytesPerSecond));
        }
    }

    static bool hasKey(const object_location &where, std::string_view key)
    {
        for (const object_location::key_line &candidate : where.keys) {
            if (candidate.key == key)
                return true;
        }
        return false;
    }

    void checkGroups()
    {
        std::unordered_set<std::string_view> usedGroups;
        for (const located<worker_config> &each : m_set.workers)
            usedGroups.insert(each.object.group);
        for (const located<worker_group> &each : m_set.groups) {
            checkReference(each.where, "budget", "budget", each.object.budget, m_budgets);
            if (hasKey(each.where, "connections") && each.object.connections < m_limits.maxGateways)
                m_faults.add(each.where, "connections",
                             "connections: expected at least max_gateways ("
                                 + std::to_string(m_limits.maxGateways) + "), found "
                                 + std::to_string(each.object.connections)
                                 + "; each gateway needs one connection to each worker");
            if (!m_set.incomplete && !each.object.name.empty()
                && usedGroups.count(each.object.name) == 0)
                m_faults.addAtLine(each.where, each.where.line,
                                   "expected at least one [[worker]] with group = "
                                       + quotedValue(each.object.name));
        }
    }

    void checkWorkers()
    {
        for (const located<worker_config> &each : m_set.workers) {
            checkReference(each.where, "group", "group", each.object.group, m_groups);
            checkReference(each.where, "failure_domain", "failure_domain",
                           each.object.failureDomain, m_domains);
            checkAddress(each.where, "address", each.object.address,
                         "a worker listed twice would be probed twice");
        }
    }

    void checkServices()
    {
        for (const located<service_config> &each : m_set.services) {
            checkReference(each.where, "group", "group", each.object.group, m_groups);
            checkReference(each.where, "class", "class", each.object.priorityClass, m_classes);
            checkReference(each.where, "fallback", "service", each.object.fallback, m_services);
        }
    }

    /// Follows the fallback chains and visits each service once. Every service has at most one
    /// fallback, so there is a cycle exactly when a walk reaches a service that the same walk, not
    /// an earlier one, has already visited.
    void checkFallbackCycles()
    {
        std::unordered_map<std::string_view, std::size_t> walkByService;
        for (std::size_t walk = 0; walk < m_set.services.size(); ++walk) {
            const located<service_config> *current
                = m_services.find(m_set.services[walk].object.name);
            while (current != nullptr && walkByService.emplace(current->object.name, walk).second)
                current = m_services.find(current->object.fallback);
            if (current != nullptr && walkByService[current->object.name] == walk)
                reportCycle(*current);
        }
    }

    void reportCycle(const located<service_config> &start)
    {
        constexpr int shownMax = 10;
        std::string path = start.object.name;
        const located<service_config> *current = m_services.find(start.object.fallback);
        for (int shown = 0; current != nullptr && current != &start && shown < shownMax; ++shown) {
            path += " -> " + current->object.name;
            current = m_services.find(current->object.fallback);
        }
        path += current == &start ? " -> " + start.object.name : " -> ...";
        m_faults.add(start.where, "fallback",
                     "fallback: expected a chain without a cycle, found " + path);
    }

    void checkRules()
    {
        // For each prefix, the rule that matches each method; "" stands for every method.
        std::unordered_map<std::string_view,
                           std::map<std::string_view, const located<routing_rule> *>>
            rulesByPrefix;
        for (const located<routing_rule> &each : m_set.rules) {
            checkReference(each.where, "service", "service", each.object.service, m_services);
            if (each.object.pathPrefix.empty())
                continue;
            std::map<std::string_view, const located<routing_rule> *> &methods
                = rulesByPrefix[each.object.pathPrefix];
            std::vector<std::string_view> ruleMethods(each.object.methods.begin(),
                                                      each.object.methods.end());
            const auto catchAll = methods.find("");
            if (catchAll != methods.end()) {
                reportOverlap(each, *catchAll->second, "every method");
            } else if (ruleMethods.empty() && !methods.empty()) {
                reportOverlap(each, *methods.begin()->second, std::string(methods.begin()->first));
            }
            if (ruleMethods.empty())
                ruleMethods.emplace_back("");
            for (const std::string_view method : ruleMethods) {
                const auto [found, inserted] = methods.emplace(method, &each);
                if (!inserted && !method.empty())
                    reportOverlap(each, *found->second, std::string(method));
            }
        }
    }

    void reportOverlap(const located<routing_rule> &later, const located<routing_rule> &earlier,
                       const std::string &what)
    {
        m_faults.add(later.where, "path_prefix",
                     "overlaps with another rule: the rule " + earlier.object.name + " at "
                         + m_faults.formatLocation(earlier.where) + " already matches " + what
                         + " for " + quotedValue(later.object.pathPrefix)
                         + "; expected methods that no other rule with this prefix has");
    }

    const located_set &m_set;
    fault_list &m_faults;
    fleet_limits m_limits;
    name_table<failure_domain> m_domains;
    name_table<entry_vm> m_entryVms;
    name_table<probe_budget_config> m_budgets;
    name_table<priority_class> m_classes;
    name_table<worker_group> m_groups;
    name_table<worker_config> m_workers;
    name_table<service_config> m_services;
    name_table<routing_rule> m_rules;
    std::unordered_map<std::string_view, const object_location *> m_addresses;
};

} // namespace

void checkSet(const located_set &set, fault_list &faults)
{
    checker(set, faults).run();
}

} // namespace almondnotch
