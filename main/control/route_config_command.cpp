#include "main/control/route_config_command.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>

#include "decision/routing/requests/route_config_check.h"
#include "main/control/json_text.h"
#include "main/control/text_table.h"
#include "platform/item_decoder.h"

namespace almondnotch {

namespace {

using json = nlohmann::ordered_json;

/// Result of reading and checking a file.
struct checked_file
{
    shared_route_config config;
    std::vector<config_finding> findings;
    /// What was not understood; empty if there is nothing.
    std::string warning;
};

result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (!file.is_open() || file.bad())
        return fail(error_code::unavailable, "read configuration", path, "the file cannot be read");
    return bytes;
}

/// A file that cannot be decoded has the decoder's fault as its only finding.
result<checked_file> checkFile(const std::string &path)
{
    const result<std::string> bytes = readFile(path);
    if (!bytes)
        return tl::unexpected(bytes.error());
    published_item item;
    platform::decodeConfiguration(*bytes, item);
    if (!item.config)
        return checked_file {nullptr, {{finding_kind::error, "configuration", item.fault}}, {}};
    return checked_file {item.config, checkRouteConfig(*item.config), item.warning};
}

/// Differences to the version in force, and an error if its version is not lower.
std::vector<std::string> compareWith(const checked_file &inForce, checked_file &checked)
{
    if (!inForce.config || !checked.config)
        return {};
    if (checked.config->version <= inForce.config->version)
        checked.findings.push_back(
            {finding_kind::error, "version",
             "expected a version above " + std::to_string(inForce.config->version) + ", found "
                 + std::to_string(checked.config->version) + "; gateways would ignore it"});
    return describeDifferences(*inForce.config, *checked.config);
}

void printAsJson(const command_context &context, const checked_file &checked,
                 const std::vector<std::string> &differences)
{
    json findings = json::array();
    for (const config_finding &finding : checked.findings)
        findings.push_back({{"kind", toString(finding.kind)},
                            {"subject", finding.subject},
                            {"message", finding.message}});
    printJson({{"ok", checked.findings.empty()},
               {"findings", findings},
               {"warning", checked.warning},
               {"differences", differences}},
              context.out, false);
}

void printAsText(const command_context &context, const checked_file &checked,
                 const std::vector<std::string> &differences)
{
    for (const config_finding &finding : checked.findings)
        context.out << styled(toString(finding.kind), text_style::red, context.isTerminal) << ": "
                    << printable(finding.subject) << ": " << printable(finding.message) << "\n";
    if (!checked.warning.empty())
        context.out << "warning: " << printable(checked.warning) << "\n";
    for (const std::string &difference : differences)
        context.out << printable(difference) << "\n";
    if (!checked.findings.empty()) {
        context.out << checked.findings.size() << " findings\n";
        return;
    }
    context.out << "ok: version " << checked.config->version << ", "
                << checked.config->routes.size() << " routes, " << checked.config->services.size()
                << " services\n";
}

} // namespace

exit_code runConfig(const command_context &context)
{
    if (context.options.arguments[0] != "check") {
        context.err << "almondnotchctl: config: expected check, found "
                    << printable(context.options.arguments[0]) << "\n";
        return exit_code::usage_error;
    }
    result<checked_file> checked = checkFile(context.options.arguments[1]);
    if (!checked) {
        context.err << "almondnotchctl: " << toString(checked.error()) << "\n";
        return exit_code::usage_error;
    }
    std::vector<std::string> differences;
    if (!context.options.against.empty()) {
        const result<checked_file> inForce = checkFile(context.options.against);
        if (!inForce || !inForce->config) {
            context.err << "almondnotchctl: --against: "
                        << (inForce ? inForce->findings.front().message : toString(inForce.error()))
                        << "\n";
            return exit_code::usage_error;
        }
        differences = compareWith(*inForce, *checked);
    }
    if (context.wantsJson())
        printAsJson(context, *checked, differences);
    else
        printAsText(context, *checked, differences);
    return checked->findings.empty() ? exit_code::ok : exit_code::failed;
}

} // namespace almondnotch
