#include "decision/balance/probe_scheduler.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// Limits the checks of all workers to 20,000 per second, which takes less than 1% of a core.
constexpr std::int64_t checkMicrosecondsPerWorker = 50;
constexpr duration checkIntervalMin = milliseconds(50);
/// A report is outdated after this many decay times (`estimate_tuning::reportDecayFactor` times the
/// service time), but not before `outdatedAfterMinS` seconds. A shorter limit has no effect: at 85%
/// load with bursts of interference from other VMs on the host, the p99 of the response time is the
/// same with a limit of 48 ms, with a limit of 1 s and without any probes
/// (docs/decisions/0004-measuring-budget.md), since responses to calls bring reports much more
/// often than the probe budget would allow.
constexpr double outdatedAfterDecayTimes = 3;
constexpr double outdatedAfterMinS = 1;
/// A worker of a group that receives calls is probed once its report has this age, if the budget
/// permits, so that a drain is discovered before a call is sent to the worker.
constexpr duration reportAgeMax = seconds(3);
/// A group without calls for this long is idle. Its workers are probed only for liveness, at
/// `idleProbeInterval`.
constexpr duration groupIdleAfter = seconds(2);
constexpr duration idleProbeInterval = seconds(10);
constexpr duration drainProbeInterval = seconds(2);
/// An ejected worker is probed this long before its readmission, so that the probe has ended by
/// then.
constexpr duration readmissionProbeLead = milliseconds(1000);

} // namespace

void probe_scheduler::restart(instant now, const worker_table &workers, random_source &random)
{
    m_checks = std::priority_queue<scheduled_check>();
    std::int64_t configured = 0;
    for (const worker_record &worker : workers.workers())
        configured += worker.configured ? 1 : 0;
    m_checkInterval = std::max(checkIntervalMin, duration(configured * checkMicrosecondsPerWorker));
    for (std::size_t index = 0; index < workers.workers().size(); ++index) {
        if (!workers.workers()[index].configured)
            continue;
        const duration offset(static_cast<std::int64_t>(
            random.below(static_cast<std::uint64_t>(m_checkInterval.count()))));
        schedule(now + offset, worker_index(static_cast<std::uint32_t>(index)));
    }
}

std::vector<worker_index> probe_scheduler::takeDueWorkers(instant now)
{
    std::vector<worker_index> out;
    while (!m_checks.empty() && m_checks.top().at <= now) {
        out.push_back(m_checks.top().worker);
        m_checks.pop();
    }
    return out;
}

void probe_scheduler::schedule(instant at, worker_index worker)
{
    if (at != instant::never())
        m_checks.push({at, worker});
}

instant probe_scheduler::nextWake() const
{
    return m_checks.empty() ? instant::never() : m_checks.top().at;
}

bool probe_scheduler::shouldProbe(instant now, const worker_record &worker,
                                  const group_record &group, const estimate_tuning &tuning)
{
    const duration sinceLastContact = now - worker.lastContactAt;
    if (worker.draining)
        return sinceLastContact >= drainProbeInterval;
    if (worker.ejectionState.isEjected())
        return worker.ejectionState.ejectedUntil() - now <= readmissionProbeLead
               && sinceLastContact >= readmissionProbeLead;
    if (!group.hasReceivedCalls || now - group.lastCallAt >= groupIdleAfter)
        return sinceLastContact >= idleProbeInterval;
    const double outdatedAfterS
        = std::max(outdatedAfterMinS, outdatedAfterDecayTimes * tuning.reportDecayFactor
                                          * group.estimate.serviceTimeS());
    const duration age = worker.load.reportAge(now);
    if (toSeconds(age) < outdatedAfterS)
        return false;
    if (age >= reportAgeMax)
        return true;
    return worker.roundTripS + group.estimate.serviceTimeS() <= group.selectedResponseTimeS;
}

} // namespace almondnotch
