#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/counters.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/routing/requests/event_rate.h"
#include "decision/routing/workers/worker_pool.h"

namespace almondnotch {

/// Writes log records about changes of workers, a bounded number per second.
class worker_change_log
{
public:
    /// \param counters must outlive the log.
    explicit worker_change_log(counter_set &counters) : m_counters(counters) { }

    /// \param source how the gateway learned of the changes: "list" or "watch" of the store,
    /// "relay" of a reader, "gossip", or "response" or "probe" of the worker. \param revision
    /// revision of the store up to which the gateway knows the workers. \param requestId request
    /// whose response told the changes; empty for other sources.
    void write(instant now, const std::vector<worker_change> &changes, std::string_view source,
               std::uint64_t revision, const std::string &requestId, action_list &actions);

private:
    counter_set &m_counters;
    event_rate m_rate;
};

} // namespace almondnotch
