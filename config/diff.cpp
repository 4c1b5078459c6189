#include <set>
#include <unordered_map>

#include "config/describe.h"
#include "config/parser.h"

namespace almondnotch {

namespace {

template <typename T>
std::unordered_map<std::string_view, const T *> byName(const std::vector<T> &objects)
{
    std::unordered_map<std::string_view, const T *> index;
    index.reserve(objects.size());
    for (const T &object : objects)
        index.emplace(object.name, &object);
    return index;
}

template <typename T>
std::string allFields(const T &object)
{
    std::string out;
    for (const object_field &field : describeFields(object))
        out += (out.empty() ? "" : ", ") + std::string(field.key) + " = " + field.value;
    return out;
}

template <typename T>
std::string changedFields(const T &before, const T &after)
{
    const std::vector<object_field> left = describeFields(before);
    const std::vector<object_field> right = describeFields(after);
    std::string out;
    for (std::size_t index = 0; index < left.size(); ++index) {
        if (left[index] == right[index])
            continue;
        out += (out.empty() ? "" : ", ") + std::string(left[index].key) + " " + left[index].value
               + " -> " + right[index].value;
    }
    return out;
}

template <typename T>
void compareKind(std::string_view kind, const std::vector<T> &before, const std::vector<T> &after,
                 std::vector<std::string> &lines)
{
    const std::unordered_map<std::string_view, const T *> old = byName(before);
    const std::unordered_map<std::string_view, const T *> current = byName(after);
    const std::string prefix = std::string(kind) + " ";
    for (const T &object : before) {
        if (current.count(object.name) == 0)
            lines.push_back("removed " + prefix + object.name + ": " + allFields(object));
    }
    for (const T &object : after) {
        const auto found = old.find(object.name);
        if (found == old.end())
            lines.push_back("added " + prefix + object.name + ": " + allFields(object));
        else if (!(*found->second == object))
            lines.push_back("changed " + prefix + object.name + ": "
                            + changedFields(*found->second, object));
    }
}

std::string describeRoute(const config_set &set, std::string_view method, std::string_view path)
{
    const std::optional<route> found = set.findRoute(method, path);
    if (!found)
        return "no service";
    return found->service->name + (found->rule->idempotent ? " (idempotent)" : " (at most once)");
}

/// Compares the route of each method for each prefix. Methods with the same change are listed on
/// one line.
void compareRouting(const config_objects &before, const config_objects &after,
                    std::vector<std::string> &lines)
{
    const std::shared_ptr<const config_set> old = config_set::create(0, "", before);
    const std::shared_ptr<const config_set> current = config_set::create(0, "", after);
    std::set<std::string> prefixes;
    for (const config_objects *objects : {&before, &after}) {
        for (const routing_rule &rule : objects->rules)
            prefixes.insert(rule.pathPrefix);
    }
    for (const std::string &prefix : prefixes) {
        std::vector<std::pair<std::string, std::string>> changes;
        for (const std::string_view method :
             {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}) {
            const std::string from = describeRoute(*old, method, prefix);
            const std::string to = describeRoute(*current, method, prefix);
            if (from == to)
                continue;
            std::string change = from;
            change += " -> ";
            change += to;
            bool merged = false;
            for (std::pair<std::string, std::string> &each : changes) {
                if (each.first != change)
                    continue;
                each.second += "," + std::string(method);
                merged = true;
            }
            if (!merged)
                changes.emplace_back(change, method);
        }
        for (const std::pair<std::string, std::string> &each : changes)
            lines.push_back("routing " + each.second + " " + prefix + ": " + each.first);
    }
}

} // namespace

std::vector<std::string> describeChanges(const config_objects &before, const config_objects &after)
{
    std::vector<std::string> lines;
    if (!(before.limits == after.limits))
        lines.push_back("changed limits: " + changedFields(before.limits, after.limits));
    compareKind("failure_domain", before.failureDomains, after.failureDomains, lines);
    compareKind("entry_vm", before.entryVms, after.entryVms, lines);
    compareKind("budget", before.budgets, after.budgets, lines);
    compareKind("class", before.priorityClasses, after.priorityClasses, lines);
    compareKind("group", before.groups, after.groups, lines);
    compareKind("worker", before.workers, after.workers, lines);
    compareKind("service", before.services, after.services, lines);
    compareKind("rule", before.rules, after.rules, lines);
    compareRouting(before, after, lines);
    return lines;
}

} // namespace almondnotch
