#pragma once

#include <iosfwd>
#include <string_view>
#include <vector>

#include "main/control/options.h"

namespace almondnotch {

/// Exit codes of almondnotchctl, part of its interface for scripts.
enum class exit_code {
    ok = 0,
    /// Faults were found, the gateway refused the request, or the command failed.
    failed = 1,
    usage_error = 2,
    /// The gateway sent no complete response.
    unreachable = 3,
};

/// Options and output streams of a command.
struct command_context
{
    const control_options &options;
    std::ostream &out;
    std::ostream &err;
    /// True if `out` is a terminal, which can show colours and be cleared.
    bool isTerminal = false;

    bool wantsJson() const { return options.output == "json"; }
};

/// A subcommand of almondnotchctl.
struct command
{
    std::string_view name;
    /// Positional arguments for the usage line.
    std::string_view arguments;
    std::size_t argumentsMin = 0;
    std::size_t argumentsMax = 0;
    /// One sentence for the list of commands.
    std::string_view summary;
    /// Further sentences for the command's own help.
    std::string_view details;
    std::string_view example;
    /// Names of the accepted options.
    std::vector<std::string_view> options;
    exit_code (*run)(const command_context &context);
};

const std::vector<command> &commandTable();

} // namespace almondnotch
