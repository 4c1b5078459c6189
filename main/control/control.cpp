#include "main/control/control.h"

#include <algorithm>
#include <ostream>

#include "config/fault_list.h"
#include "core/settings.h"

namespace almondnotch {

namespace {

void printExitCodes(std::ostream &out)
{
    out << "\nExit codes:\n"
           "  0  ok\n"
           "  1  faults found, request refused by the gateway, or command failed\n"
           "  2  usage error\n"
           "  3  gateway not reachable\n";
}

void printOverview(std::ostream &out)
{
    out << "Usage: almondnotchctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    for (const command &each : commandTable()) {
        std::string line = std::string(each.name) + " " + std::string(each.arguments);
        line.resize(std::max<std::size_t>(line.size() + 2, 28), ' ');
        out << "  " << line << each.summary << "\n";
    }
    out << "\nalmondnotchctl COMMAND --help shows the options of a command and an example.\n";
    printExitCodes(out);
}

void printCommandHelp(const command &chosen, std::ostream &out)
{
    out << "Usage: almondnotchctl " << chosen.name << (chosen.arguments.empty() ? "" : " ")
        << chosen.arguments << " [OPTIONS]\n\n"
        << chosen.summary << "\n";
    if (!chosen.details.empty())
        out << chosen.details << "\n";
    out << "\nOptions:\n";
    for (const std::string_view option : chosen.options)
        out << "  " << describeOption(option) << "\n";
    out << "\nExample:\n  " << chosen.example << "\n";
    printExitCodes(out);
}

const command *findCommand(std::string_view name)
{
    for (const command &each : commandTable()) {
        if (each.name == name)
            return &each;
    }
    return nullptr;
}

exit_code reportUsageError(std::ostream &err, const std::string &message,
                           std::string_view commandName)
{
    err << "almondnotchctl: " << message << "\n"
        << "See almondnotchctl " << commandName << (commandName.empty() ? "" : " ") << "--help\n";
    return exit_code::usage_error;
}

} // namespace

exit_code runCommandLine(const std::vector<std::string> &words, std::ostream &out,
                         std::ostream &err, bool isTerminal)
{
    result<control_options> options = parseOptions(words);
    if (!options)
        return reportUsageError(err, options.error().message, "");
    if (options->arguments.empty()) {
        printOverview(options->help ? out : err);
        return options->help ? exit_code::ok : exit_code::usage_error;
    }
    const std::string name = options->arguments.front();
    if (name == "help") {
        printOverview(out);
        return exit_code::ok;
    }
    options->arguments.erase(options->arguments.begin());
    const command *chosen = findCommand(name);
    if (chosen == nullptr) {
        std::vector<std::string> names;
        for (const command &each : commandTable())
            names.emplace_back(each.name);
        const std::string suggestion = name.size() > 64 ? "" : closestName(name, names);
        return reportUsageError(
            err,
            "unknown command " + quotedValue(name)
                + (suggestion.empty() ? "" : "; did you mean " + suggestion + "?"),
            "");
    }
    if (options->help) {
        printCommandHelp(*chosen, out);
        return exit_code::ok;
    }
    const auto unsupportedIt
        = std::find_if(options->givenOptions.begin(), options->givenOptions.end(),
                       [chosen](const std::string &option) {
                           return std::find(chosen->options.begin(), chosen->options.end(), option)
                                  == chosen->options.end();
                       });
    if (unsupportedIt != options->givenOptions.end())
        return reportUsageError(err, name + " does not accept --" + *unsupportedIt, name);
    const std::size_t count = options->arguments.size();
    if (count < chosen->argumentsMin || count > chosen->argumentsMax)
        return reportUsageError(
            err,
            name + ": expected "
                + (chosen->arguments.empty() ? "no arguments"
                                             : "the arguments " + std::string(chosen->arguments))
                + ", found " + std::to_string(count) + (count == 1 ? " argument" : " arguments"),
            name);
    return chosen->run(command_context {*options, out, err, isTerminal});
}

} // namespace almondnotch
