#include "decision/fleet/platform_reader.h"

#include <algorithm>

namespace almondnotch {

namespace {

constexpr duration backoffInitial = milliseconds(100);
constexpr duration backoffMax = seconds(2);
/// Delay after an immediate read that found no value or no change, after a watch that ended within
/// this time without a change, and after a watch that returned a version that is not newer.
/// Prevents a busy loop of reads.
constexpr duration noChangeDelay = seconds(1);
/// A watch that exceeds its duration by more than this counts as hung.
constexpr duration watchGracePeriod = seconds(1);

} // namespace

platform_reader::platform_reader(duration watchTimeout, double rate, random_source &random,
                                 invariant_set &invariants, counter_set &counters)
    : m_watchTimeout(watchTimeout), m_random(random), m_counters(counters),
      m_rateLimiter(rate, invariants, counters)
{
    m_polls[0].key = platform_key::manifest;
    m_polls[1].key = platform_key::vm_list;
}

void platform_reader::requestRead()
{
    for (poll_state &poll : m_polls)
        poll.isReadRequested = true;
}

void platform_reader::cancelRequestedRead()
{
    for (poll_state &poll : m_polls)
        poll.isReadRequested = false;
}

void platform_reader::resetManifestVersion()
{
    m_polls[0].knownVersion = 0;
}

void platform_reader::setWantedParts(const std::set<std::string> &hashes)
{
    for (auto it = m_wantedParts.begin(); it != m_wantedParts.end();)
        it = hashes.contains(it->first) ? std::next(it) : m_wantedParts.erase(it);
    for (const std::string &hash : hashes)
        m_wantedParts.try_emplace(hash);
}

bool platform_reader::isAnyPartFailing() const
{
    return std::any_of(m_wantedParts.begin(), m_wantedParts.end(),
                       [](const std::pair<const std::string, wanted_part> &entry) {
                           return entry.second.failures > 1;
                       });
}

bool platform_reader::needsRead(const poll_state &poll) const
{
    return !poll.inFlight && (m_watching || poll.isReadRequested);
}

bool platform_reader::issue(instant now, platform_key key, const std::string &partSha256,
                            std::uint64_t afterVersion, duration wait,
                            std::optional<read_id> &inFlight, action_list &actions)
{
    if (!m_rateLimiter.tryAcquire(now))
        return false;
    inFlight = static_cast<read_id>(++m_lastReadId);
    actions.emplace_back(read_platform_value {*inFlight, key, partSha256, afterVersion, wait});
    return true;
}

void platform_reader::issueDueReads(instant now, action_list &actions)
{
    for (poll_state &poll : m_polls) {
        if (!needsRead(poll) || poll.nextReadAt > now)
            continue;
        const bool isWatch = m_watching && poll.knownVersion > 0;
        if (!issue(now, poll.key, {}, isWatch ? poll.knownVersion : 0,
                   isWatch ? m_watchTimeout : duration {0}, poll.inFlight, actions))
            return;
        poll.isWatch = isWatch;
        poll.issuedAt = now;
    }
    for (std::pair<const std::string, wanted_part> &entry : m_wantedParts) {
        if (m_partHashByRead.size() >= partReadsMax)
            return;
        wanted_part &part = entry.second;
        if (part.inFlight || part.nextReadAt > now)
            continue;
        if (!issue(now, platform_key::part, entry.first, 0, duration {0}, part.inFlight, actions))
            return;
        m_partHashByRead.emplace(*part.inFlight, entry.first);
    }
}

duration platform_reader::backoff(unsigned failures)
{
    const duration maxDelay
        = std::min(backoffMax, backoffInitial * (1U << std::min(failures - 1, 10U)));
    return duration(static_cast<duration::rep>(static_cast<double>(maxDelay.count())
                                               * (0.5 + 0.5 * m_random.uniform())));
}

std::optional<platform_read_result>
platform_reader::pollFinished(instant now, poll_state &poll,
                              const platform_value_read_finished &input)
{
    poll.inFlight.reset();
    if (!input.value) {
        m_counters.add("platform_reads_failed_total");
        poll.nextReadAt = now + backoff(++poll.failures);
        return std::nullopt;
    }
    poll.failures = 0;
    poll.succeededAt = now;
    poll.isReadRequested = false;
    const platform_value &read = *input.value;
    if (!read.changed || read.version == 0) {
        if (!poll.isWatch || now - poll.issuedAt < noChangeDelay)
            poll.nextReadAt = now + noChangeDelay;
        // After a rollback of the platform's data, the same version may be reached again with
        // another value. A watch that waits for a version above the known one would miss that
        // value. The known version is therefore reset, so that the next read returns the value
        // regardless of its version.
        poll.knownVersion = 0;
        return std::nullopt;
    }
    if (poll.isWatch && read.version <= poll.knownVersion)
        poll.nextReadAt = now + noChangeDelay;
    poll.knownVersion = read.version;
    return platform_read_result {poll.key, {}, read};
}

std::optional<platform_read_result>
platform_reader::readFinished(instant now, const platform_value_read_finished &input)
{
    for (poll_state &poll : m_polls)
        if (poll.inFlight == input.read)
            return pollFinished(now, poll, input);
    const auto found = m_partHashByRead.find(input.read);
    if (found == m_partHashByRead.end())
        return std::nullopt;
    const std::string hash = found->second;
    m_partHashByRead.erase(found);
    const auto wanted = m_wantedParts.find(hash);
    if (wanted == m_wantedParts.end() || wanted->second.inFlight != input.read)
        return std::nullopt;
    wanted->second.inFlight.reset();
    if (!input.value || input.value->version == 0) {
        m_counters.add("platform_reads_failed_total");
        wanted->second.nextReadAt = now + backoff(++wanted->second.failures);
        return std::nullopt;
    }
    // The store checks the hash. If the text matches, the part is no longer wanted. Otherwise the
    // part remains wanted; the read therefore counts as failed here, and the part is read again
    // after the backoff.
    wanted->second.nextReadAt = now + backoff(++wanted->second.failures);
    return platform_read_result {platform_key::part, hash, *input.value};
}

duration platform_reader::readAge(instant now) const
{
    const poll_state &manifest = m_polls[0];
    if (!manifest.succeededAt)
        return duration::max();
    if (manifest.inFlight && manifest.isWatch && manifest.failures == 0
        && now - manifest.issuedAt <= m_watchTimeout + watchGracePeriod)
        return duration {0};
    return now - *manifest.succeededAt;
}

instant platform_reader::nextWake(instant now) const
{
    instant wake = instant::never();
    for (const poll_state &poll : m_polls)
        if (needsRead(poll))
            wake = std::min(wake, poll.nextReadAt);
    if (m_partHashByRead.size() < partReadsMax)
        for (const std::pair<const std::string, wanted_part> &entry : m_wantedParts)
            if (!entry.second.inFlight)
                wake = std::min(wake, entry.second.nextReadAt);
    return wake == instant::never() ? wake : std::max(wake, m_rateLimiter.availableAt(now));
}

nlohmann::json platform_reader::dump(instant now) const
{
    nlohmann::json polls = nlohmann::json::object();
    for (const poll_state &poll : m_polls) {
        nlohmann::json row = {{"in_flight", poll.inFlight.has_value()},
                              {"version", poll.knownVersion},
                              {"failures", poll.failures}};
        if (poll.succeededAt)
            row["read_age_ms"] = toMilliseconds(now - *poll.succeededAt);
        polls[poll.key == platform_key::manifest ? "manifest" : "vm_list"] = row;
    }
    return {{"watching", m_watching},
            {"values", polls},
            {"parts_wanted", m_wantedParts.size()},
            {"part_reads", m_partHashByRead.size()},
            {"part_reads_max", partReadsMax},
            {"calls_per_second_max", m_rateLimiter.rate()}};
}

} // namespace almondnotch
