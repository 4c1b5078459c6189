#include "decision/calls/quarantine_table.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// Maximum number of suspicions per worker. Each broken connection of a call adds one, so a crash
/// adds one for every call that this gateway has in flight at the worker.
constexpr std::size_t suspicionsPerWorkerMax = 256;
constexpr std::size_t suspectedWorkersMax = 1024;
/// Number of different workers that a request must have crashed to be quarantined.
constexpr std::size_t crashesForQuarantine = 2;

} // namespace

void quarantine_table::connectionBroke(instant now, std::uint64_t requestDigest,
                                       const std::string &worker)
{
    if (!m_suspicions.contains(worker) && m_suspicions.size() >= suspectedWorkersMax) {
        m_counters.add("crash_suspicions_dropped_total");
        return;
    }
    std::vector<suspicion> &suspicions = m_suspicions[worker];
    if (suspicions.size() >= suspicionsPerWorkerMax) {
        m_counters.add("crash_suspicions_dropped_total");
        return;
    }
    suspicions.push_back({requestDigest, now});
}

void quarantine_table::workerUnreachable(instant now, const std::string &worker)
{
    const auto found = m_suspicions.find(worker);
    if (found == m_suspicions.end())
        return;
    for (const suspicion &entry : found->second) {
        if (now - entry.brokenAt <= confirmWindow)
            recordCrash(entry.brokenAt, entry.requestDigest, worker);
    }
    m_suspicions.erase(found);
}

void quarantine_table::workerAnswered(const std::string &worker)
{
    if (!m_suspicions.empty())
        m_suspicions.erase(worker);
}

void quarantine_table::recordCrash(instant crashedAt, std::uint64_t requestDigest,
                                   const std::string &worker)
{
    if (!m_crashes.contains(requestDigest) && m_crashes.size() >= m_requestsMax) {
        m_counters.add("crash_records_dropped_total");
        return;
    }
    std::map<std::string, instant> &workers = m_crashes[requestDigest];
    const bool wasQuarantined = workers.size() >= crashesForQuarantine;
    workers.emplace(worker, crashedAt);
    m_counters.add("crash_records_total");
    if (!wasQuarantined && workers.size() >= crashesForQuarantine)
        m_counters.add("requests_quarantined_total");
}

void quarantine_table::addRemoteCrash(instant now, const crash_record &record)
{
    const instant crashedAt = now - record.age;
    if (record.age >= m_quarantineTime)
        return;
    const auto found = m_crashes.find(record.requestDigest);
    if (found != m_crashes.end() && found->second.contains(record.worker))
        return;
    recordCrash(crashedAt, record.requestDigest, record.worker);
}

bool quarantine_table::isQuarantined(instant now, std::uint64_t requestDigest) const
{
    const auto found = m_crashes.find(requestDigest);
    if (found == m_crashes.end())
        return false;
    const std::ptrdiff_t recent
        = std::count_if(found->second.begin(), found->second.end(),
                        [this, now](const std::pair<const std::string, instant> &crash) {
                            return now - crash.second < m_quarantineTime;
                        });
    return static_cast<std::size_t>(recent) >= crashesForQuarantine;
}

void quarantine_table::expire(instant now)
{
    for (auto it = m_crashes.begin(); it != m_crashes.end();) {
        std::erase_if(it->second, [this, now](const std::pair<const std::string, instant> &crash) {
            return now - crash.second >= m_quarantineTime;
        });
        it = it->second.empty() ? m_crashes.erase(it) : std::next(it);
    }
    for (auto it = m_suspicions.begin(); it != m_suspicions.end();) {
        std::erase_if(it->second, [now](const suspicion &entry) {
            return now - entry.brokenAt > confirmWindow;
        });
        it = it->second.empty() ? m_suspicions.erase(it) : std::next(it);
    }
}

std::vector<crash_record> quarantine_table::recentCrashes(instant now, std::size_t limit) const
{
    std::vector<crash_record> all;
    for (const std::pair<const std::uint64_t, std::map<std::string, instant>> &entry : m_crashes) {
        for (const std::pair<const std::string, instant> &crash : entry.second)
            all.push_back({entry.first, crash.first, now - crash.second});
    }
    std::sort(all.begin(), all.end(), [](const crash_record &left, const crash_record &right) {
        return left.age < right.age;
    });
    if (all.size() > limit)
        all.resize(limit);
    return all;
}

nlohmann::json quarantine_table::dump(instant now) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const std::pair<const std::uint64_t, std::map<std::string, instant>> &entry : m_crashes) {
        nlohmann::json workers = nlohmann::json::array();
        for (const std::pair<const std::string, instant> &crash : entry.second)
            workers.push_back(
                {{"worker", crash.first}, {"age_ms", toMilliseconds(now - crash.second)}});
        rows.push_back({{"request_digest", entry.first},
                        {"workers", workers},
                        {"quarantined", isQuarantined(now, entry.first)}});
    }
    return {{"requests", rows},
            {"requests_max", m_requestsMax},
            {"suspected_workers", m_suspicions.size()},
            {"suspected_workers_max", suspectedWorkersMax}};
}

} // namespace almondnotch
