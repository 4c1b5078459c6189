#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace almondnotch {

/// Detects replayed send counters of one sender (the anti-replay window of RFC 4303, section
/// 3.4.3).
class replay_window
{
public:
    /// Number of messages that a sender may send, over all its receivers, while one message is in
    /// flight. Covers 8,000 messages per second with the send time limit of 2 s.
    static constexpr std::size_t size = 16'384;

    /// Records a counter. \return false if the counter is 0, was accepted before, or is too old for
    /// the window.
    bool accept(std::uint64_t counter);

private:
    std::uint64_t m_highest = 0;
    /// Bit `counter % size` is set if that counter of the window was accepted.
    std::bitset<size> m_accepted;
};

} // namespace almondnotch
