#include "decision/balance/drain_table.h"

#include <algorithm>

namespace almondnotch {

bool drain_table::add(std::string_view worker, instant observedAt)
{
    const auto found = m_drains.find(worker);
    if (found != m_drains.end()) {
        found->second = std::min(found->second, observedAt);
        return false;
    }
    const auto ended = m_drainEndedAt.find(worker);
    if (ended != m_drainEndedAt.end()) {
        if (observedAt <= ended->second)
            return false;
        m_drainEndedAt.erase(ended);
    }
    if (evictOldestIfFull(m_drains))
        ++m_evictedCount;
    m_drains.emplace(std::string(worker), observedAt);
    return true;
}

bool drain_table::markReady(std::string_view worker, instant at)
{
    const auto found = m_drains.find(worker);
    if (found == m_drains.end() || at - found->second < staleReadyWindow)
        return false;
    markReplaced(worker, at);
    return true;
}

void drain_table::markReplaced(std::string_view worker, instant at)
{
    const auto found = m_drains.find(worker);
    if (found != m_drains.end())
        m_drains.erase(found);
    evictOldestIfFull(m_drainEndedAt);
    m_drainEndedAt.insert_or_assign(std::string(worker), at);
}

bool drain_table::contains(std::string_view worker) const
{
    return m_drains.find(worker) != m_drains.end();
}

std::vector<worker_drain> drain_table::recent(instant now, std::size_t limit) const
{
    std::vector<worker_drain> out;
    out.reserve(m_drains.size());
    for (const std::pair<const std::string, instant> &entry : m_drains)
        out.push_back({entry.first, std::max(duration(0), now - entry.second)});
    const std::size_t count = std::min(limit, out.size());
    std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(count), out.end(),
                      [](const worker_drain &left, const worker_drain &right) {
                          return left.age != right.age ? left.age < right.age
                                                       : left.worker < right.worker;
                      });
    out.resize(count);
    return out;
}

bool drain_table::evictOldestIfFull(times_by_name &table)
{
    if (table.size() < drainsMax)
        return false;
    auto oldest = table.begin();
    for (auto it = table.begin(); it != table.end(); ++it) {
        if (it->second < oldest->second)
            oldest = it;
    }
    table.erase(oldest);
    return true;
}

} // namespace almondnotch
