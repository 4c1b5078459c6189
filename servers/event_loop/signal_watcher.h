#pragma once

#include <functional>
#include <memory>

#include <ev.h>

#include "servers/event_loop/event_loop.h"

namespace almondnotch {

/// Calls a function on the loop's thread when the process receives a signal. At most one loop of a
/// process may watch a given signal.
class signal_watcher
{
public:
    using callback = std::function<void()>;

    signal_watcher(const event_loop &loop, int signalNumber, callback onSignal);
    signal_watcher(const signal_watcher &) = delete;
    signal_watcher &operator=(const signal_watcher &) = delete;
    ~signal_watcher();

private:
    static void onSignal(struct ev_loop *loop, ev_signal *watcher, int events);

    std::shared_ptr<struct ev_loop> m_loop;
    std::shared_ptr<const callback> m_callback;
    ev_signal m_watcher {};
};

} // namespace almondnotch
