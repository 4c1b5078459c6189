#include "core/counters.h"

#include <set>
#include <sstream>

namespace almondnotch {

namespace {

const char *const metricPrefix = "almondnotch_";

std::string metricName(const std::string &series)
{
    return metricPrefix + series.substr(0, series.find('{'));
}

template <typename Map>
void writeSeries(std::ostringstream &out, const Map &values, std::string_view type)
{
    std::set<std::string> typesWritten;
    for (const typename Map::value_type &entry : values) {
        const std::string name = metricName(entry.first);
        if (typesWritten.insert(name).second)
            out << "# TYPE " << name << ' ' << type << '\n';
        out << metricPrefix << entry.first << ' ' << entry.second << '\n';
    }
}

} // namespace

void counter_set::add(std::string_view name, std::uint64_t amount)
{
    const auto found = m_counters.find(name);
    if (found != m_counters.end())
        found->second += amount;
    else
        m_counters.emplace(std::string(name), amount);
}

void counter_set::set(std::string_view name, double value)
{
    const auto found = m_gauges.find(name);
    if (found != m_gauges.end())
        found->second = value;
    else
        m_gauges.emplace(std::string(name), value);
}

std::uint64_t counter_set::value(std::string_view name) const
{
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

std::string counter_set::toPrometheus() const
{
    std::ostringstream out;
    out.precision(15);
    writeSeries(out, m_counters, "counter");
    writeSeries(out, m_gauges, "gauge");
    return out.str();
}

nlohmann::json counter_set::dump() const
{
    nlohmann::json out = nlohmann::json::object();
    for (const std::pair<const std::string, std::uint64_t> &entry : m_counters)
        out[entry.first] = entry.second;
    for (const std::pair<const std::string, double> &entry : m_gauges)
        out[entry.first] = entry.second;
    return out;
}

void counter_set::merge(const counter_set &other)
{
    for (const std::pair<const std::string, std::uint64_t> &entry : other.m_counters)
        add(entry.first, entry.second);
    for (const std::pair<const std::string, double> &entry : other.m_gauges)
        set(entry.first, entry.second);
}

} // namespace almondnotch
