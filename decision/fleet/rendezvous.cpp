#include "decision/fleet/rendezvous.h"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace almondnotch {

double rendezvousScore(std::string_view key, std::string_view member, double weight)
{
    const XXH64_hash_t hash = XXH64(member.data(), member.size(), XXH64(key.data(), key.size(), 0));
    // The upper 53 bits, mapped to the open interval (0, 1): the logarithm is infinite at 0 and
    // zero at 1.
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    return -weight / std::log(uniform);
}

} // namespace almondnotch
