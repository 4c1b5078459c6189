#include "core/settings.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace almondnotch {

namespace {

std::string quoted(std::string_view word)
{
    return "\"" + std::string(word) + "\"";
}

std::string formatValue(const setting_declaration::value_type &value)
{
    std::ostringstream out;
    if (std::holds_alternative<bool>(value))
        out << (std::get<bool>(value) ? "true" : "false");
    else if (std::holds_alternative<std::string>(value))
        out << quoted(std::get<std::string>(value));
    else if (std::holds_alternative<double>(value))
        out << std::get<double>(value);
    else
        out << std::get<std::int64_t>(value);
    return out.str();
}

std::string typeName(const setting_declaration &declaration)
{
    static const std::array<const char *, 4> names {"integer", "real", "boolean", "text"};
    return names.at(declaration.defaultValue.index());
}

int lineOf(const toml::node &node)
{
    return static_cast<int>(node.source().begin.line);
}

std::string rangeText(const setting_declaration &declaration)
{
    std::ostringstream out;
    // Enough digits for bounds in bytes, which the default precision of 6 would round.
    out.precision(15);
    out << declaration.minimum << " to " << declaration.maximum;
    return out.str();
}

/// The value of a node, or `std::nullopt` if it does not have the declared type.
std::optional<setting_declaration::value_type> convert(const toml::node &node,
                                                       const setting_declaration &declaration)
{
    if (std::holds_alternative<std::int64_t>(declaration.defaultValue) && node.is_integer())
        return node.value_or<std::int64_t>(0);
    if (std::holds_alternative<double>(declaration.defaultValue) && node.is_number())
        return node.value_or<double>(0.0);
    if (std::holds_alternative<bool>(declaration.defaultValue) && node.is_boolean())
        return node.value_or<bool>(false);
    if (std::holds_alternative<std::string>(declaration.defaultValue) && node.is_string())
        return node.value_or<std::string>("");
    return std::nullopt;
}

std::string checkRange(const setting_declaration::value_type &value,
                       const setting_declaration &declaration)
{
    double number = 0;
    if (std::holds_alternative<std::int64_t>(value))
        number = static_cast<double>(std::get<std::int64_t>(value));
    else if (std::holds_alternative<double>(value))
        number = std::get<double>(value);
    else
        return {};
    if (number >= declaration.minimum && number <= declaration.maximum)
        return {};
    return "expected " + rangeText(declaration)
           + (declaration.unit.empty() ? "" : " " + declaration.unit) + ", found "
           + formatValue(value);
}

void findUnknown(const toml::table &table, const std::string &prefix,
                 const std::vector<std::string> &known,
                 const std::vector<std::string> &uncheckedTables,
                 std::vector<setting_fault> &faults)
{
    for (auto it = table.begin(); it != table.end(); ++it) {
        const toml::node &node = it->second;
        const std::string name = prefix + std::string(it->first.str());
        if (std::find(uncheckedTables.begin(), uncheckedTables.end(), name)
            != uncheckedTables.end())
            continue;
        if (node.is_table()) {
            findUnknown(*node.as_table(), name + ".", known, uncheckedTables, faults);
            continue;
        }
        if (std::find(known.begin(), known.end(), name) != known.end())
            continue;
        const std::string closest = closestName(name, known);
        faults.push_back(
            {lineOf(node), name,
             "unknown setting"
                 + (closest.empty() ? std::string() : "; did you mean " + closest + "?")});
    }
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t j = 0; j <= right.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            row[j] = std::min({above + 1, row[j - 1] + 1, substitution});
            diagonal = above;
        }
    }
    return row[right.size()];
}

} // namespace

std::string closestName(std::string_view word, const std::vector<std::string> &candidates)
{
    std::string best;
    // Up to a third of the characters may differ; a more distant name is probably unrelated.
    std::size_t bestDistance = std::max<std::size_t>(word.size() / 3, 1) + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(word, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

tl::expected<settings, std::vector<setting_fault>>
settings::parse(std::string_view text, const std::vector<setting_declaration> &declarations,
                const std::vector<std::string> &uncheckedTables)
{
    std::vector<setting_fault> faults;
    settings parsed;
    try {
        parsed.m_file = toml::parse(text);
    } catch (const toml::parse_error &failure) {
        faults.push_back({static_cast<int>(failure.source().begin.line), "",
                          "invalid TOML: " + std::string(failure.description())});
        return tl::unexpected(faults);
    }

    std::vector<std::string> known;
    for (const setting_declaration &declaration : declarations) {
        known.push_back(declaration.name);
        setting_declaration::value_type value = declaration.defaultValue;
        const toml::node *node = parsed.m_file.at_path(declaration.name).node();
        if (node != nullptr) {
            const std::optional<setting_declaration::value_type> found
                = convert(*node, declaration);
            const std::string fault = found ? checkRange(*found, declaration)
                                            : "expected a value of type " + typeName(declaration);
            if (!fault.empty())
                faults.push_back({lineOf(*node), declaration.name, fault});
            if (found)
                value = *found;
        }
        if (declaration.required && std::holds_alternative<std::string>(value)
            && std::get<std::string>(value).empty())
            faults.push_back(
                {0, declaration.name, "required, but missing or empty: " + declaration.doc});
        parsed.m_entries.push_back({declaration.name, value, declaration.secret});
    }
    findUnknown(parsed.m_file, "", known, uncheckedTables, faults);
    if (!faults.empty())
        return tl::unexpected(faults);
    return parsed;
}

const setting_declaration::value_type &settings::find(std::string_view name) const
{
    for (const entry &candidate : m_entries) {
        if (candidate.name == name)
            return candidate.value;
    }
    throw std::logic_error("setting is not declared: " + std::string(name));
}

std::int64_t settings::integer(std::string_view name) const
{
    return std::get<std::int64_t>(find(name));
}

double settings::real(std::string_view name) const
{
    return std::get<double>(find(name));
}

bool settings::boolean(std::string_view name) const
{
    return std::get<bool>(find(name));
}

const std::string &settings::text(std::string_view name) const
{
    return std::get<std::string>(find(name));
}

std::string settings::describe() const
{
    std::string out;
    for (const entry &each : m_entries)
        out += each.name + " = " + (each.secret ? std::string("(secret)") : formatValue(each.value))
               + "\n";
    return out;
}

std::string settingsReference(const std::vector<setting_declaration> &declarations)
{
    std::ostringstream out;
    std::string table = "-";
    for (const setting_declaration &declaration : declarations) {
        const std::size_t dot = declaration.name.rfind('.');
        const std::string group
            = dot == std::string::npos ? std::string() : declaration.name.substr(0, dot);
        if (group != table) {
            table = group;
            out << "\n## " << (group.empty() ? std::string("Top level") : "[" + group + "]")
                << "\n\n| setting | type | default | range | unit | meaning |\n"
                << "|---|---|---|---|---|---|\n";
        }
        const bool numeric = declaration.defaultValue.index() < 2;
        out << "| `" << declaration.name << "` | " << typeName(declaration) << " | `"
            << formatValue(declaration.defaultValue) << "` | "
            << (numeric ? rangeText(declaration) : (declaration.required ? "required" : ""))
            << " | " << declaration.unit << " | " << declaration.doc << " |\n";
    }
    return out.str();
}

} // namespace almondnotch
