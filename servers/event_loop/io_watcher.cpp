#include "servers/event_loop/io_watcher.h"

namespace almondnotch {

io_watcher::io_watcher(const event_loop &loop, callback onReady)
    : m_loop(loop.handle()), m_callback(std::make_shared<const callback>(std::move(onReady)))
{
    ev_init(&m_watcher, &io_watcher::onReady);
    m_watcher.data = this;
}

io_watcher::~io_watcher()
{
    stop();
}

void io_watcher::start(int descriptor, int events)
{
    if (isActive() && m_watcher.fd == descriptor
        && (m_watcher.events & (EV_READ | EV_WRITE)) == events)
        return;
    stop();
    ev_io_set(&m_watcher, descriptor, events);
    ev_io_start(m_loop.get(), &m_watcher);
}

void io_watcher::stop()
{
    if (isActive())
        ev_io_stop(m_loop.get(), &m_watcher);
}

bool io_watcher::isActive() const
{
    return ev_is_active(&m_watcher);
}

void io_watcher::onReady(struct ev_loop * /*loop*/, ev_io *watcher, int events)
{
    // The copy keeps the callback alive if the callback destroys the watcher.
    const std::shared_ptr<const callback> callbackCopy
        = static_cast<io_watcher *>(watcher->data)->m_callback;
    (*callbackCopy)(events);
}

} // namespace almondnotch
