#include "decision/routing/reader_group.h"

#include <algorithm>

#include "core/mechanisms.h"
#include "decision/fleet/rendezvous.h"

namespace almondnotch {

void reader_group::setCandidates(const std::vector<reader_candidate> &candidates)
{
    m_candidates = candidates.size();
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [this](const reader_candidate &one) { return one.vm == m_vm; });
    m_isCandidate = found != candidates.end();
    if (!m_isCandidate)
        return;
    m_ahead.clear();
    const std::string key = "readers/" + m_failureDomain;
    const double ownScore = rendezvousScore(key, m_vm);
    for (const reader_candidate &one : candidates) {
        const bool isEqual = one.capacity == found->capacity;
        if (one.vm != m_vm
            && (isEqual ? rendezvousScore(key, one.vm) > ownScore : one.capacity > found->capacity))
            m_ahead.insert(one.vm);
    }
}

void reader_group::reportArrived(instant now, const std::string &vm, bool isCurrent)
{
    std::erase_if(m_currentAt, [this, now](const std::pair<const std::string, instant> &entry) {
        return now - entry.second > m_settings.silence;
    });
    const bool isAhead = m_ahead.contains(vm);
    if (isCurrent) {
        m_currentAt[vm] = now;
        m_lastCurrent = now;
        if (isAhead)
            m_lastCurrentAhead = now;
        return;
    }
    m_currentAt.erase(vm);
    const instant silentSince = now - m_settings.substituteSilence;
    if (m_currentAt.empty())
        m_lastCurrent = std::min(m_lastCurrent, silentSince);
    const bool hasAhead = std::any_of(m_currentAt.begin(), m_currentAt.end(),
                                      [this](const std::pair<const std::string, instant> &entry) {
                                          return m_ahead.contains(entry.first);
                                      });
    if (!hasAhead)
        m_lastCurrentAhead = std::min(m_lastCurrentAhead, silentSince);
}

void reader_group::pauseDetected()
{
    m_currentAt.clear();
    m_lastCurrent = instant();
    m_lastCurrentAhead = instant();
}

void reader_group::storeAnswered(instant now)
{
    m_answeredAt = now;
}

bool reader_group::isSubstitute() const
{
    return m_isCandidate && isShared() && m_ahead.size() >= m_settings.readers
           && m_ahead.size() < m_settings.readers + m_settings.substitutes;
}

bool reader_group::isReader(instant now) const
{
    if (!m_isCandidate || !isShared())
        return false;
    return m_ahead.size() < m_settings.readers
           || (isSubstitute() && isMechanismEnabled("substitute_readers")
               && now - m_lastCurrentAhead >= m_settings.substituteSilence);
}

bool reader_group::mustRead(instant now) const
{
    return !isShared() || isReader(now) || now - m_lastCurrent >= m_settings.silence;
}

const retry_pace &reader_group::retryPace(instant now) const
{
    return isShared() && !isReader(now) ? m_settings.followerPace : m_settings.readerPace;
}

bool reader_group::isCurrent(instant now) const
{
    return now - m_answeredAt <= m_settings.checkInterval + m_settings.checkTimeLimit;
}

bool reader_group::takeReport(instant now, bool reads)
{
    if (!isReader(now))
        return false;
    const bool current = reads && isCurrent(now);
    const bool isDue = current && now >= m_nextReport;
    if (!isDue && current == m_reportedCurrent)
        return false;
    m_nextReport = now + m_settings.reportInterval;
    m_reportedCurrent = current;
    return true;
}

void reader_group::hastenReport(instant now)
{
    m_nextReport = now;
}

bool reader_group::takeCheck(instant now)
{
    if (!isReader(now) || now < m_nextCheck)
        return false;
    m_nextCheck = now + m_settings.checkInterval;
    return true;
}

instant reader_group::nextWake(instant now) const
{
    if (!isReader(now)) {
        // A gateway that reads for itself has nothing more to find out.
        if (mustRead(now))
            return instant::never();
        const instant wake = m_lastCurrent + m_settings.silence;
        return isSubstitute() ? std::min(wake, m_lastCurrentAhead + m_settings.substituteSilence)
                              : wake;
    }
    instant wake = m_nextCheck;
    if (m_reportedCurrent)
        wake = std::min(
            {wake, m_nextReport,
             m_answeredAt + m_settings.checkInterval + m_settings.checkTimeLimit + duration(1)});
    // What was due before this gateway became a reader is due now; a wake in the past would look
    // like a pause of the process.
    return std::max(wake, now);
}

nlohmann::json reader_group::dump(instant now) const
{
    nlohmann::json readers = nlohmann::json::object();
    for (const std::pair<const std::string, instant> &entry : m_currentAt)
        readers[entry.first] = toMilliseconds(now - entry.second);
    return {{"candidates", m_candidates}, {"is_shared", isShared()},
            {"is_reader", isReader(now)}, {"rank", m_ahead.size()},
            {"must_read", mustRead(now)}, {"store_answered_ms", toMilliseconds(now - m_answeredAt)},
            {"reports_age_ms", readers}};
}

} // namespace almondnotch
