#pragma once

#include <iosfwd>
#include <string_view>
#include <vector>

#include "main/control/options.h"

namespace almondnotch {

/// Exit codes of almondnotchctl, part of its interface for scripts.
enum class exit_code {
    ok = 0,
    /// Faults were found, or the gateway refused the request.
    refused = 1,
    usage_error = 2,
    /// No complete response came from the gateway.
    unreachable = 3,
};

/// What a command works with.
struct command_context
{
    const control_options &options;
    std::ostream &out;
    std::ostream &err;
    /// The output is a terminal: colours and clearing are allowed.
    bool isTerminal = false;

    bool wantsJson() const { return options.output == "json"; }
};

/// One sub-command.
struct command
{
    std::string_view name;
    /// Positional arguments for the usage line.
    std::string_view arguments;
    std::size_t argumentsMin = 0;
    std::size_t argumentsMax = 0;
    /// One sentence.
    std::string_view summary;
    /// Further sentences for the command's own help.
    std::string_view details;
    std::string_view example;
    /// Options that it accepts, by name.
    std::vector<std::string_view> options;
    exit_code (*run)(const command_context &context);
};

const std::vector<command> &commandTable();

} // namespace almondnotch
