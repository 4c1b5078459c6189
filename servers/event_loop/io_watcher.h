#pragma once

#include <functional>
#include <memory>

#include <ev.h>

#include "servers/event_loop/event_loop.h"

namespace almondnotch {

/// Calls a function when a descriptor becomes readable or writable. The watcher stops when it is
/// destroyed. The callback may stop or destroy its own watcher.
class io_watcher
{
public:
    /// Receives EV_READ if the descriptor is readable, EV_WRITE if it is writable, or both.
    using callback = std::function<void(int events)>;

    io_watcher(const event_loop &loop, callback onReady);
    io_watcher(const io_watcher &) = delete;
    io_watcher &operator=(const io_watcher &) = delete;
    ~io_watcher();

    /// Watches a descriptor for EV_READ, EV_WRITE or both. Replaces an earlier watch. The
    /// descriptor must stay open until the watcher is stopped.
    void start(int descriptor, int events);
    void stop();
    bool isActive() const;

private:
    static void onReady(struct ev_loop *loop, ev_io *watcher, int events);

    std::shared_ptr<struct ev_loop> m_loop;
    std::shared_ptr<const callback> m_callback;
    ev_io m_watcher {};
};

} // namespace almondnotch
