#pragma once

#include <string_view>

namespace almondnotch {

/// True unless this build leaves out the named protective mechanism. `scripts/mutants.sh` builds
/// with `-DALMONDNOTCH_MUTANT=NAME` and expects that a test or scenario then fails, which shows
/// that the mechanism is needed and guarded. Product builds leave out nothing.
constexpr bool isMechanismEnabled([[maybe_unused]] std::string_view name)
{
#ifdef ALMONDNOTCH_MUTANT
    return name != ALMONDNOTCH_MUTANT;
#else
    return true;
#endif
}

} // namespace almondnotch
