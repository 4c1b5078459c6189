#include "main/control/online_commands.h"

#include <chrono>
#include <optional>
#include <ostream>
#include <thread>

#include "config/fault_list.h"
#include "core/settings.h"
#include "main/control/http_client.h"
#include "main/control/json_text.h"
#include "main/control/text_table.h"

namespace almondnotch {

namespace {

using json = nlohmann::ordered_json;

/// Result of a request: a value to print, or an exit code if an error message was printed.
struct query_outcome
{
    exit_code code = exit_code::ok;
    json value;
};

query_outcome reportUnreachable(const command_context &context, const std::string &address,
                                std::string_view option, const error &failure)
{
    context.err << "almondnotchctl: no response from the gateway at " << address << ": "
                << printable(failure.message)
                << "; expected a running almondnotchd at this address; "
                << "another address can be given with --" << option << "\n";
    return {exit_code::unreachable, {}};
}

/// Sends a request and parses the JSON response. Prints an error message on failure.
/// \param option name of the option that gives the address, "operator" or "entry".
query_outcome requestJson(const command_context &context, std::string_view method,
                          std::string_view option, const std::string &target)
{
    const std::string &address
        = option == "entry" ? context.options.entryAddress : context.options.operatorAddress;
    const result<http_response> response = sendRequest(method, address, target);
    if (!response)
        return reportUnreachable(context, address, option, response.error());
    const result<json> body = parseJson(response->body, address);
    if (response->status >= 200 && response->status < 300) {
        if (body)
            return {exit_code::ok, *body};
        // The response to a drain request may be empty.
        if (response->body.empty())
            return {exit_code::ok, json::object()};
        context.err << "almondnotchctl: " << printable(toString(body.error())) << "\n";
        return {exit_code::failed, {}};
    }
    std::string detail;
    if (body && body->is_object()) {
        for (const std::string_view key : {"detail", "error", "title"}) {
            const auto found = body->find(std::string(key));
            if (detail.empty() && found != body->end() && found->is_string())
                detail = ": " + found->get<std::string>();
        }
    }
    context.err << "almondnotchctl: the gateway at " << address
                << " refused the request with status " << response->status << printable(detail)
                << "\n";
    return {exit_code::failed, {}};
}

/// Runs a query and prints its result, repeatedly with --watch. A gateway that does not respond
/// does not end the watch, since operators also watch restarts.
template <typename Query>
exit_code runQuery(const command_context &context, const Query &query)
{
    const control_options &options = context.options;
    for (std::uint32_t round = 1;; ++round) {
        const query_outcome outcome = query();
        if (outcome.code == exit_code::ok) {
            if (options.watch && context.isTerminal && !context.wantsJson())
                context.out << "\x1b[H\x1b[2J";
            if (context.wantsJson())
                printJson(outcome.value, context.out, options.watch);
            else
                printJsonAsText(outcome.value, context.out, context.isTerminal);
            context.out.flush();
        }
        if (!options.watch || !context.out || round == options.watchCount)
            return outcome.code;
        std::this_thread::sleep_for(std::chrono::milliseconds(options.intervalMs));
    }
}

/// Finds an object or array by its key: in `value`, or else by depth-first search of its members.
/// \param depth maximum number of levels to search.
const json *findMember(const json &value, const std::string &name, int depth)
{
    if (!value.is_object() || depth == 0)
        return nullptr;
    const auto found = value.find(name);
    if (found != value.end() && found->is_structured())
        return &*found;
    for (const json &each : value) {
        const json *inner = findMember(each, name, depth - 1);
        if (inner != nullptr)
            return inner;
    }
    return nullptr;
}

query_outcome requestTable(const command_context &context, const std::string &name)
{
    query_outcome outcome = requestJson(context, "GET", "operator", "/dump");
    if (outcome.code != exit_code::ok || name.empty())
        return outcome;
    const json *table = findMember(outcome.value, name, 4);
    if (table != nullptr)
        return {exit_code::ok, *table};
    std::vector<std::string> names;
    for (const auto &[key, member] : outcome.value.items())
        names.push_back(key);
    const std::string suggestion = name.size() > 64 ? "" : closestName(name, names);
    context.err << "almondnotchctl: the state dump has no table " << quotedValue(name)
                << (suggestion.empty() ? "" : "; did you mean " + quotedValue(suggestion) + "?")
                << "\n";
    return {exit_code::failed, {}};
}

} // namespace

exit_code runDump(const command_context &context)
{
    const std::string table = context.options.arguments.empty() ? "" : context.options.arguments[0];
    return runQuery(context, [&]() { return requestTable(context, table); });
}

exit_code runWorkers(const command_context &context)
{
    return runQuery(context, [&]() { return requestTable(context, "workers"); });
}

exit_code runExplain(const command_context &context)
{
    const std::string target = "/explain?path=" + encodeQueryValue(context.options.arguments[0])
                               + "&method=" + encodeQueryValue(context.options.method);
    return runQuery(context, [&]() { return requestJson(context, "GET", "operator", target); });
}

exit_code runEntrypoints(const command_context &context)
{
    const std::string target = "/.well-known/almondnotch/entry?service="
                               + encodeQueryValue(context.options.arguments[0]);
    return runQuery(context, [&]() { return requestJson(context, "GET", "entry", target); });
}

exit_code runDrain(const command_context &context)
{
    const query_outcome outcome = requestJson(context, "POST", "operator", "/drain");
    if (outcome.code != exit_code::ok)
        return outcome.code;
    if (context.wantsJson()) {
        printJson(outcome.value, context.out, false);
        return exit_code::ok;
    }
    context.out << "the gateway at " << context.options.operatorAddress << " is draining\n";
    if (!outcome.value.empty())
        printJsonAsText(outcome.value, context.out, context.isTerminal);
    return exit_code::ok;
}

} // namespace almondnotch
