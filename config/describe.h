#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/model.h"

namespace almondnotch {

/// A key of an object with its value as written in TOML.
struct object_field
{
    std::string_view key;
    std::string value;

    bool operator==(const object_field &) const = default;
};

/// All keys of an object except its name.
std::vector<object_field> describeFields(const fleet_limits &object);
std::vector<object_field> describeFields(const failure_domain &object);
std::vector<object_field> describeFields(const entry_vm &object);
std::vector<object_field> describeFields(const probe_budget_config &object);
std::vector<object_field> describeFields(const priority_class &object);
std::vector<object_field> describeFields(const worker_group &object);
std::vector<object_field> describeFields(const worker_config &object);
std::vector<object_field> describeFields(const service_config &object);
std::vector<object_field> describeFields(const routing_rule &object);

} // namespace almondnotch
