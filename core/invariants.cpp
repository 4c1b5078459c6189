#include "core/invariants.h"

namespace almondnotch {

bool invariant_set::check(std::string_view name, bool condition, std::string_view detail)
{
    check_counts &counts = m_counts[name];
    ++counts.checks;
    if (condition)
        return true;
    ++counts.failures;
    ++m_failures;
    counts.lastDetail = std::string(detail);
    if (m_onFailure)
        m_onFailure(name, counts.lastDetail);
    return false;
}

std::uint64_t invariant_set::checks() const
{
    std::uint64_t sum = 0;
    for (const std::pair<const std::string_view, check_counts> &entry : m_counts)
        sum += entry.second.checks;
    return sum;
}

nlohmann::json invariant_set::dump() const
{
    nlohmann::json out = nlohmann::json::object();
    for (const std::pair<const std::string_view, check_counts> &entry : m_counts) {
        nlohmann::json row = {{"checks", entry.second.checks}, {"failures", entry.second.failures}};
        if (entry.second.failures > 0)
            row["last_detail"] = entry.second.lastDetail;
        out[std::string(entry.first)] = row;
    }
    return out;
}

} // namespace almondnotch
