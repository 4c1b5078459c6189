#include "decision/calls/quarantine_table.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

namespace {

/// Maximum number of suspicions per worker. Each broken connection of a call adds one, so a crash
/// adds one for every call that this gateway has in flight at the worker.
constexpr std::size_t suspicionsPerWorkerMax = 256;
constexpr std::size_t suspectedWorkersMax = 1024;
/// Number of different workers that a request must have crashed to be quarantined.
constexpr std::size_t crashesForQuarantine = 2;
/// Of each message, one part in this many is for requests that crashed one worker.
constexpr std::size_t singleCrashesShare = 4;
/// When the table is full, room is made for one part in this many of it at once.
constexpr std::uint32_t evictedShare = 16;

/// Latest crash of a request that is not quarantined.
struct single_crash
{
    std::uint64_t request = 0;
    duration age {0};
};

std::uint64_t requestOf(std::uint64_t digest)
{
    return digest;
}

std::uint64_t requestOf(const single_crash &crash)
{
    return crash.request;
}

/// Rows that follow `last`, at most `limit`, in the order of their requests and beginning anew at
/// the end. Sets `last` to the request of the last one.
template <typename Row>
std::vector<Row> takeTurns(std::vector<Row> rows, std::size_t limit, std::uint64_t &last)
{
    const auto next = std::find_if(rows.begin(), rows.end(),
                                   [last](const Row &row) { return requestOf(row) > last; });
    std::rotate(rows.begin(), next, rows.end());
    rows.resize(std::min(rows.size(), limit));
    if (!rows.empty())
        last = requestOf(rows.back());
    return rows;
}

bool isOld(const single_crash &crash)
{
    return crash.age > quarantine_table::newCrashTime;
}

/// The latest of these crashes, at most `limit`. If there are more new ones, these take turns.
/// \param last see `takeTurns`.
std::vector<single_crash> takeLatest(std::vector<single_crash> crashes, std::size_t limit,
                                     std::uint64_t &last)
{
    const std::ptrdiff_t oldCount = std::count_if(crashes.begin(), crashes.end(), isOld);
    if (crashes.size() - static_cast<std::size_t>(oldCount) > limit) {
        std::erase_if(crashes, isOld);
        return takeTurns(std::move(crashes), limit, last);
    }
    const std::size_t count = std::min(crashes.size(), limit);
    std::partial_sort(
        crashes.begin(), crashes.begin() + static_cast<std::ptrdiff_t>(count), crashes.end(),
        [](const single_crash &left, const single_crash &right) { return left.age < right.age; });
    crashes.resize(count);
    return crashes;
}

/// Crashes of one request, the latest one first.
std::vector<crash_record> latestFirst(instant now, std::uint64_t request,
                                      const std::map<std::string, instant> &crashes)
{
    std::vector<crash_record> records;
    records.reserve(crashes.size());
    for (const std::pair<const std::string, instant> &crash : crashes)
        records.push_back({request, crash.first, now - crash.second});
    std::sort(
        records.begin(), records.end(),
        [](const crash_record &left, const crash_record &right) { return left.age < right.age; });
    return records;
}

} // namespace

void quarantine_table::connectionBroke(instant now, std::uint64_t requestDigest,
                                       const std::string &worker)
{
    if (!m_suspicions.contains(worker) && m_suspicions.size() >= suspectedWorkersMax)
        makeRoomForSuspectedWorker();
    std::vector<suspicion> &suspicions = m_suspicions[worker];
    if (suspicions.size() >= suspicionsPerWorkerMax) {
        m_counters.add("crash_suspicions_dropped_total");
        suspicions.erase(suspicions.begin());
    }
    suspicions.push_back({requestDigest, now});
}

/// Removes the suspicions against the worker whose last one is the oldest: they are the next that
/// can no longer be confirmed.
void quarantine_table::makeRoomForSuspectedWorker()
{
    const auto found
        = std::min_element(m_suspicions.begin(), m_suspicions.end(),
                           [](const std::pair<const std::string, std::vector<suspicion>> &left,
                              const std::pair<const std::string, std::vector<suspicion>> &right) {
                               return left.second.back().brokenAt < right.second.back().brokenAt;
                           });
    m_counters.add("crash_suspicions_dropped_total", found->second.size());
    m_suspicions.erase(found);
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
    if (!m_crashes.contains(requestDigest) && m_crashes.size() >= m_requestsMax)
        makeRoomForRequest();
    crashes_by_worker &workers = m_crashes[requestDigest];
    const bool wasQuarantined = workers.size() >= crashesForQuarantine;
    workers.emplace(worker, crashedAt);
    m_counters.add("crash_records_total");
    if (!wasQuarantined && workers.size() >= crashesForQuarantine)
        m_counters.add("requests_quarantined_total");
}

