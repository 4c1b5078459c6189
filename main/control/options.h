#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace almondnotch {

/// The parsed command line.
struct control_options
{
    std::string operatorAddress;
    std::string entryAddress;
    /// "text" or "json".
    std::string output;
    bool watch = false;
    std::uint32_t intervalMs = 0;
    /// Rounds of a watch; 0 is without end.
    std::uint32_t watchCount = 0;
    std::string method;
    std::uint64_t configVersion = 0;
    std::string outDirectory;
    bool help = false;
    /// Names of the options that were given.
    std::vector<std::string> givenOptions;
    /// Everything that is not an option, the command first.
    std::vector<std::string> arguments;
};

/// Parses options in any place. \return an error that says what was expected.
result<control_options> parseOptions(const std::vector<std::string> &words);

/// "--name=DEFAULT  meaning" for the help of one option.
std::string describeOption(std::string_view name);

} // namespace almondnotch
