#include "servers/event_loop/signal_watcher.h"

namespace almondnotch {

signal_watcher::signal_watcher(const event_loop &loop, int signalNumber, callback onSignal)
    : m_loop(loop.handle()), m_callback(std::make_shared<const callback>(std::move(onSignal)))
{
    ev_signal_init(&m_watcher, &signal_watcher::onSignal, signalNumber);
    m_watcher.data = this;
    ev_signal_start(m_loop.get(), &m_watcher);
}

signal_watcher::~signal_watcher()
{
    ev_signal_stop(m_loop.get(), &m_watcher);
}

void signal_watcher::onSignal(struct ev_loop * /*loop*/, ev_signal *watcher, int /*events*/)
{
    const std::shared_ptr<const callback> callbackCopy
        = static_cast<signal_watcher *>(watcher->data)->m_callback;
    (*callbackCopy)();
}

} // namespace almondnotch
