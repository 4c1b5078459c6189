#include "servers/event_loop/flush_wait.h"

#include <utility>

namespace almondnotch {

flush_wait::flush_wait(const event_loop &loop)
    : m_timer(loop, [this] {
          if (m_done)
              std::exchange(m_done, nullptr)();
      })
{ }

void flush_wait::begin(bool isFlushed, duration timeLimit, std::function<void()> done)
{
    m_done = std::move(done);
    m_timer.start(isFlushed ? duration(0) : timeLimit);
}

void flush_wait::notifyFlushed()
{
    if (m_done)
        m_timer.start(duration(0));
}

} // namespace almondnotch
