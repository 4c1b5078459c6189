#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/balance/worker_table.h"
#include "decision/types.h"

namespace almondnotch {

/// Schedules periodic checks of all workers and decides in each check whether to probe the worker.
///
/// In a group that receives calls, a worker is probed if its report is outdated and the result
/// could change a selection, which is the case if the worker's response time when idle would not
/// exceed the average of recently selected workers; in any case it is probed after 3 s without a
/// report. In a group that receives no calls, a worker is probed 10 s after the last contact. A
/// draining worker is probed every 2 s, to detect the end of its drain, and an ejected one shortly
/// before its readmission. More calls raise neither the rate of probes nor that of checks.
/// Responses to calls carry load reports and therefore lower the rate of probes.
class probe_scheduler
{
public:
    /// Replaces the schedule after a configuration change. The first check of each worker is at a
    /// random time within one check interval.
    void restart(instant now, const worker_table &workers, random_source &random);

    /// Removes and returns the workers whose check is due, each at most once. Each of them must be
    /// passed to `schedule` again.
    std::vector<worker_index> takeDueWorkers(instant now);

    /// Schedules the next check of a worker.
    void schedule(instant at, worker_index worker);

    /// Time between two checks of a worker.
    duration checkInterval() const { return m_checkInterval; }

    instant nextWake() const;

    /// True if the worker should be probed now, as far as the probe budget permits.
    static bool shouldProbe(instant now, const worker_record &worker, const group_record &group,
                            const estimate_tuning &tuning);

private:
    struct scheduled_check
    {
        instant at;
        worker_index worker {};

        bool operator<(const scheduled_check &other) const
        {
            // Reversed, since std::priority_queue returns the largest element first.
            return at != other.at ? at > other.at : worker > other.worker;
        }
    };

    std::priority_queue<scheduled_check> m_checks;
    duration m_checkInterval {0};
};

} // namespace almondnotch
