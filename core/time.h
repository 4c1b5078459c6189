#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace almondnotch {

/// Time span in whole microseconds, which is precise enough for latency targets of milliseconds and
/// avoids floating point.
using duration = std::chrono::microseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A point in time on the process's monotonic clock. Instants of different processes are not
/// comparable.
class instant
{
public:
    constexpr instant() = default;
    constexpr explicit instant(duration sinceOrigin) : m_sinceOrigin(sinceOrigin) { }

    /// Later than every instant that a clock returns; stands for an event that is not scheduled or
    /// has not happened, for example no timer or no deadline.
    static constexpr instant never() { return instant(duration::max()); }

    constexpr duration sinceOrigin() const { return m_sinceOrigin; }

    // clang-tidy 14 mistakes the 0 in the compiler-generated comparison for a null pointer.
    constexpr auto operator<=>(const instant &) const = default; // NOLINT(modernize-use-nullptr)

    friend constexpr instant operator+(instant at, duration length)
    {
        // Saturates, so that `never()` plus a duration stays `never()`.
        return at.m_sinceOrigin > duration::max() - length ? never()
                                                           : instant(at.m_sinceOrigin + length);
    }
    friend constexpr instant operator-(instant at, duration length)
    {
        return instant(at.m_sinceOrigin - length);
    }
    friend constexpr duration operator-(instant later, instant earlier)
    {
        return later.m_sinceOrigin - earlier.m_sinceOrigin;
    }

private:
    duration m_sinceOrigin {0};
};

/// Duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

/// Duration multiplied by a factor, rounded towards zero.
constexpr duration scaled(duration length, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

/// Duration in seconds, for rates.
constexpr double toSeconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace almondnotch
