#pragma once

#include <optional>
#include <vector>

#include "config/fault_list.h"
#include "config/model.h"

namespace almondnotch {

/// An object with the place where it was read.
template <typename T>
struct located
{
    T object;
    object_location where;
};

/// All objects of a set during parsing, before the checks across objects.
struct located_set
{
    std::optional<located<fleet_limits>> limits;
    std::vector<located<failure_domain>> failureDomains;
    std::vector<located<entry_vm>> entryVms;
    std::vector<located<probe_budget_entry>> budgets;
    std::vector<located<priority_class>> priorityClasses;
    std::vector<located<worker_group>> groups;
    std::vector<located<worker_entry>> workers;
    std::vector<located<service_entry>> services;
    std::vector<located<routing_rule>> rules;

    /// Some text or object could not be read, so that a name may seem to be missing.
    bool incomplete = false;
    /// Texts that were parsed again to find the syntax faults behind the first one.
    int syntaxRetries = 0;

    /// Hands over the objects without their places.
    config_objects release();
};

} // namespace almondnotch
