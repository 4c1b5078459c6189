#pragma once

#include <functional>

#include "core/time.h"
#include "servers/event_loop/timer_watcher.h"

namespace almondnotch {

/// Waits until a service has sent all its pending output, but not longer than a time limit.
class flush_wait
{
public:
    explicit flush_wait(const event_loop &loop);

    /// Starts the wait.
    /// \param isFlushed true if no output is pending, so that the wait ends at once.
    /// \param done called once, on the loop's thread and never before this function returns, unless
    /// the object is destroyed before the wait ends.
    void begin(bool isFlushed, duration timeLimit, std::function<void()> done);
    /// Ends the wait, since all pending output has been sent. Has no effect if no wait is active.
    void notifyFlushed();

private:
    std::function<void()> m_done;
    timer_watcher m_timer;
};

} // namespace almondnotch
