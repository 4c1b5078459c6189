#include "decision/fleet/platform_reader.h"

#include <algorithm>

namespace almondnotch {

namespace {

constexpr duration backoffFirst = milliseconds(100);
constexpr duration backoffMax = seconds(2);
/// Pause after a read that returned at once without news, so that a missing value or a platform
/// that ends watches early is not read in a loop.
constexpr duration idlePause = seconds(1);
/// A watch that is this much older than its length counts as hung.
constexpr duration watchGrace = seconds(1);

} // namespace

platform_reader::platform_reader(duration watch, double share, random_source &random,
                                 invariant_set &invariants, counter_set &counters)
    : m_watch(watch), m_random(random), m_counters(counters), m_budget(share, invariants, counters)
{
    m_lanes[0].key = platform_key::manifest;
    m_lanes[1].key = platform_key::vm_list;
}

void platform_reader::readOnce()
{
    for (lane &value : m_lanes)
        value.onceWanted = true;
}

void platform_reader::cancelOnce()
{
    for (lane &value : m_lanes)
        value.onceWanted = false;
}

void platform_reader::forgetManifest()
{
    m_lanes[0].after = 0;
}

void platform_reader::wantParts(const std::set<std::string> &hashes)
{
    for (auto it = m_parts.begin(); it != m_parts.end();)
        it = hashes.contains(it->first) ? std::next(it) : m_parts.erase(it);
    for (const std::string &hash : hashes)
        m_parts.try_emplace(hash);
}

bool platform_reader::arePartsFailing() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const std::pair<const std::string, part_read> &entry) {
                           return entry.second.failures > 1;
                       });
}

bool platform_reader::isDue(const lane &value) const
{
    return !value.inFlight && (m_watching || value.onceWanted);
}

bool platform_reader::issue(instant now, platform_key key, const std::string &partSha256,
                            std::uint64_t after, duration wait, std::optional<read_id> &inFlight,
                            action_list &actions)
{
    if (!m_budget.take(now))
        return false;
    inFlight = static_cast<read_id>(++m_lastRead);
    actions.emplace_back(read_platform {*inFlight, key, partSha256, after, wait});
    return true;
}

void platform_reader::run(instant now, action_list &actions)
{
    for (lane &value : m_lanes) {
        if (!isDue(value) || value.notBefore > now)
            continue;
        const bool isWatch = m_watching && value.after > 0;
        if (!issue(now, value.key, {}, isWatch ? value.after : 0, isWatch ? m_watch : duration {0},
                   value.inFlight, actions))
            return;
        value.isWatch = isWatch;
        value.issuedAt = now;
    }
    for (std::pair<const std::string, part_read> &entry : m_parts) {
        if (m_partReads.size() >= partReadsMax)
            return;
        part_read &part = entry.second;
        if (part.inFlight || part.notBefore > now)
            continue;
        if (!issue(now, platform_key::part, entry.first, 0, duration {0}, part.inFlight, actions))
            return;
        m_partReads.emplace(*part.inFlight, entry.first);
    }
}

duration platform_reader::backoff(unsigned failures)
{
    const duration full = std::min(backoffMax, backoffFirst * (1U << std::min(failures - 1, 10U)));
    return duration(static_cast<duration::rep>(static_cast<double>(full.count())
                                               * (0.5 + 0.5 * m_random.uniform())));
}

std::optional<platform_news> platform_reader::laneFinished(instant now, lane &value,
                                                           const platform_read_finished &input)
{
    value.inFlight.reset();
    if (!input.value) {
        m_counters.add("platform_reads_failed_total");
        value.notBefore = now + backoff(++value.failures);
        return std::nullopt;
    }
    value.failures = 0;
    value.succeededAt = now;
    value.onceWanted = false;
    const platform_value &read = *input.value;
    if (!read.changed || read.version == 0) {
        // After a roll-back the platform may reach the same number again with another value. A
        // watch of the old number would miss it, so the value itself is read after a quiet watch.
        if (!value.isWatch || now - value.issuedAt < idlePause)
            value.notBefore = now + idlePause;
        value.after = 0;
        return std::nullopt;
    }
    if (value.isWatch && read.version <= value.after)
        value.notBefore = now + idlePause;
    value.after = read.version;
    return platform_news {value.key, {}, read};
}

std::optional<platform_news> platform_reader::finished(instant now,
                                                       const platform_read_finished &input)
{
    for (lane &value : m_lanes)
        if (value.inFlight == input.read)
            return laneFinished(now, value, input);
    const auto found = m_partReads.find(input.read);
    if (found == m_partReads.end())
        return std::nullopt;
    const std::string hash = found->second;
    m_partReads.erase(found);
    const auto wanted = m_parts.find(hash);
    if (wanted == m_parts.end() || wanted->second.inFlight != input.read)
        return std::nullopt;
    wanted->second.inFlight.reset();
    if (!input.value || input.value->version == 0) {
        m_counters.add("platform_reads_failed_total");
        wanted->second.notBefore = now + backoff(++wanted->second.failures);
        return std::nullopt;
    }
    // If the text does not have the hash, the part stays wanted and is read again later.
    wanted->second.notBefore = now + backoff(++wanted->second.failures);
    return platform_news {platform_key::part, hash, *input.value};
}

duration platform_reader::readAge(instant now) const
{
    const lane &manifest = m_lanes[0];
    if (!manifest.succeededAt)
        return duration::max();
    if (manifest.inFlight && manifest.isWatch && manifest.failures == 0
        && now - manifest.issuedAt <= m_watch + watchGrace)
        return duration {0};
    return now - *manifest.succeededAt;
}

instant platform_reader::nextWake(instant now) const
{
    instant wake = instant::never();
    for (const lane &value : m_lanes)
        if (isDue(value))
            wake = std::min(wake, value.notBefore);
    if (m_partReads.size() < partReadsMax)
        for (const std::pair<const std::string, part_read> &entry : m_parts)
            if (!entry.second.inFlight)
                wake = std::min(wake, entry.second.notBefore);
    return wake == instant::never() ? wake : std::max(wake, m_budget.availableAt(now));
}

nlohmann::json platform_reader::dump(instant now) const
{
    nlohmann::json lanes = nlohmann::json::object();
    for (const lane &value : m_lanes) {
        nlohmann::json row = {{"in_flight", value.inFlight.has_value()},
                              {"version", value.after},
                              {"failures", value.failures}};
        if (value.succeededAt)
            row["read_age_ms"] = toMilliseconds(now - *value.succeededAt);
        lanes[value.key == platform_key::manifest ? "manifest" : "vm_list"] = row;
    }
    return {{"watching", m_watching},         {"values", lanes},
            {"parts_wanted", m_parts.size()}, {"part_reads", m_partReads.size()},
            {"part_reads_max", partReadsMax}, {"calls_per_second_max", m_budget.share()}};
}

} // namespace almondnotch
