#include "decision/routing/items/reader_group.h"

#include <algorithm>

#include "core/mechanisms.h"
#include "decision/fleet/rendezvous.h"

namespace almondnotch {

void reader_group::setCandidates(const std::vector<reader_candidate> &candidates)
{
    m_candidateCount = candidates.size();
    const auto found
        = std::find_if(candidates.begin(), candidates.end(),
                       [this](const reader_candidate &candidate) { return candidate.vm == m_vm; });
    m_isCandidate = found != candidates.end();
    if (!m_isCandidate)
        return;
    m_higherRanked.clear();
    const std::string key = "readers/" + m_failureDomain;
    const double ownScore = rendezvousScore(key, m_vm);
    for (const reader_candidate &candidate : candidates) {
        const bool hasEqualCapacity = candidate.capacity == found->capacity;
        if (candidate.vm != m_vm
            && (hasEqualCapacity ? rendezvousScore(key, candidate.vm) > ownScore
                                 : candidate.capacity > found->capacity))
            m_higherRanked.insert(candidate.vm);
    }
}

void reader_group::reportArrived(instant now, const std::string &vm, bool isConnected)
{
    std::erase_if(m_connectedReaders,
                  [this, now](const std::pair<const std::string, instant> &entry) {
                      return now - entry.second > m_settings.readerTimeout;
                  });
    const bool isHigherRanked = m_higherRanked.contains(vm);
    if (isConnected) {
        m_haveReadersLostStore = false;
        m_connectedReaders[vm] = now;
        m_lastReportAt = now;
        if (isHigherRanked)
            m_lastHigherRankedReportAt = now;
        return;
    }
    m_connectedReaders.erase(vm);
    const instant timedOutAt = now - m_settings.standbyTimeout;
    m_haveReadersLostStore = m_connectedReaders.empty();
    if (m_haveReadersLostStore)
        m_lastReportAt = std::min(m_lastReportAt, timedOutAt);
    const bool hasHigherRanked
        = std::any_of(m_connectedReaders.begin(), m_connectedReaders.end(),
                      [this](const std::pair<const std::string, instant> &entry) {
                          return m_higherRanked.contains(entry.first);
                      });
    if (!hasHigherRanked)
        m_lastHigherRankedReportAt = std::min(m_lastHigherRankedReportAt, timedOutAt);
}

void reader_group::pauseDetected()
{
    m_connectedReaders.clear();
    m_haveReadersLostStore = false;
    m_lastReportAt = instant();
    m_lastHigherRankedReportAt = instant();
}

void reader_group::storeAnswered(instant now)
{
    m_storeAnsweredAt = now;
}

bool reader_group::isStandby() const
{
    return m_isCandidate && isShared() && m_higherRanked.size() >= m_settings.readerCount
           && m_higherRanked.size() < m_settings.readerCount + m_settings.standbyReaderCount;
}

bool reader_group::isReader(instant now) const
{
    if (!m_isCandidate || !isShared())
        return false;
    return m_higherRanked.size() < m_settings.readerCount
           || (isStandby() && isMechanismEnabled("substitute_readers")
               && now - m_lastHigherRankedReportAt >= m_settings.standbyTimeout);
}

bool reader_group::mustWatchStore(instant now) const
{
    return !isShared() || isReader(now) || now - m_lastReportAt >= m_settings.readerTimeout;
}

bool reader_group::mustCheckStore(instant now) const
{
    return isReader(now) || (m_areReadsFailing && mustWatchStore(now));
}

const backoff_settings &reader_group::retryBackoff(instant now) const
{
    return isShared() && !isReader(now) ? m_settings.followerBackoff : m_settings.readerBackoff;
}

bool reader_group::hasRecentAnswer(instant now) const
{
    return now - m_storeAnsweredAt <= m_settings.checkInterval + m_settings.checkTimeout;
}

bool reader_group::takeDueReport(instant now, bool areReadsCurrent)
{
    if (!isReader(now))
        return false;
    const bool isUpToDate = areReadsCurrent && hasRecentAnswer(now);
    const bool isDue = isUpToDate && now >= m_nextReportAt;
    if (!isDue && isUpToDate == m_reportedConnected)
        return false;
    m_nextReportAt = now + m_settings.reportInterval;
    m_reportedConnected = isUpToDate;
    return true;
}

void reader_group::makeReportDue(instant now)
{
    m_nextReportAt = now;
}

bool reader_group::takeDueCheck(instant now)
{
    if (!mustCheckStore(now) || now < m_nextCheckAt)
        return false;
    checkSent(now);
    return true;
}

void reader_group::checkSent(instant now)
{
    m_nextCheckAt = now + (isReader(now) ? m_settings.checkInterval : m_settings.ownCheckInterval);
}

instant reader_group::nextWake(instant now) const
{
    if (!isReader(now)) {
        // A gateway that already watches the store itself need not detect missing reports.
        if (mustWatchStore(now))
            return mustCheckStore(now) ? std::max(m_nextCheckAt, now) : instant::never();
        const instant wake = m_lastReportAt + m_settings.readerTimeout;
        return isStandby() ? std::min(wake, m_lastHigherRankedReportAt + m_settings.standbyTimeout)
                           : wake;
    }
    instant wake = m_nextCheckAt;
    if (m_reportedConnected)
        wake = std::min(
            {wake, m_nextReportAt,
             m_storeAnsweredAt + m_settings.checkInterval + m_settings.checkTimeout + duration(1)});
    // A report or check whose time passed before this gateway became a reader is due now. A wake-up
    // time in the past would be taken for a pause of the process.
    return std::max(wake, now);
}

nlohmann::json reader_group::dump(instant now) const
{
    nlohmann::json readers = nlohmann::json::object();
    for (const std::pair<const std::string, instant> &entry : m_connectedReaders)
        readers[entry.first] = toMilliseconds(now - entry.second);
    return {{"candidates", m_candidateCount},
            {"is_shared", isShared()},
            {"is_reader", isReader(now)},
            {"rank", m_higherRanked.size()},
            {"must_read", mustWatchStore(now)},
            {"store_answered_ms", toMilliseconds(now - m_storeAnsweredAt)},
            {"reports_age_ms", readers}};
}

} // namespace almondnotch
