#pragma once

#include <algorithm>

namespace almondnotch {

/// Estimates how much longer requests take on a nearly saturated worker, that is, one with almost
/// all slots in use when the request starts. The estimate is learned from responses.
///
/// If workers slow down near saturation, leaving one slot free raises their throughput. Example:
/// with four slots and a factor of 1.5, three requests at full speed complete more per second than
/// four requests at two thirds of it.
class saturation_slowdown
{
public:
    /// Number of slots that can be in use before the worker counts as nearly saturated; at least 1.
    static unsigned unsaturatedSlots(unsigned slots)
    {
        // A worker is nearly saturated when more than three quarters of its slots are in use.
        return std::max(1U, slots * 3 / 4);
    }

    /// Adds a sample.
    /// \param ratio service time measured on a nearly saturated worker, as a multiple of the usual
    /// service time.
    void add(double ratio)
    {
        m_sampleCount = std::min(m_sampleCount + 1, sampleCountMax);
        m_factor += (std::clamp(ratio, 0.5, 4.0) - m_factor) / m_sampleCount;
    }

    /// Slowdown factor, at least 1.
    double factor() const { return std::max(m_factor, 1.0); }

    /// True if a worker with this number of slots has a lower throughput with all of them in use
    /// than with only `unsaturatedSlots(slots)` in use.
    bool reducesThroughput(unsigned slots) const
    {
        const unsigned unsaturated = unsaturatedSlots(slots);
        return unsaturated < slots && unsaturated * factor() > slots;
    }

private:
    /// Number of samples that the initial estimate counts as, and the maximum sample count of the
    /// running mean, so that new samples keep some weight.
    static constexpr double priorSampleCount = 4;
    static constexpr double sampleCountMax = 60;

    double m_factor = 1.25;
    double m_sampleCount = priorSampleCount;
};

} // namespace almondnotch
