#include "main/control/local_commands.h"

#include <filesystem>
#include <optional>
#include <ostream>

#include "config/parser.h"
#include "core/digest.h"
#include "core/version.h"
#include "main/control/config_directory.h"
#include "main/control/json_text.h"
#include "main/control/text_table.h"

namespace almondnotch {

namespace {

using json = nlohmann::ordered_json;

/// A configuration set without faults.
struct checked_set
{
    std::vector<config_text> texts;
    config_objects objects;
};

std::string formatCount(std::size_t number, const std::string &singular)
{
    return std::to_string(number) + " " + singular + (number == 1 ? "" : "s");
}

void printFaults(const command_context &context, const std::string &directory,
                 const std::vector<config_fault> &faults)
{
    if (context.wantsJson()) {
        json list = json::array();
        for (const config_fault &fault : faults)
            list.push_back({{"file", fault.file},
                            {"line", fault.line},
                            {"object", fault.object},
                            {"message", fault.message}});
        printJson({{"ok", false}, {"directory", directory}, {"faults", list}}, context.out, false);
        return;
    }
    for (const config_fault &fault : faults) {
        const std::string location = fault.file.empty() ? directory + ": "
                                                        : directory + "/" + fault.file + ":"
                                                              + std::to_string(fault.line) + ": ";
        context.out << styled(printable(location), text_style::bold, context.isTerminal)
                    << printable(fault.object.empty() ? "" : fault.object + ": ")
                    << printable(fault.message) << "\n";
    }
    context.out << styled(formatCount(faults.size(), "fault"), text_style::red, context.isTerminal)
                << "\n";
}

/// Reads and checks a configuration set. If that fails, prints the faults or the error and sets
/// `failure`.
std::optional<checked_set> loadSet(const command_context &context, const std::string &directory,
                                   exit_code &failure)
{
    result<std::vector<config_text>> texts = readConfigDirectory(directory);
    if (!texts) {
        context.err << "almondnotchctl: " << toString(texts.error()) << "\n";
        failure = exit_code::usage_error;
        return std::nullopt;
    }
    tl::expected<config_objects, std::vector<config_fault>> objects = parseConfig(*texts);
    if (!objects) {
        printFaults(context, directory, objects.error());
        failure = exit_code::failed;
        return std::nullopt;
    }
    return checked_set {std::move(*texts), std::move(*objects)};
}

text_style styleOfChange(std::string_view change)
{
    if (change.rfind("added", 0) == 0)
        return text_style::green;
    if (change.rfind("removed", 0) == 0)
        return text_style::red;
    if (change.rfind("routing", 0) == 0)
        return text_style::cyan;
    return text_style::yellow;
}

result<config_manifest> makeManifest(const std::vector<config_text> &texts, std::uint64_t version)
{
    config_manifest manifest;
    manifest.version = version;
    for (const config_text &text : texts)
        manifest.parts.push_back({text.name, sha256Hex(text.text), text.text.size()});
    // Parsing the manifest applies the checks that gateways apply, such as those of file names.
    return parseManifest(formatManifest(manifest));
}

result<void> writeParts(const std::vector<config_text> &texts, const config_manifest &manifest,
                        const std::string &directory)
{
    std::error_code failure;
    std::filesystem::create_directories(directory, failure);
    if (failure)
        return fail(error_code::unavailable, "create directory", directory, failure.message());
    for (std::size_t index = 0; index < texts.size(); ++index) {
        const result<void> written = writeFileAtomically(
            (std::filesystem::path(directory) / manifest.parts[index].sha256).string(),
            texts[index].text);
        if (!written)
            return written;
    }
    return {};
}

} // namespace

exit_code runCheck(const command_context &context)
{
    const std::string &directory = context.options.arguments[0];
    exit_code failure = exit_code::ok;
    const std::optional<checked_set> set = loadSet(context, directory, failure);
    if (!set)
        return failure;
    const config_objects &objects = set->objects;
    if (context.wantsJson()) {
        printJson({{"ok", true},
                   {"directory", directory},
                   {"faults", json::array()},
                   {"files", set->texts.size()},
                   {"failure_domains", objects.failureDomains.size()},
                   {"entry_vms", objects.entryVms.size()},
                   {"groups", objects.groups.size()},
                   {"workers", objects.workers.size()},
                   {"services", objects.services.size()},
                   {"rules", objects.rules.size()}},
                  context.out, false);
        return exit_code::ok;
    }
    context.out << styled("ok", text_style::green, context.isTerminal) << ": "
                << formatCount(set->texts.size(), "file") << ", "
                << formatCount(objects.failureDomains.size(), "failure domain") << ", "
                << formatCount(objects.entryVms.size(), "entry VM") << ", "
                << formatCount(objects.groups.size(), "group") << ", "
                << formatCount(objects.workers.size(), "worker") << ", "
                << formatCount(objects.services.size(), "service") << ", "
                << formatCount(objects.rules.size(), "rule") << "\n";
    return exit_code::ok;
}

exit_code runDiff(const command_context &context)
{
    exit_code failure = exit_code::ok;
    const std::optional<checked_set> before
        = loadSet(context, context.options.arguments[0], failure);
    if (!before)
        return failure;
    const std::optional<checked_set> after
        = loadSet(context, context.options.arguments[1], failure);
    if (!after)
        return failure;
    const std::vector<std::string> changes = describeChanges(before->objects, after->objects);
    if (context.wantsJson()) {
        printJson({{"changes", changes}}, context.out, false);
        return exit_code::ok;
    }
    for (const std::string &change : changes)
        context.out << styled(change, styleOfChange(change), context.isTerminal) << "\n";
    context.out << (changes.empty() ? "no difference" : formatCount(changes.size(), "difference"))
                << "\n";
    return exit_code::ok;
}

exit_code runManifest(const command_context &context)
{
    if (context.options.configVersion == 0) {
        context.err << "almondnotchctl: --config_version: expected a version greater than the "
                       "published one\n";
        return exit_code::usage_error;
    }
    exit_code failure = exit_code::ok;
    const std::optional<checked_set> set = loadSet(context, context.options.arguments[0], failure);
    if (!set)
        return failure;
    const result<config_manifest> manifest
        = makeManifest(set->texts, context.options.configVersion);
    if (!manifest) {
        context.err << "almondnotchctl: " << toString(manifest.error()) << "\n";
        return exit_code::failed;
    }
    if (!context.options.outDirectory.empty()) {
        const result<void> written
            = writeParts(set->texts, *manifest, context.options.outDirectory);
        if (!written) {
            context.err << "almondnotchctl: " << toString(written.error()) << "\n";
            return exit_code::failed;
        }
    }
    if (!context.wantsJson()) {
        context.out << formatManifest(*manifest);
        return exit_code::ok;
    }
    json parts = json::array();
    for (const manifest_part &part : manifest->parts)
        parts.push_back({{"name", part.name}, {"sha256", part.sha256}, {"bytes", part.bytes}});
    printJson({{"version", manifest->version}, {"parts", parts}}, context.out, false);
    return exit_code::ok;
}

exit_code runVersion(const command_context &context)
{
    if (context.wantsJson())
        printJson({{"version", ALMONDNOTCH_VERSION}}, context.out, false);
    else
        context.out << "almondnotchctl " << ALMONDNOTCH_VERSION << "\n";
    return exit_code::ok;
}

} // namespace almondnotch
