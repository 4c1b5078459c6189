#pragma once

#include <cstdint>

namespace almondnotch {

/// Generator of seeded pseudo-random numbers (SplitMix64, Steele et al., OOPSLA 2014). The same
/// seed gives the same sequence on every platform, which `std::uniform_*_distribution` does not
/// guarantee. Not cryptographically secure.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : m_state(seed) { }

    std::uint64_t next();

    /// Uniform in [0, bound); 0 for a bound of 0.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform in [0, 1).
    double uniform();

    /// Exponentially distributed with the given mean.
    double exponential(double mean);

private:
    std::uint64_t m_state;
};

/// Mixes the bits of a 64-bit value (finaliser of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

} // namespace almondnotch
