#pragma once

#include <string_view>

namespace almondnotch {

/// False if this build disables the named protective mechanism. `scripts/mutants.sh` builds with
/// `-DALMONDNOTCH_MUTANT=NAME` and expects a test to fail, which shows that the mechanism is
/// needed and covered by a test. Production builds enable every mechanism.
constexpr bool isMechanismEnabled([[maybe_unused]] std::string_view name)
{
#ifdef ALMONDNOTCH_MUTANT
    return name != ALMONDNOTCH_MUTANT;
#else
    return true;
#endif
}

} // namespace almondnotch
