#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace almondnotch {

/// Counters and gauges of one component, for example of a transport or the decision core. Only that
/// component changes them. The operator endpoint merges the sets of all components for
/// GET /metrics. Not thread-safe.
///
/// Names are Prometheus metric names without the `almondnotch_` prefix, optionally followed by one
/// label set, for example `refused_total{reason="table_full"}`.
class counter_set
{
public:
    /// Adds to a counter, which starts at 0.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, double value);

    /// Value of a counter; 0 if it was never added to.
    std::uint64_t value(std::string_view name) const;

    /// All values in the Prometheus text exposition format 0.0.4.
    std::string toPrometheus() const;

    nlohmann::json dump() const;

    /// Merges another set into this one: its counters are added, its gauges replace those of the
    /// same name.
    void merge(const counter_set &other);

private:
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace almondnotch
