#pragma once

#include <optional>
#include <vector>

#include "config/fault_list.h"
#include "config/model.h"

namespace almondnotch {

/// An object and the location it was read from.
template <typename T>
struct located
{
    T object;
    object_location where;
};

/// All objects of a set during parsing, before the validation across objects.
struct located_set
{
    std::optional<located<fleet_limits>> limits;
    std::vector<located<failure_domain>> failureDomains;
    std::vector<located<entry_vm>> entryVms;
    std::vector<located<probe_budget_config>> budgets;
    std::vector<located<priority_class>> priorityClasses;
    std::vector<located<worker_group>> groups;
    std::vector<located<worker_config>> workers;
    std::vector<located<service_config>> services;
    std::vector<located<routing_rule>> rules;

    /// True if a text or an object could not be read. References, and whether objects are missing,
    /// are then not checked, because the objects may be in the text that could not be read.
    bool incomplete = false;
    /// Number of times that a text was parsed again to find syntax faults after the first one.
    int syntaxRetries = 0;

    /// Moves the objects out, without their locations.
    config_objects release();
};

} // namespace almondnotch
