#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/balance/worker_table.h"
#include "decision/types.h"

namespace almondnotch {

/// Decides which workers are worth a probe, and when each is looked at again.
///
/// A probe is worth its cost if what is known of the worker is old and the answer could change a
/// choice: the worker could be the best of its group if it were idle, it is about to return from
/// an ejection, or it may have ended its drain. Calls raise neither the rate of probes nor that of
/// these checks; responses to calls bring reports and so lower it.
class probe_scheduler
{
public:
    /// Looks at all workers of a new configuration at random times of one budget period.
    void restart(instant now, const worker_table &workers, random_source &random);

    /// Workers whose time has come, at most once each. The caller passes each to `schedule`.
    std::vector<worker_index> due(instant now);

    /// Sets the time of the next look at a worker.
    void schedule(instant at, worker_index worker);

    /// Time between two looks at a worker that is not worth a probe.
    duration checkInterval() const { return m_checkInterval; }

    instant nextWake() const;

    /// True if a probe of the worker is worth its cost.
    static bool shouldProbe(instant now, const worker_record &worker, const group_record &group,
                            const estimate_tuning &tuning);

private:
    struct scheduled_check
    {
        instant at;
        worker_index worker {};

        bool operator<(const scheduled_check &other) const
        {
            // Reversed, as the queue gives out the largest element.
            return at != other.at ? at > other.at : worker > other.worker;
        }
    };

    std::priority_queue<scheduled_check> m_checks;
    duration m_checkInterval {0};
};

} // namespace almondnotch
