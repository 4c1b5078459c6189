#include "core/random_source.h"

#include <cmath>

namespace almondnotch {

std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t random_source::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    return mixBits(m_state);
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    if (bound == 0)
        return 0;
    // The modulo bias is below 2^-32, since all bounds (table sizes, durations in microseconds) are
    // below 2^32.
    return next() % bound;
}

double random_source::uniform()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

double random_source::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

} // namespace almondnotch
