#pragma once

#include <functional>
#include <memory>

#include <ev.h>

#include "core/time.h"
#include "servers/event_loop/event_loop.h"

namespace almondnotch {

/// Calls a function when a timer expires. The timer stops when the watcher is destroyed. The
/// callback may stop, restart or destroy its own watcher. The resolution is that of epoll, 1 ms.
class timer_watcher
{
public:
    using callback = std::function<void()>;

    timer_watcher(const event_loop &loop, callback onDue);
    timer_watcher(const timer_watcher &) = delete;
    timer_watcher &operator=(const timer_watcher &) = delete;
    ~timer_watcher();

    /// Starts a one-shot timer. Replaces a timer that was started before. A timer of 0 or less
    /// expires as soon as the callbacks that are already due have run.
    void start(duration after);
    /// Starts a periodic timer, which first expires after one interval. Replaces a timer that was
    /// started before.
    void startRepeating(duration interval);
    void stop();
    bool isActive() const;

private:
    void startTimer(double after, double repeat);
    static void onDue(struct ev_loop *loop, ev_timer *watcher, int events);

    std::shared_ptr<struct ev_loop> m_loop;
    std::shared_ptr<const callback> m_callback;
    ev_timer m_watcher {};
};

} // namespace almondnotch
