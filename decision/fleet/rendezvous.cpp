#include "decision/fleet/rendezvous.h"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace almondnotch {

double rendezvousScore(std::string_view key, std::string_view member, double weight)
{
    const XXH64_hash_t hash = XXH64(member.data(), member.size(), XXH64(key.data(), key.size(), 0));
    // The upper 53 bits, moved off 0 and 1, where the logarithm has no finite or no useful value.
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    return -weight / std::log(uniform);
}

} // namespace almondnotch
