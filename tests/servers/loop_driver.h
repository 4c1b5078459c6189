#pragma once

#include <functional>

#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/timer_watcher.h"

namespace almondnotch {

/// Runs the loop until a condition is true.
/// \return false if it was not true within 5 s.
inline bool runUntil(event_loop &loop, const std::function<bool()> &condition)
{
    const instant limit = loop.now() + seconds(5);
    timer_watcher check(loop, [&loop, &condition, &check, limit] {
        if (!condition() && (limit - loop.now()).count() > 0)
            return;
        // A second stop request would stay queued and end the next run at once.
        check.stop();
        loop.requestStop();
    });
    check.startRepeating(milliseconds(1));
    loop.run();
    return condition();
}

/// Runs the loop for a length of time.
inline void runFor(event_loop &loop, duration length)
{
    timer_watcher end(loop, [&loop] { loop.requestStop(); });
    end.start(length);
    loop.run();
}

} // namespace almondnotch
