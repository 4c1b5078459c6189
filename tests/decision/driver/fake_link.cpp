#include "tests/decision/driver/fake_link.h"

namespace almondnotch {

bool fake_link::send(event_queue::callback deliver)
{
    if (m_blocked || (m_loss > 0 && m_random.uniform() < m_loss))
        return false;
    duration delay = m_delay;
    if (m_jitter > duration(0)) {
        const double jitter = m_random.exponential(static_cast<double>(m_jitter.count()));
        delay += duration(static_cast<std::int64_t>(jitter));
    }
    m_queue.after(delay, std::move(deliver));
    return true;
}

} // namespace almondnotch
