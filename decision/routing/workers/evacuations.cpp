#include "decision/routing/workers/evacuations.h"

#include <algorithm>
#include <set>

namespace almondnotch {

namespace {

std::set<std::string> domainsOf(const std::map<std::string, std::string> &domainsByName)
{
    std::set<std::string> out;
    for (const std::pair<const std::string, std::string> &named : domainsByName)
        out.insert(named.second);
    return out;
}

std::vector<std::string> difference(const std::set<std::string> &from,
                                    const std::set<std::string> &without)
{
    std::vector<std::string> out;
    std::set_difference(from.begin(), from.end(), without.begin(), without.end(),
                        std::back_inserter(out));
    return out;
}

} // namespace

evacuation_update evacuations::apply(const std::vector<published_item> &items, bool isSnapshot)
{
    evacuation_update out;
    const std::set<std::string> before = domainsOf(m_domains);
    std::set<std::string> listed;
    for (const published_item &item : items) {
        if (item.removed) {
            m_domains.erase(item.name);
        } else if (!item.evacuatedDomain.empty()) {
            m_domains.insert_or_assign(item.name, item.evacuatedDomain);
            listed.insert(item.name);
        }
    }
    if (isSnapshot) {
        for (const std::pair<const std::string, std::string> &named : m_domains) {
            if (!listed.contains(named.first))
                out.removedNames.push_back(named.first);
        }
        for (const std::string &name : out.removedNames)
            m_domains.erase(name);
    }
    const std::set<std::string> after = domainsOf(m_domains);
    out.begun = difference(after, before);
    out.ended = difference(before, after);
    return out;
}

bool evacuations::includes(std::string_view failureDomain) const
{
    return std::any_of(m_domains.begin(), m_domains.end(),
                       [failureDomain](const std::pair<const std::string, std::string> &named) {
                           return named.second == failureDomain;
                       });
}

void logEvacuations(const evacuation_update &update, std::string_view source,
                    std::uint64_t revision, action_list &actions)
{
    const auto append = [&](const std::vector<std::string> &domains, const char *text) {
        for (const std::string &domain : domains)
            actions.push_back(write_log {log_level::info,
                                         "workers",
                                         text,
                                         {{"failure_domain", domain},
                                          {"source", std::string(source)},
                                          {"revision", std::to_string(revision)}}});
    };
    append(update.begun, "The evacuation of a failure domain has begun.");
    append(update.ended, "The evacuation of a failure domain has ended.");
}

} // namespace almondnotch