/// Removes the requests that crashed one worker longest ago. If all crashed several, removes the
/// one whose quarantine ends first.
void quarantine_table::makeRoomForRequest()
{
    using eviction = std::pair<instant, std::uint64_t>;
    std::vector<eviction> singles;
    eviction firstToEnd {instant::never(), 0};
    for (const std::pair<const std::uint64_t, crashes_by_worker> &entry : m_crashes) {
        const std::vector<crash_record> latest = latestFirst(instant(), entry.first, entry.second);
        const crash_record &deciding = latest.at(std::min(latest.size(), crashesForQuarantine) - 1);
        const eviction candidate {entry.second.at(deciding.worker), entry.first};
        if (latest.size() < crashesForQuarantine)
            singles.push_back(candidate);
        else
            firstToEnd = std::min(firstToEnd, candidate);
    }
    const std::size_t count
        = std::min<std::size_t>(singles.size(), std::max(m_requestsMax / evictedShare, 1U));
    std::partial_sort(singles.begin(), singles.begin() + static_cast<std::ptrdiff_t>(count),
                      singles.end());
    singles.resize(count);
    if (singles.empty())
        singles.push_back(firstToEnd);
    for (const eviction &oldest : singles)
        m_crashes.erase(oldest.second);
    m_counters.add("crash_records_dropped_total", singles.size());
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
    return found != m_crashes.end() && isQuarantined(now, found->second);
}

bool quarantine_table::isQuarantined(instant now, const crashes_by_worker &crashes) const
{
    const std::ptrdiff_t recent
        = std::count_if(crashes.begin(), crashes.end(),
                        [this, now](const std::pair<const std::string, instant> &crash) {
                            return now - crash.second < m_quarantineTime;
                        });
    return static_cast<std::size_t>(recent) >= crashesForQuarantine;
}

instant quarantine_table::latestCrashTime(const crashes_by_worker &crashes)
{
    instant latest;
    for (const std::pair<const std::string, instant> &crash : crashes)
        latest = std::max(latest, crash.second);
    return latest;
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

std::vector<crash_record> quarantine_table::takeCrashes(instant now, std::size_t limit)
{
    std::vector<std::uint64_t> quarantined;
    std::vector<single_crash> singles;
    for (const std::pair<const std::uint64_t, crashes_by_worker> &entry : m_crashes) {
        if (isQuarantined(now, entry.second))
            quarantined.push_back(entry.first);
        else
            singles.push_back({entry.first, now - latestCrashTime(entry.second)});
    }
    const std::size_t singlesMin = std::min(singles.size(), limit / singleCrashesShare);
    quarantined = takeTurns(std::move(quarantined), (limit - singlesMin) / crashesForQuarantine,
                            m_lastTakenQuarantined);
    singles = takeLatest(std::move(singles), limit - quarantined.size() * crashesForQuarantine,
                         m_lastTakenNew);

    std::vector<crash_record> records;
    const auto addLatest = [this, now, &records](std::uint64_t request, std::size_t count) {
        const std::vector<crash_record> latest = latestFirst(now, request, m_crashes.at(request));
        records.insert(records.end(), latest.begin(),
                       latest.begin() + static_cast<std::ptrdiff_t>(count));
    };
    for (const std::uint64_t request : quarantined)
        addLatest(request, crashesForQuarantine);
    for (const single_crash &crash : singles)
        addLatest(crash.request, 1);
    return records;
}

nlohmann::json quarantine_table::dump(instant now) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const std::pair<const std::uint64_t, crashes_by_worker> &entry : m_crashes) {
        nlohmann::json workers = nlohmann::json::array();
        for (const std::pair<const std::string, instant> &crash : entry.second)
            workers.push_back(
                {{"worker", crash.first}, {"age_ms", toMilliseconds(now - crash.second)}});
        rows.push_back({{"request_digest", entry.first},
                        {"workers", workers},
                        {"quarantined", isQuarantined(now, entry.second)}});
    }
    return {{"requests", rows},
            {"requests_max", m_requestsMax},
            {"suspected_workers", m_suspicions.size()},
            {"suspected_workers_max", suspectedWorkersMax}};
}

} // namespace almondnotch
