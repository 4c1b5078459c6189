#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <ev.h>

#include "core/error.h"
#include "core/service_manager.h"
#include "core/time.h"

namespace almondnotch {

/// The libev event loop of the process. All services run on its thread; only `post` and
/// `requestStop` may be called from other threads.
class event_loop : public service
{
public:
    event_loop();
    ~event_loop() override;

    result<void> start(service_manager &owner) override;
    void stop() override;

    /// Runs callbacks until `requestStop` is called. The calling thread becomes the loop's thread.
    void run();

    /// Makes `run` return once the callbacks that are already due have run. Thread-safe.
    void requestStop();

    /// Queues a task to run on the loop's thread. Tasks run in the order in which they were posted.
    /// Thread-safe. Tasks that are still queued when the loop is destroyed are dropped.
    void post(std::function<void()> task);

    /// Time on CLOCK_MONOTONIC since this object was created. Reads the clock on every call.
    instant now() const;

    /// Wall-clock time that corresponds to 0 of `now`, milliseconds since 1970.
    std::int64_t unixMsAtOrigin() const { return m_unixMsAtOrigin; }

    /// The libev loop. Watchers share it, so that a watcher may outlive this service.
    const std::shared_ptr<struct ev_loop> &handle() const { return m_loop; }

private:
    static void onPosted(struct ev_loop *loop, ev_async *watcher, int events);
    void runPosted();

    std::shared_ptr<struct ev_loop> m_loop;
    ev_async m_async {};
    std::mutex m_mutex;
    /// Guarded by `m_mutex`.
    std::vector<std::function<void()>> m_posted;
    duration m_origin;
    std::int64_t m_unixMsAtOrigin;
};

} // namespace almondnotch
