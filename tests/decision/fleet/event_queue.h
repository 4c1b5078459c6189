#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "core/time.h"

namespace almondnotch {

/// Runs callbacks in the order of simulated time; callbacks of the same time run in the order in
/// which they were added.
class event_queue
{
public:
    /// Schedules a callback.
    void after(duration delay, std::function<void()> work)
    {
        m_queue.push({now + delay, ++m_sequence, std::move(work)});
    }

    /// Runs the callbacks of the next `length` of simulated time.
    void run(duration length)
    {
        const instant end = now + length;
        while (!m_queue.empty() && m_queue.top().at <= end) {
            const queued next = m_queue.top();
            m_queue.pop();
            now = next.at;
            next.work();
        }
        now = end;
    }

    instant now;

private:
    struct queued
    {
        instant at;
        std::uint64_t sequence;
        std::function<void()> work;

        bool operator<(const queued &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    std::priority_queue<queued> m_queue;
    std::uint64_t m_sequence = 0;
};

} // namespace almondnotch
