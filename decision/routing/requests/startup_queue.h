#pragma once

#include <cstddef>
#include <vector>

#include "core/time.h"
#include "decision/events.h"

namespace almondnotch {

/// Queues requests that arrive between the start of listening and the first complete read of the
/// configuration and the workers, which usually takes some milliseconds.
///
/// Each request waits for at most a fraction of its timeout, and for at most 100 ms. Queueing is
/// preferred to rejection: many callers retry a rejected request only once, and open a new
/// connection for it.
class startup_queue
{
public:
    /// \return false if the queue is full.
    bool add(instant now, const call_received &input);
    /// Removes a request whose caller has disconnected. \return true if the request was in the
    /// queue.
    bool remove(call_id call);
    /// Removes and returns all requests. The time spent in the queue is subtracted from their
    /// timeouts.
    std::vector<call_received> takeAll(instant now);
    /// Removes and returns the requests whose queue time has expired.
    std::vector<call_received> takeExpired(instant now);

    bool isEmpty() const { return m_queue.empty(); }
    instant nextWake() const;

private:
    struct queued_request
    {
        call_received input;
        instant arrivedAt;
        instant expiresAt;
    };

    static call_received withReducedTimeout(instant now, const queued_request &queued);

    std::vector<queued_request> m_queue;
};

} // namespace almondnotch
