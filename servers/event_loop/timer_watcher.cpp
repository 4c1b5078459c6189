#include "servers/event_loop/timer_watcher.h"

#include <algorithm>

namespace almondnotch {

timer_watcher::timer_watcher(const event_loop &loop, callback onDue)
    : m_loop(loop.handle()), m_callback(std::make_shared<const callback>(std::move(onDue)))
{
    ev_init(&m_watcher, &timer_watcher::onDue);
    m_watcher.data = this;
}

timer_watcher::~timer_watcher()
{
    stop();
}

void timer_watcher::start(duration after)
{
    if (after > duration {0}) {
        startTimer(toSeconds(after), 0.0);
        return;
    }
    // libev runs a fed event after the callbacks that are already due, without polling for
    // descriptors in between.
    stop();
    ev_feed_event(m_loop.get(), &m_watcher, EV_TIMER);
}

void timer_watcher::startRepeating(duration interval)
{
    startTimer(toSeconds(interval), toSeconds(interval));
}

void timer_watcher::stop()
{
    if (isActive())
        ev_timer_stop(m_loop.get(), &m_watcher);
}

bool timer_watcher::isActive() const
{
    return ev_is_active(&m_watcher) || ev_is_pending(&m_watcher);
}

void timer_watcher::startTimer(double after, double repeat)
{
    stop();
    // libev measures timers from the time at which the loop last woke up. After a long callback
    // that time is outdated, and without the update the timer would expire early by the difference.
    ev_now_update(m_loop.get());
    ev_timer_set(&m_watcher, after, repeat);
    ev_timer_start(m_loop.get(), &m_watcher);
}

void timer_watcher::onDue(struct ev_loop * /*loop*/, ev_timer *watcher, int /*events*/)
{
    const std::shared_ptr<const callback> callbackCopy
        = static_cast<timer_watcher *>(watcher->data)->m_callback;
    (*callbackCopy)();
}

} // namespace almondnotch
