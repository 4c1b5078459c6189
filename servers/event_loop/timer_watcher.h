#pragma once

#include <functional>
#include <memory>

#include <ev.h>

#include "core/time.h"
#include "servers/event_loop/event_loop.h"

namespace almondnotch {

/// Calls back after a length of time. Stops when destroyed; the callback may stop, restart or
/// destroy its own watcher. The resolution is that of epoll, 1 ms.
class timer_watcher
{
public:
    using callback = std::function<void()>;

    timer_watcher(const event_loop &loop, callback onDue);
    timer_watcher(const timer_watcher &) = delete;
    timer_watcher &operator=(const timer_watcher &) = delete;
    ~timer_watcher();

    /// Fires once, in place of what was set before; a length of 0 or less fires
    /// as soon as the callbacks that are due now have run.
    void start(duration after);
    /// Fires again and again, first after one interval.
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
