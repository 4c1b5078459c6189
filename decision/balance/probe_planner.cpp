#include "decision/balance/probe_planner.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// Bounds the checks to 20,000 a second, less than 1% of a core, for any number of workers.
constexpr std::int64_t checkMicrosecondsPerWorker = 50;
constexpr duration checkIntervalMin = milliseconds(50);
/// A report is old when this much of its influence on the estimate is left. In relaxation times.
constexpr double staleRelaxations = 3;
/// Groups without calls for this long need no load; only that the workers live.
constexpr duration groupIdleAfter = seconds(2);
constexpr duration idleRefresh = seconds(10);
constexpr duration drainRefresh = seconds(2);
/// A probe before the return from an ejection must end before it.
constexpr duration beforeReturn = milliseconds(1000);

} // namespace

void probe_planner::restart(instant now, const worker_table &workers, random_source &random)
{
    m_visits = std::priority_queue<visit>();
    std::int64_t present = 0;
    for (const worker_record &worker : workers.workers())
        present += worker.present ? 1 : 0;
    m_checkInterval = std::max(checkIntervalMin, duration(present * checkMicrosecondsPerWorker));
    for (std::size_t place = 0; place < workers.workers().size(); ++place) {
        if (!workers.workers()[place].present)
            continue;
        const duration offset(static_cast<std::int64_t>(
            random.below(static_cast<std::uint64_t>(m_checkInterval.count()))));
        schedule(now + offset, worker_index(static_cast<std::uint32_t>(place)));
    }
}

std::vector<worker_index> probe_planner::due(instant now)
{
    std::vector<worker_index> out;
    while (!m_visits.empty() && m_visits.top().at <= now) {
        out.push_back(m_visits.top().worker);
        m_visits.pop();
    }
    return out;
}

void probe_planner::schedule(instant at, worker_index worker)
{
    if (at != instant::never())
        m_visits.push({at, worker});
}

instant probe_planner::nextWake() const
{
    return m_visits.empty() ? instant::never() : m_visits.top().at;
}

bool probe_planner::isWorthProbe(instant now, const worker_record &worker,
                                 const group_record &group, const estimate_tuning &tuning)
{
    const duration unheard = now - worker.lastHeardAt;
    if (worker.draining)
        return unheard >= drainRefresh;
    if (worker.ejected.isEjected())
        return worker.ejected.until() - now <= beforeReturn && unheard >= beforeReturn;
    if (!group.called || now - group.lastCallAt >= groupIdleAfter)
        return unheard >= idleRefresh;
    const double staleS = staleRelaxations * tuning.relaxFactor * group.estimate.serviceS();
    const duration age = worker.load.reportAge(now);
    if (toSeconds(age) < staleS)
        return false;
    return worker.roundTripS + group.estimate.serviceS() <= group.chosenTimeS;
}

} // namespace almondnotch
