#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Workers that are known to leave, with the time at which that was first observed.
///
/// Names that the configuration does not contain are kept too, since a drain may be heard of
/// before the configuration that adds the worker. Bounded by `drainsMax`; the oldest entry is
/// given up for a newer one, as it is most likely gone from the configuration.
class drain_table
{
public:
    static constexpr std::size_t drainsMax = 4096;
    /// A load endpoint lags by seconds, so a report of `ready` soon after a drain is not believed.
    static constexpr duration staleReadyWindow = seconds(5);

    /// Records a drain. The earliest observation of one drain counts.
    /// \return true if the worker was not known to drain. False also for news from before the
    /// worker was last seen ready.
    bool add(std::string_view worker, instant observedAt);

    /// Records that the worker reported itself ready.
    /// \return true if that ended a drain.
    bool markReady(std::string_view worker, instant at);

    /// Another process took the worker's name: news of the one before it no longer counts.
    void markReplaced(std::string_view worker, instant at);

    bool contains(std::string_view worker) const;

    /// Drains, most recently observed first, at most `limit`.
    std::vector<worker_drain> recent(instant now, std::size_t limit) const;

    std::size_t size() const { return m_drains.size(); }
    /// Entries given up because the table was full.
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

    /// Makes room for one entry by removing that with the earliest time.
    static bool evictOldestIfFull(times_by_name &table);

    times_by_name m_drains;
    /// When workers whose drain ended were seen ready; keeps old news from draining them again.
    times_by_name m_readyAt;
    std::size_t m_evictedCount = 0;
};

} // namespace almondnotch
