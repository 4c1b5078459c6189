#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include <ev.h>

#include "core/error.h"
#include "core/kernel.h"
#include "core/time.h"

namespace almondnotch {

/// The libev loop of the process. All tasks run on its thread; only `post` and `requestStop` may
/// be called from other threads.
class event_loop : public service
{
public:
    event_loop();
    ~event_loop() override;

    result<void> start(kernel &owner) override;
    void stop() override;

    /// Runs callbacks until `requestStop`. The caller's thread becomes the loop's thread.
    void run();

    /// Makes `run` return after the callbacks that are due now. Thread-safe.
    void requestStop();

    /// Runs a task on the loop's thread, in the order of posting. Thread-safe; tasks that are
    /// still queued when the loop is destroyed are dropped.
    void post(std::function<void()> task);

    /// Time on CLOCK_MONOTONIC since this object was made. Reads the clock at each call.
    instant now() const;

    /// Wall clock, milliseconds since 1970, at the origin of `now`.
    std::int64_t unixMsAtOrigin() const { return m_unixMsAtOrigin; }

    /// Shared with the watchers, so that a watcher may outlive the service.
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
