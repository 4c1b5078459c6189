#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "decision/actions.h"
#include "decision/events.h"
#include "tests/decision/fleet/sample_config.h"

namespace almondnotch {

/// Fake platform that holds the published values. `fleet_driver` simulates its delays and watches.
class platform_fake
{
public:
    bool isUp = true;

    void publishConfigSet(const sample_config_set &set)
    {
        m_parts.insert(set.parts.begin(), set.parts.end());
        m_values[platform_key::manifest]
            = {m_values[platform_key::manifest].version + 1, true, set.manifest};
        m_history.push_back({m_values[platform_key::manifest], set.parsedManifest.version});
    }

    void setLeavingVms(const std::vector<std::string> &leaving)
    {
        platform_value &list = m_values[platform_key::vm_list];
        nlohmann::json rows = nlohmann::json::array();
        for (const std::string &vm : leaving)
            rows.push_back({{"name", vm}, {"state", "leaving"}, {"leave_at_unix_ms", 0}});
        list.text = nlohmann::json {{"version", ++list.version}, {"vms", rows}}.dump();
    }

    /// Undoes the last publications of the configuration, like a restore from a backup: the
    /// manifest gets an earlier value and version. Does nothing if there were no more than
    /// `publicationCount`.
    void rollBack(std::size_t publicationCount)
    {
        if (publicationCount < m_history.size())
            m_history.resize(m_history.size() - publicationCount);
        m_values[platform_key::manifest] = m_history.back().value;
    }

    /// Version of the currently published configuration.
    std::uint64_t configVersion() const { return m_history.back().configVersion; }

    std::uint64_t versionOf(platform_key key) const { return m_values.at(key).version; }

    platform_value valueOf(const read_platform_value &read) const
    {
        if (read.key != platform_key::part)
            return m_values.at(read.key);
        const auto found = m_parts.find(read.partSha256);
        return found == m_parts.end() ? platform_value {} : platform_value {1, true, found->second};
    }

private:
    /// A published manifest and the version of the configuration in it.
    struct published
    {
        platform_value value;
        std::uint64_t configVersion = 0;
    };

    std::map<platform_key, platform_value> m_values {
        {platform_key::manifest, {}},
        {platform_key::vm_list, {1, true, R"({"version":1,"vms":[]})"}}};
    std::map<std::string, std::string> m_parts;
    std::vector<published> m_history;
};

} // namespace almondnotch
