#include "decision/routing/reader_group.h"

#include <algorithm>

#include "decision/fleet/rendezvous.h"

namespace almondnotch {

void reader_group::setCandidates(const std::vector<reader_candidate> &candidates)
{
    m_candidates = candidates.size();
    const auto found
        = std::find_if(candidates.begin(), candidates.end(),
                       [this](const reader_candidate &one) { return one.vm == m_settings.vm; });
    m_isCandidate = found != candidates.end();
    if (!m_isCandidate)
        return;
    const auto score = [this](const reader_candidate &one) {
        return rendezvousScore("readers/" + m_settings.failureDomain, one.vm);
    };
    const double ownScore = score(*found);
    m_rank = static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(), [&](const reader_candidate &one) {
            if (one.vm == found->vm)
                return false;
            if (one.capacity != found->capacity)
                return one.capacity > found->capacity;
            return score(one) > ownScore;
        }));
}

void reader_group::reportArrived(instant now, const std::string &vm, bool isCurrent)
{
    if (isCurrent) {
        m_currentAt[vm] = now;
        m_lastCurrent = now;
    } else if (m_currentAt.erase(vm) > 0 && m_currentAt.empty()) {
        m_lastCurrent = std::min(m_lastCurrent, now - m_settings.substituteSilence);
    }
    std::erase_if(m_currentAt, [this, now](const std::pair<const std::string, instant> &entry) {
        return now - entry.second > m_settings.silence;
    });
}

void reader_group::pauseDetected()
{
    m_currentAt.clear();
    m_lastCurrent = instant();
}

void reader_group::storeAnswered(instant now)
{
    m_answeredAt = now;
}

bool reader_group::isSubstitute() const
{
    return m_isCandidate && isShared() && m_rank >= m_settings.readers
           && m_rank < m_settings.readers + m_settings.substitutes;
}

bool reader_group::isReader(instant now) const
{
    if (!m_isCandidate || !isShared())
        return false;
    return m_rank < m_settings.readers
           || (isSubstitute() && isSilent(now, m_settings.substituteSilence));
}

bool reader_group::mustRead(instant now) const
{
    return !isShared() || isReader(now) || isSilent(now, m_settings.silence);
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
        return m_lastCurrent + (isSubstitute() ? m_settings.substituteSilence : m_settings.silence);
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
            {"is_reader", isReader(now)}, {"rank", m_rank},
            {"must_read", mustRead(now)}, {"store_answered_ms", toMilliseconds(now - m_answeredAt)},
            {"reports_age_ms", readers}};
}

} // namespace almondnotch
