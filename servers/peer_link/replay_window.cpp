#include "servers/peer_link/replay_window.h"

namespace almondnotch {

bool replay_window::accept(std::uint64_t counter)
{
    if (counter == 0)
        return false;
    if (counter > m_highest) {
        if (counter - m_highest >= size) {
            m_accepted.reset();
        } else {
            for (std::uint64_t skipped = m_highest + 1; skipped < counter; ++skipped)
                m_accepted.reset(skipped % size);
        }
        m_highest = counter;
        m_accepted.set(counter % size);
        return true;
    }
    if (m_highest - counter >= size || m_accepted.test(counter % size))
        return false;
    m_accepted.set(counter % size);
    return true;
}

} // namespace almondnotch
