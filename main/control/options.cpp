#include "main/control/options.h"

#include <algorithm>

#include <gflags/gflags.h>

#include "config/address.h"
#include "config/fault_list.h"
#include "core/settings.h"

// gflags derives variable names from the option names, which breaks the naming rule.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(operator, "127.0.0.1:9901", "address of the gateway's operator endpoint");
DEFINE_string(entry, "127.0.0.1:8080", "address at which the gateway accepts callers");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(watch, false, "repeat until interrupted; with --output json, print one line per round");
DEFINE_uint32(interval_ms, 1000, "time between the rounds of --watch, 100 to 3600000 ms");
DEFINE_uint32(watch_count, 0, "number of rounds after which --watch ends; 0 means no limit");
DEFINE_string(method, "GET", "HTTP method of the call to explain");
DEFINE_uint64(config_version, 0, "version of the manifest; must be greater than the published one");
DEFINE_string(out, "", "directory to which the parts are written");
DEFINE_string(against, "", "file with the configuration in force, to compare with");
// NOLINTEND(readability-identifier-naming)

namespace almondnotch {

namespace {

constexpr std::string_view step = "parse the command line";

const std::vector<std::string> &optionNames()
{
    static const std::vector<std::string> names {
        "operator",    "entry",  "output",         "watch", "interval_ms",
        "watch_count", "method", "config_version", "out",   "against"};
    return names;
}

tl::unexpected<error> invalidArgument(const std::string &message)
{
    return fail(error_code::invalid_argument, step, "", message);
}

/// An option in one of the forms "--name=value", "--name value" and, for a Boolean, "--name".
struct parsed_option
{
    std::string name;
    std::string value;
    bool hasValue = false;
};

parsed_option splitOption(const std::string &word)
{
    parsed_option option;
    const std::size_t begin = word.rfind("--", 0) == 0 ? 2 : 1;
    const std::size_t equals = word.find('=');
    option.name = word.substr(begin, equals == std::string::npos ? equals : equals - begin);
    std::replace(option.name.begin(), option.name.end(), '-', '_');
    if (equals != std::string::npos) {
        option.value = word.substr(equals + 1);
        option.hasValue = true;
    }
    return option;
}

result<void> checkValues(const control_options &options)
{
    if (options.output != "text" && options.output != "json")
        return invalidArgument("--output: expected text or json, found "
                               + quotedValue(options.output));
    for (const std::string *address : {&options.operatorAddress, &options.entryAddress}) {
        const result<ip_endpoint> parsed = parseAddress(*address);
        if (!parsed)
            return invalidArgument(
                (address == &options.operatorAddress ? "--operator: " : "--entry: ")
                + parsed.error().message);
    }
    if (options.intervalMs < 100 || options.intervalMs > 3600000)
        return invalidArgument("--interval_ms: expected 100 to 3600000, found "
                               + std::to_string(options.intervalMs));
    return {};
}

control_options readFlags()
{
    control_options options;
    options.operatorAddress = FLAGS_operator;
    options.entryAddress = FLAGS_entry;
    options.output = FLAGS_output;
    options.watch = FLAGS_watch;
    options.intervalMs = FLAGS_interval_ms;
    options.watchCount = FLAGS_watch_count;
    options.method = FLAGS_method;
    options.configVersion = FLAGS_config_version;
    options.outDirectory = FLAGS_out;
    options.against = FLAGS_against;
    return options;
}

} // namespace

// Sets each flag separately, because gflags::ParseCommandLineFlags exits with code 1 for an unknown
// option. In almondnotchctl, exit code 1 means that faults were found or the command failed, and
// usage errors have a code of their own.
result<control_options> parseOptions(const std::vector<std::string> &words)
{
    const gflags::FlagSaver restoreAtEnd;
    std::vector<std::string> arguments;
    std::vector<std::string> givenOptions;
    bool help = false;
    bool optionsEnded = false;
    for (std::size_t index = 0; index < words.size(); ++index) {
        const std::string &word = words[index];
        if (optionsEnded || word.size() < 2 || word.front() != '-') {
            arguments.push_back(word);
            continue;
        }
        if (word == "--") {
            optionsEnded = true;
            continue;
        }
        if (word == "--help" || word == "-h") {
            help = true;
            continue;
        }
        parsed_option option = splitOption(word);
        if (std::find(optionNames().begin(), optionNames().end(), option.name)
            == optionNames().end()) {
            const std::string suggestion
                = option.name.size() > 64 ? "" : closestName(option.name, optionNames());
            return invalidArgument(
                "unknown option " + quotedValue(word)
                + (suggestion.empty() ? "" : "; did you mean --" + suggestion + "?"));
        }
        if (!option.hasValue && option.name == "watch") {
            option.value = "true";
        } else if (!option.hasValue) {
            if (++index == words.size())
                return invalidArgument("expected a value after " + word);
            option.value = words[index];
        }
        if (gflags::SetCommandLineOption(option.name.c_str(), option.value.c_str()).empty()) {
            const gflags::CommandLineFlagInfo info
                = gflags::GetCommandLineFlagInfoOrDie(option.name.c_str());
            return invalidArgument("--" + option.name + ": expected a value of type " + info.type
                                   + " (" + info.description + "), found "
                                   + quotedValue(option.value));
        }
        givenOptions.push_back(option.name);
    }
    control_options options = readFlags();
    options.arguments = std::move(arguments);
    options.givenOptions = std::move(givenOptions);
    options.help = help;
    const result<void> checked = checkValues(options);
    if (!checked)
        return tl::unexpected(checked.error());
    return options;
}

std::string describeOption(std::string_view name)
{
    const gflags::CommandLineFlagInfo info
        = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
    std::string out = "--" + info.name;
    if (info.type != "bool" && !info.default_value.empty())
        out += "=" + info.default_value;
    out.resize(std::max<std::size_t>(out.size() + 2, 28), ' ');
    return out + info.description;
}

} // namespace almondnotch
