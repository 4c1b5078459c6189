#include "decision/routing/requests/route_config_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace almondnotch {

namespace {

std::string subjectOf(const host_route &route)
{
    return "route " + route.name;
}

std::string inMilliseconds(duration value)
{
    return std::to_string(toMilliseconds(value)) + " ms";
}

/// Collects the findings about one configuration.
class config_checker
{
public:
    explicit config_checker(const route_config &config) : m_config(config) { }

    std::vector<config_finding> check()
    {
        if (m_config.routes.empty())
            add(finding_kind::error, "configuration", "it has no routes");
        for (const host_route &route : m_config.routes) {
            checkAttempts(route);
            checkMatch(route);
            checkTimes(route);
        }
        checkServices();
        checkLimits();
        std::stable_sort(m_findings.begin(), m_findings.end(),
                         [](const config_finding &left, const config_finding &right) {
                             return left.kind < right.kind;
                         });
        return std::move(m_findings);
    }

private:
    void add(finding_kind kind, std::string subject, std::string message)
    {
        m_findings.push_back({kind, std::move(subject), std::move(message)});
    }

    void checkAttempts(const host_route &route)
    {
        if (route.attemptsMax == 0)
            add(finding_kind::error, subjectOf(route), "it allows no attempt");
        if (route.timeout <= duration {0})
            add(finding_kind::error, subjectOf(route), "its timeout is 0");
    }

    /// The host of a request is compared as it was sent, its path up to the question mark.
    void checkMatch(const host_route &route)
    {
        const std::pair<std::string, std::string> key {route.host, route.prefix};
        const auto [it, isFirst] = m_nameByMatch.emplace(key, route.name);
        if (!isFirst)
            add(finding_kind::never_matches, subjectOf(route),
                "route " + it->second + " has the same host and prefix and goes first");
        if (route.host.find_first_of(" /?#") != std::string::npos || route.host.empty())
            add(finding_kind::never_matches, subjectOf(route), "no request has such a host");
        const bool isPath = std::all_of(route.prefix.begin(), route.prefix.end(), [](char c) {
            return std::isgraph(static_cast<unsigned char>(c)) != 0 && c != '?' && c != '#';
        });
        if (!isPath)
            add(finding_kind::never_matches, subjectOf(route),
                "no request path begins with such a prefix");
    }

    void checkTimes(const host_route &route)
    {
        if (route.latencyObjective > route.timeout)
            add(finding_kind::contradiction, subjectOf(route),
                "its latency objective of " + inMilliseconds(route.latencyObjective)
                    + " is longer than its timeout of " + inMilliseconds(route.timeout));
    }

    void checkServices()
    {
        std::set<std::string> used;
        for (const host_route &route : m_config.routes) {
            for (const route_target &target : route.targets)
                used.insert(target.service);
        }
        for (const std::pair<const std::string, service_spec> &entry : m_config.services) {
            const std::string subject = "service " + entry.first;
            const service_spec &spec = entry.second;
            if (!used.contains(entry.first))
                add(finding_kind::never_matches, subject, "no route goes to it");
            if (spec.connectionsMax == 0)
                add(finding_kind::error, subject, "its workers accept no connections");
            if (!spec.healthPath.starts_with('/'))
                add(finding_kind::error, subject, "its health path does not begin with a slash");
            if (spec.coldRequestsPerSecond > 0 && spec.warmUpTime <= duration {0})
                add(finding_kind::contradiction, subject,
                    "it limits the requests to cold workers, but its workers are never cold");
        }
    }

    void checkLimits()
    {
        const caller_limits &limits = m_config.limits;
        if (limits.headerBytesMax == 0)
            add(finding_kind::error, "limits", "they allow no request headers");
        if (limits.headerTimeout <= duration {0} || limits.idleTimeout <= duration {0})
            add(finding_kind::error, "limits", "a timeout of callers is 0");
        if (limits.headerTimeout > limits.idleTimeout)
            add(finding_kind::contradiction, "limits",
                "the header timeout of " + inMilliseconds(limits.headerTimeout)
                    + " is longer than the idle timeout of " + inMilliseconds(limits.idleTimeout));
    }

