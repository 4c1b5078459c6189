#pragma once

#include <functional>

#include "core/time.h"
#include "servers/event_loop/timer_watcher.h"

namespace almondnotch {

/// Waits until the last output of a port has left, but not longer than a time limit.
class flush_wait
{
public:
    explicit flush_wait(const event_loop &loop);

    /// \param isFlushed nothing is left to send. \param done called once, on the loop's thread and
    /// never before this function returns.
    void begin(bool isFlushed, duration timeLimit, std::function<void()> done);
    /// Nothing is left to send any more; ignored if nobody waits.
    void notifyFlushed();

private:
    std::function<void()> m_done;
    timer_watcher m_timer;
};

} // namespace almondnotch
