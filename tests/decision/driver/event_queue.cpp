#include "tests/decision/driver/event_queue.h"

#include <algorithm>

namespace almondnotch {

void event_queue::at(instant when, callback run)
{
    m_heap.push_back({std::max(when, m_now), m_sequence++, std::move(run)});
    std::push_heap(m_heap.begin(), m_heap.end());
}

void event_queue::runUntil(instant end)
{
    while (!m_heap.empty() && m_heap.front().when <= end) {
        std::pop_heap(m_heap.begin(), m_heap.end());
        const entry next = std::move(m_heap.back());
        m_heap.pop_back();
        m_now = std::max(m_now, next.when);
        ++m_executedCount;
        next.run();
    }
    m_now = std::max(m_now, end);
}

} // namespace almondnotch