    const route_config &m_config;
    std::vector<config_finding> m_findings;
    std::map<std::pair<std::string, std::string>, std::string> m_nameByMatch;
};

/// A field that is compared between two versions, with its name and its value as text.
template <typename Object>
struct compared_field
{
    const char *name;
    std::string (*text)(const Object &);
};

std::string textOf(const std::vector<route_target> &targets)
{
    std::string out;
    for (const route_target &target : targets) {
        std::string weight = std::to_string(target.weight);
        weight.erase(weight.find_last_not_of('0') + 1);
        if (weight.ends_with('.'))
            weight.pop_back();
        out += (out.empty() ? "" : ", ") + target.service + " (" + weight + ")";
    }
    return out;
}

const std::array<compared_field<host_route>, 8> routeFields {{
    {"host", [](const host_route &route) { return route.host; }},
    {"prefix", [](const host_route &route) { return route.prefix; }},
    {"delivery",
     [](const host_route &route) {
         return std::string(route.delivery == delivery_semantics::idempotent ? "idempotent"
                                                                             : "at most once");
     }},
    {"timeout", [](const host_route &route) { return inMilliseconds(route.timeout); }},
    {"latency objective",
     [](const host_route &route) { return inMilliseconds(route.latencyObjective); }},
    {"priority", [](const host_route &route) { return std::to_string(route.priority); }},
    {"attempts", [](const host_route &route) { return std::to_string(route.attemptsMax); }},
    {"services", [](const host_route &route) { return textOf(route.targets); }},
}};

const std::array<compared_field<service_spec>, 4> serviceFields {{
    {"health path", [](const service_spec &spec) { return spec.healthPath; }},
    {"connections", [](const service_spec &spec) { return std::to_string(spec.connectionsMax); }},
    {"warm-up", [](const service_spec &spec) { return inMilliseconds(spec.warmUpTime); }},
    {"requests to a cold worker per second",
     [](const service_spec &spec) { return std::to_string(spec.coldRequestsPerSecond); }},
}};

const std::array<compared_field<caller_limits>, 4> limitFields {{
    {"header bytes",
     [](const caller_limits &limits) { return std::to_string(limits.headerBytesMax); }},
    {"body bytes", [](const caller_limits &limits) { return std::to_string(limits.bodyBytesMax); }},
    {"header timeout",
     [](const caller_limits &limits) { return inMilliseconds(limits.headerTimeout); }},
    {"idle timeout",
     [](const caller_limits &limits) { return inMilliseconds(limits.idleTimeout); }},
}};

/// Appends one sentence for each field that differs.
template <typename Object, std::size_t count>
void compare(const std::string &subject, const std::array<compared_field<Object>, count> &fields,
             const Object &before, const Object &after, std::vector<std::string> &out)
{
    for (const compared_field<Object> &field : fields) {
        const std::string old = field.text(before);
        const std::string changed = field.text(after);
        if (old == changed)
            continue;
        std::string sentence = "changed ";
        sentence.append(subject).append(": ").append(field.name).append(" ").append(old);
        out.push_back(sentence.append(" -> ").append(changed));
    }
}

/// Appends what differs between two tables of named objects.
template <typename Object, std::size_t count>
void compareTables(const std::string &kind, const std::array<compared_field<Object>, count> &fields,
                   const std::map<std::string, Object> &before,
                   const std::map<std::string, Object> &after, std::vector<std::string> &out)
{
    for (const std::pair<const std::string, Object> &entry : before) {
        if (!after.contains(entry.first))
            out.push_back(std::string("removed ").append(kind).append(" ").append(entry.first));
    }
    for (const std::pair<const std::string, Object> &entry : after) {
        const auto found = before.find(entry.first);
        if (found == before.end())
            out.push_back(std::string("added ").append(kind).append(" ").append(entry.first));
        else
            compare(kind + " " + entry.first, fields, found->second, entry.second, out);
    }
}

std::map<std::string, host_route> byName(const std::vector<host_route> &routes)
{
    std::map<std::string, host_route> out;
    for (const host_route &route : routes)
        out.emplace(route.name, route);
    return out;
}

} // namespace

std::string_view toString(finding_kind kind)
{
    static constexpr std::array<std::string_view, 3> names {"error", "never matches",
                                                            "contradiction"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<config_finding> checkRouteConfig(const route_config &config)
{
    return config_checker(config).check();
}

std::vector<std::string> describeDifferences(const route_config &inForce,
                                             const route_config &changed)
{
    std::vector<std::string> out;
    compareTables("route", routeFields, byName(inForce.routes), byName(changed.routes), out);
    compareTables("service", serviceFields, inForce.services, changed.services, out);
    compare("limits", limitFields, inForce.limits, changed.limits, out);
    return out;
}

} // namespace almondnotch
