#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace almondnotch {

/// Finds repeated counters of one sender (the anti-replay window of RFC 4303, section 3.4.3).
class replay_window
{
public:
    /// Messages that a sender may have sent, to all its receivers, while one is on its way. Covers
    /// 8,000 messages a second at the send time limit of 2 s.
    static constexpr std::size_t size = 16'384;

    /// \return false if the counter was accepted before, or is too old to tell.
    bool accept(std::uint64_t counter);

private:
    std::uint64_t m_highest = 0;
    /// Bit `counter % size` is set if that counter of the window was accepted.
    std::bitset<size> m_accepted;
};

} // namespace almondnotch
