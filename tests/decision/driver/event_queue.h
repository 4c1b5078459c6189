#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// Simulated time: runs callbacks in the order of their times, and those of equal times in the
/// order in which they were scheduled.
class event_queue
{
public:
    using callback = std::function<void()>;

    instant now() const { return m_now; }
    /// Schedules a callback; one in the past runs at the current time.
    void at(instant when, callback run);
    void after(duration delay, callback run) { at(m_now + delay, std::move(run)); }

    /// Runs all callbacks up to and including `end`, and sets the time to `end`.
    void runUntil(instant end);

    /// Advances the time without running callbacks, as if the process had been paused. Callbacks
    /// that become due meanwhile run late.
    void skip(duration length) { m_now = m_now + length; }

    /// Number of callbacks that were run.
    std::uint64_t executedCount() const { return m_executedCount; }

private:
    struct entry
    {
        instant when;
        std::uint64_t sequence = 0;
        callback run;

        bool operator<(const entry &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    instant m_now;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_executedCount = 0;
    std::vector<entry> m_heap;
};

} // namespace almondnotch
