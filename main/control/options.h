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
    /// Number of rounds with --watch; 0 means no limit.
    std::uint32_t watchCount = 0;
    std::string method;
    std::uint64_t configVersion = 0;
    std::string outDirectory;
    /// File with the configuration in force; empty if there is nothing to compare with.
    std::string against;
    bool help = false;
    /// Names of the options that were given.
    std::vector<std::string> givenOptions;
    /// Positional arguments, the command first.
    std::vector<std::string> arguments;
};

/// Parses the command line. Options may stand before, between or after the arguments.
/// \return the options, or `invalid_argument` with a message that states what was expected.
result<control_options> parseOptions(const std::vector<std::string> &words);

/// Returns the help line of one option, as in "--name=DEFAULT  description".
std::string describeOption(std::string_view name);

} // namespace almondnotch
