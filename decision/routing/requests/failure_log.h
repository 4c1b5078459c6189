#pragma once

#include <string>

#include "core/counters.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/routing/requests/event_rate.h"
#include "decision/routing/requests/routed_request.h"
#include "decision/routing/workers/worker_pool.h"
#include "decision/types.h"

namespace almondnotch {

/// Writes log records of requests that end with a server failure, at a bounded rate.
class failure_log
{
public:
    /// \param pool, counters must outlive the log.
    failure_log(const worker_pool &pool, counter_set &counters) : m_pool(pool), m_counters(counters)
    { }

    /// Writes a record if the response is a server failure.
    /// \param retryTokens tokens left in the retry budget of the service.
    /// \param serviceTime expected service time; 0 if the request has no route.
    void write(instant now, const routed_request &record, const call_response &response,
               double retryTokens, duration serviceTime, action_list &actions);

private:
    std::string describeAttempts(instant now, const routed_request &record) const;

    const worker_pool &m_pool;
    counter_set &m_counters;
    event_rate m_rate;
};

} // namespace almondnotch
