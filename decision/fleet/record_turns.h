#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace almondnotch {

/// Records that go into a message which has no room for all of them. Each is sent after a bounded
/// number of messages, however many there are.

/// Returns up to `maxCount` rows from `cursor` on, wrapping around, and advances `cursor` by the
/// number of returned rows.
template <typename Row>
std::vector<Row> takeRoundRobin(const std::vector<Row> &rows, std::size_t maxCount,
                                std::size_t &cursor)
{
    std::vector<Row> out;
    for (std::size_t i = 0; i < std::min(maxCount, rows.size()); ++i)
        out.push_back(rows[cursor++ % rows.size()]);
    return out;
}

/// As `takeRoundRobin`, but if not all rows fit, half of the room is for the first ones.
template <typename Row>
std::vector<Row> takeFirstAndRoundRobin(const std::vector<Row> &rows, std::size_t maxCount,
                                        std::size_t &cursor)
{
    if (rows.size() <= maxCount)
        return rows;
    const std::ptrdiff_t firstCount = static_cast<std::ptrdiff_t>(maxCount / 2);
    std::vector<Row> out(rows.begin(), rows.begin() + firstCount);
    const std::vector<Row> others(rows.begin() + firstCount, rows.end());
    const std::vector<Row> taken = takeRoundRobin(others, maxCount - out.size(), cursor);
    out.insert(out.end(), taken.begin(), taken.end());
    return out;
}

} // namespace almondnotch
