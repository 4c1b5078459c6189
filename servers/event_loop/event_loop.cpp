#include "servers/event_loop/event_loop.h"

#include <ctime>

namespace almondnotch {

namespace {

duration readClock(clockid_t clock)
{
    timespec now {};
    clock_gettime(clock, &now);
    return std::chrono::duration_cast<duration>(seconds(now.tv_sec)
                                                + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace

event_loop::event_loop()
    : // Selects epoll explicitly: a later libev could choose another backend by default.
      m_loop(ev_loop_new(static_cast<unsigned>(EVBACKEND_EPOLL)),
             [](struct ev_loop *loop) {
                 if (loop != nullptr)
                     ev_loop_destroy(loop);
             }),
      m_origin(readClock(CLOCK_MONOTONIC)),
      m_unixMsAtOrigin(toMilliseconds(readClock(CLOCK_REALTIME)))
{
    if (m_loop == nullptr)
        return;
    ev_async_init(&m_async, &event_loop::onPosted);
    m_async.data = this;
    ev_async_start(m_loop.get(), &m_async);
}

event_loop::~event_loop()
{
    if (m_loop != nullptr)
        ev_async_stop(m_loop.get(), &m_async);
}

result<void> event_loop::start(service_manager & /*owner*/)
{
    if (m_loop == nullptr)
        return fail(error_code::unavailable, "create event loop", "",
                    "libev could not create a loop with the epoll backend");
    return {};
}

void event_loop::stop() { }

void event_loop::run()
{
    ev_run(m_loop.get(), 0);
}

void event_loop::requestStop()
{
    post([this] { ev_break(m_loop.get(), EVBREAK_ALL); });
}

void event_loop::post(std::function<void()> task)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_posted.push_back(std::move(task));
    }
    ev_async_send(m_loop.get(), &m_async);
}

instant event_loop::now() const
{
    return instant(readClock(CLOCK_MONOTONIC) - m_origin);
}

void event_loop::onPosted(struct ev_loop * /*loop*/, ev_async *watcher, int /*events*/)
{
    static_cast<event_loop *>(watcher->data)->runPosted();
}

void event_loop::runPosted()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::scoped_lock lock(m_mutex);
        tasks.swap(m_posted);
    }
    // Tasks posted by these tasks run in the next iteration of the loop, so that socket events are
    // not starved.
    for (const std::function<void()> &task : tasks)
        task();
}

} // namespace almondnotch
