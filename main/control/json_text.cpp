#include "main/control/json_text.h"

#include <algorithm>
#include <ostream>

#include "main/control/text_table.h"

namespace almondnotch {

namespace {

using json = nlohmann::ordered_json;

constexpr int nestingMax = 32;
/// Maximum length of a nested value in a table cell, bytes. For a longer one, only the number of
/// entries is printed, to keep the columns narrow.
constexpr std::size_t cellBytesMax = 60;

std::string cellText(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_null())
        return "-";
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > cellBytesMax && value.is_structured())
        text = std::to_string(value.size()) + (value.size() == 1 ? " entry" : " entries");
    return text;
}

bool isArrayOfObjects(const json &value)
{
    return value.is_array() && !value.empty()
           && std::all_of(value.begin(), value.end(),
                          [](const json &each) { return each.is_object(); });
}

/// Whether the value is an object whose members are objects with the same keys, as in
/// {"worker-1": {...}, "worker-2": {...}}. It is printed as a table with a row for each member, any
/// other object as sections.
bool isNamedRows(const json &value)
{
    if (!value.is_object() || value.size() < 2)
        return false;
    const json &first = *value.begin();
    return std::all_of(value.begin(), value.end(), [&first](const json &each) {
        if (!each.is_object() || each.empty() || each.size() != first.size())
            return false;
        for (const auto &[key, member] : each.items()) {
            if (!first.contains(key))
                return false;
        }
        return true;
    });
}

void printRows(const json &rows, std::ostream &out, bool isTerminal)
{
    std::vector<std::string> headings;
    const bool hasRowNames = rows.is_object();
    for (const json &row : rows) {
        for (const auto &[key, member] : row.items()) {
            if (std::find(headings.begin(), headings.end(), key) == headings.end())
                headings.push_back(key);
        }
    }
    std::vector<std::string> columnHeadings;
    if (hasRowNames)
        columnHeadings.emplace_back("name");
    for (const std::string &heading : headings)
        columnHeadings.push_back(printable(heading));
    text_table table(columnHeadings);
    for (const auto &[name, row] : rows.items()) {
        std::vector<std::string> cells;
        if (hasRowNames)
            cells.push_back(name);
        for (const std::string &heading : headings) {
            const auto found = row.find(heading);
            cells.push_back(found == row.end() ? "" : cellText(*found));
        }
        table.addRow(std::move(cells));
    }
    table.print(out, isTerminal);
}

void printSection(const json &value, const std::string &title, std::ostream &out, bool isTerminal)
{
    if (!title.empty())
        out << "\n" << styled(printable(title), text_style::bold, isTerminal) << "\n";
    if (isArrayOfObjects(value) || isNamedRows(value)) {
        printRows(value, out, isTerminal);
        return;
    }
    if (!value.is_object()) {
        out << printable(cellText(value)) << "\n";
        return;
    }
    text_table valueTable({});
    for (const auto &[key, each] : value.items()) {
        if (each.is_object() ? each.empty() : !isArrayOfObjects(each))
            valueTable.addRow({key, cellText(each)});
    }
    valueTable.print(out, isTerminal);
    const std::string prefix = title.empty() ? "" : title + ".";
    for (const auto &[key, each] : value.items()) {
        if (isArrayOfObjects(each) || (each.is_object() && !each.empty()))
            printSection(each, prefix + key, out, isTerminal);
    }
}

} // namespace

result<json> parseJson(std::string_view text, std::string_view peer)
{
    const json::parser_callback_t limitDepth
        = [](int depth, json::parse_event_t, json &) { return depth <= nestingMax; };
    json value = json::parse(text, limitDepth, false);
    if (value.is_discarded())
        return fail(error_code::invalid_message, "read response", peer,
                    "the response is not valid JSON");
    return value;
}

void printJsonAsText(const json &value, std::ostream &out, bool isTerminal)
{
    printSection(value, "", out, isTerminal);
}

void printJson(const json &value, std::ostream &out, bool compact)
{
    out << value.dump(compact ? -1 : 2, ' ', false, json::error_handler_t::replace) << "\n";
}

} // namespace almondnotch
