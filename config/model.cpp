#include "config/model.h"

#include <algorithm>

namespace almondnotch {

namespace {

template <typename Index>
typename Index::mapped_type findIn(const Index &index, std::string_view name)
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : found->second;
}

template <typename Index, typename T>
void buildIndex(Index &index, const std::vector<T> &objects)
{
    index.reserve(objects.size());
    for (const T &object : objects)
        index.emplace(object.name, &object);
}

bool matchesMethod(const routing_rule &rule, std::string_view method)
{
    return rule.methods.empty()
           || std::find(rule.methods.begin(), rule.methods.end(), method) != rule.methods.end();
}

} // namespace

std::shared_ptr<const config_set>
config_set::create(std::uint64_t version, std::string manifestSha256, config_objects objects)
{
    return std::shared_ptr<const config_set>(
        new config_set(version, std::move(manifestSha256), std::move(objects)));
}

config_set::config_set(std::uint64_t version, std::string manifestSha256, config_objects objects)
    : m_version(version), m_manifestSha256(std::move(manifestSha256)), m_objects(std::move(objects))
{
    buildIndex(m_services, m_objects.services);
    buildIndex(m_groups, m_objects.groups);
    buildIndex(m_budgets, m_objects.budgets);
    buildIndex(m_failureDomains, m_objects.failureDomains);
    buildIndex(m_priorityClasses, m_objects.priorityClasses);
    for (const routing_rule &rule : m_objects.rules) {
        m_rulesByPrefix[rule.pathPrefix].push_back(&rule);
        m_prefixBytesMax = std::max(m_prefixBytesMax, rule.pathPrefix.size());
    }
}

const service_config *config_set::service(std::string_view name) const
{
    return findIn(m_services, name);
}

const worker_group *config_set::group(std::string_view name) const
{
    return findIn(m_groups, name);
}

const probe_budget_config *config_set::budget(std::string_view name) const
{
    return findIn(m_budgets, name);
}

const failure_domain *config_set::failureDomain(std::string_view name) const
{
    return findIn(m_failureDomains, name);
}

const priority_class *config_set::priorityClass(std::string_view name) const
{
    return findIn(m_priorityClasses, name);
}

std::optional<route> config_set::findRoute(std::string_view method, std::string_view target) const
{
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    if (path.empty() || path.front() != '/')
        return std::nullopt;
    // A path longer than every prefix cannot equal one, so the search starts at the last segment
    // boundary within the maximum length.
    if (path.size() > m_prefixBytesMax)
        path = path.substr(0, path.rfind('/', m_prefixBytesMax));
    while (true) {
        const std::string_view prefix = path.empty() ? std::string_view("/") : path;
        const auto found = m_rulesByPrefix.find(prefix);
        if (found != m_rulesByPrefix.end()) {
            for (const routing_rule *rule : found->second) {
                if (!matchesMethod(*rule, method))
                    continue;
                const service_config *chosen = service(rule->service);
                if (chosen == nullptr)
                    return std::nullopt;
                return route {rule, chosen, group(chosen->group)};
            }
        }
        if (prefix == "/")
            return std::nullopt;
        path = path.substr(0, path.rfind('/'));
    }
}

duration config_set::oneWayDelay(std::string_view from, std::string_view to) const
{
    if (from == to)
        return duration {0};
    const failure_domain *left = failureDomain(from);
    const failure_domain *right = failureDomain(to);
    // Each domain states its delay to the others; the larger of the two applies to the pair.
    return std::max(left != nullptr ? left->oneWayDelay : duration {0},
                    right != nullptr ? right->oneWayDelay : duration {0});
}

} // namespace almondnotch
