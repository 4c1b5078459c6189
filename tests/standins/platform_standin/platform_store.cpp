#include "tests/standins/platform_standin/platform_store.h"

namespace almondnotch {

result<std::uint64_t> platform_store::publish(const std::string &key, std::string text,
                                              std::uint64_t version)
{
    if (text.size() > valueBytesMax)
        return fail(error_code::out_of_bounds, "publish", key,
                    "expected at most " + std::to_string(valueBytesMax) + " bytes, found "
                        + std::to_string(text.size()));
    entry &changed = m_entries[key];
    const std::uint64_t newest = changed.versions.empty() ? 0 : changed.versions.rbegin()->first;
    const std::uint64_t stored = version != 0 ? version : newest + 1;
    changed.versions[stored] = std::move(text);
    changed.current = stored;
    while (changed.versions.size() > historyMax && changed.versions.begin()->first != stored)
        changed.versions.erase(changed.versions.begin());
    return stored;
}

std::optional<stored_value> platform_store::read(const std::string &key) const
{
    if (m_staleValues) {
        const auto found = m_staleValues->find(key);
        if (found == m_staleValues->end())
            return std::nullopt;
        return found->second;
    }
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return stored_value {found->second.current, found->second.versions.at(found->second.current)};
}

void platform_store::setStale(bool stale)
{
    if (!stale) {
        m_staleValues.reset();
        return;
    }
    if (m_staleValues)
        return;
    std::map<std::string, stored_value> values;
    for (const std::pair<const std::string, entry> &item : m_entries)
        values[item.first] = {item.second.current, item.second.versions.at(item.second.current)};
    m_staleValues = std::move(values);
}

result<void> platform_store::rollBack(const std::string &key, std::uint64_t version)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || !found->second.versions.contains(version))
        return fail(error_code::not_found, "roll back", key,
                    "version " + std::to_string(version) + " is not in the history");
    found->second.current = version;
    return {};
}

} // namespace almondnotch
