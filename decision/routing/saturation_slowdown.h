#pragma once

#include <algorithm>

namespace almondnotch {

/// How much longer work takes that starts on a worker whose slots are nearly all in use, learned
/// from responses.
///
/// Workers that slow down when they are nearly full answer more requests in a second with one slot
/// left free: with four slots and a factor of 1.5, three requests at the usual speed are more than
/// four at two thirds of it.
class saturation_slowdown
{
public:
    /// Slots of a worker that are in use without crowding it; at least one.
    static unsigned unsaturatedSlots(unsigned slots)
    {
        // The last quarter of the slots counts as nearly full.
        return std::max(1U, slots * 3 / 4);
    }

    /// \param ratio time that the work took on a crowded worker, as a multiple of its usual time.
    void add(double ratio)
    {
        m_sampleCount = std::min(m_sampleCount + 1, sampleCountMax);
        m_factor += (std::clamp(ratio, 0.5, 4.0) - m_factor) / m_sampleCount;
    }

    /// At least 1.
    double factor() const { return std::max(m_factor, 1.0); }

    /// True if workers with that many slots do more when the last of them stay free.
    bool reducesThroughput(unsigned slots) const
    {
        const unsigned unsaturated = unsaturatedSlots(slots);
        return unsaturated < slots && unsaturated * factor() > slots;
    }

private:
    /// Samples that the value before the first counts for, and most that the mean reaches back.
    static constexpr double priorSampleCount = 4;
    static constexpr double sampleCountMax = 60;

    double m_factor = 1.25;
    double m_sampleCount = priorSampleCount;
};

} // namespace almondnotch
