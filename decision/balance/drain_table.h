#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Draining workers, each with the time at which the drain was first observed.
///
/// Workers that are not in the configuration are recorded too, since the announcement of a drain
/// may arrive before the configuration that adds the worker. The table holds at most `drainsMax`
/// entries. If it is full, a new entry evicts the oldest one, whose worker has most likely been
/// removed from the configuration.
class drain_table
{
public:
    static constexpr std::size_t drainsMax = 4096;
    /// A report of `ready` within this time after the drain was observed is ignored as stale, since
    /// load endpoints can lag by seconds.
    static constexpr duration staleReadyWindow = seconds(5);

    /// Records a drain. If the same drain is recorded several times, the earliest time is kept.
    /// \return true if this began a drain of the worker. An observation that is not newer than the
    /// end of the worker's previous drain is ignored, and the function returns false.
    bool add(std::string_view worker, instant observedAt);

    /// Records that the worker reported itself ready.
    /// \return true if this ended a drain.
    bool markReady(std::string_view worker, instant at);

    /// Records that a new process runs under the worker's name. Drains of the previous process that
    /// were observed up to `at` are ignored from now on.
    void markReplaced(std::string_view worker, instant at);

    bool contains(std::string_view worker) const;

    /// Draining workers, most recently observed first, at most `limit`.
    std::vector<worker_drain> recent(instant now, std::size_t limit) const;

    std::size_t size() const { return m_drains.size(); }
    /// Number of entries that were evicted because the table was full.
    std::size_t evictedCount() const { return m_evictedCount; }

private:
    struct string_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view> {}(text);
        }
    };
    using times_by_name = std::unordered_map<std::string, instant, string_hash, std::equal_to<>>;

    /// Removes the entry with the earliest time if the table is full.
    /// \return true if an entry was removed.
    static bool evictOldestIfFull(times_by_name &table);

    times_by_name m_drains;
    /// Time at which the last drain of each worker ended. Announcements of a drain that was
    /// observed up to this time are late and ignored. At most `drainsMax` entries; a new drain of
    /// the worker removes its entry.
    times_by_name m_drainEndedAt;
    std::size_t m_evictedCount = 0;
};

} // namespace almondnotch
