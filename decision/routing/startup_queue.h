#pragma once

#include <cstddef>
#include <vector>

#include "core/time.h"
#include "decision/events.h"

namespace almondnotch {

/// Requests that arrive while a new process reads its first configuration and the workers, some
/// milliseconds after it began to listen. They wait for it a small part of their time, since a
/// refusal costs their callers a new connection, and many callers return only once.
class startup_queue
{
public:
    /// \return false if no more requests can wait.
    bool add(instant now, const call_received &input);
    /// \return true if the request waited here; its caller has left.
    bool remove(call_id call);
    /// Removes and returns all, with their timeouts less the time that they waited.
    std::vector<call_received> takeAll(instant now);
    /// Removes and returns those that have waited long enough.
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
