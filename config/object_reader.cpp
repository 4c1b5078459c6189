#include "config/object_reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "config/address.h"
#include "config/bounds.h"

namespace almondnotch {

namespace {

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9');
}

bool isName(std::string_view text, std::string_view extraCharacters)
{
    if (text.empty() || text.size() > nameBytesMax || !isLetterOrDigit(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [extraCharacters](char character) {
        return isLetterOrDigit(character)
               || extraCharacters.find(character) != std::string_view::npos;
    });
}

const std::vector<std::string> &knownMethods()
{
    // CONNECT and TRACE address the gateway itself, not a service behind it.
    static const std::vector<std::string> methods {"GET",   "HEAD",   "POST",   "PUT",
                                                   "PATCH", "DELETE", "OPTIONS"};
    return methods;
}

std::string join(const std::vector<std::string> &items)
{
    std::string out;
    for (const std::string &item : items)
        out += (out.empty() ? "" : ", ") + item;
    return out;
}

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

/// Describes why a path prefix is invalid; empty if it is valid. Rejects prefixes that are too
/// long or reserved for the gateway, and forms that can never match, because a prefix is compared
/// with whole segments of a normalized request path.
std::string pathPrefixFault(std::string_view prefix)
{
    if (prefix.empty() || prefix.front() != '/')
        return "expected a path that begins with \"/\"";
    if (prefix.size() > prefixBytesMax)
        return "expected a path of at most " + std::to_string(prefixBytesMax) + " bytes";
    if (prefix.size() > 1 && prefix.back() == '/')
        return "expected a path without \"/\" at the end (a prefix matches whole segments)";
    const bool printable = std::all_of(prefix.begin(), prefix.end(), [](char character) {
        return character > ' ' && character < '\x7f' && character != '?' && character != '#';
    });
    if (!printable)
        return "expected a path of printable ASCII without spaces, \"?\" and \"#\"";
    const std::string terminated = std::string(prefix) + "/";
    for (const std::string_view forbidden : {"//", "/./", "/../"}) {
        if (prefix.size() > 1 && terminated.find(forbidden) != std::string::npos)
            return "expected a path without empty, \".\" and \"..\" segments";
    }
    if (terminated.rfind("/.well-known/almondnotch/", 0) == 0)
        return "expected a path outside /.well-known/almondnotch, which the gateway answers itself";
    return {};
}

} // namespace

std::string describeNode(const toml::node &node)
{
    if (node.is_string())
        return "text " + quotedValue(node.ref<std::string>());
    if (node.is_integer())
        return std::to_string(node.ref<std::int64_t>());
    if (node.is_floating_point())
        return formatNumber(node.ref<double>());
    if (node.is_boolean())
        return node.ref<bool>() ? "true" : "false";
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "a list";
    return "a date or time";
}

object_reader::object_reader(const toml::table &table, std::size_t textIndex, std::string_view kind,
                             fault_list &faults)
    : m_table(table), m_faults(faults)
{
    m_where.textIndex = textIndex;
    m_where.line = static_cast<int>(table.source().begin.line);
    m_where.kind = kind;
    // Read first, so that all messages about the object can give its name, in whatever order its
    // keys are read.
    const toml::node *node = table.get("name");
    if (node != nullptr && node->is_string() && isName(node->ref<std::string>(), "_-."))
        m_where.name = node->ref<std::string>();
}

void object_reader::addFault(const toml::node &node, const std::string &message)
{
    m_faults.addAtLine(m_where, static_cast<int>(node.source().begin.line), message);
}

const toml::node *object_reader::find(std::string_view key, presence keyPresence,
                                      std::string_view expected)
{
    m_knownKeys.emplace_back(key);
    const toml::node *node = m_table.get(key);
    if (node != nullptr)
        m_where.keys.push_back({key, static_cast<int>(node->source().begin.line)});
    else if (keyPresence == presence::required)
        m_faults.addAtLine(m_where, m_where.line,
                           "the key \"" + std::string(key) + "\" is missing: expected "
                               + std::string(expected));
    return node;
}

std::optional<std::string> object_reader::textValue(std::string_view key, presence keyPresence,
                                                    std::string_view expected)
{
    const toml::node *node = find(key, keyPresence, expected);
    if (node == nullptr)
        return std::nullopt;
    if (!node->is_string()) {
        addFault(*node, std::string(key) + ": expected " + std::string(expected) + ", found "
                            + describeNode(*node));
        return std::nullopt;
    }
    return node->ref<std::string>();
}

void object_reader::readName(std::string_view key, std::string &out, presence keyPresence,
                             std::string_view expected, std::string_view extraCharacters)
{
    const std::optional<std::string> value = textValue(key, keyPresence, expected);
    if (!value)
        return;
    if (!isName(*value, extraCharacters)) {
        m_faults.add(m_where, key,
                     std::string(key) + ": expected " + std::string(expected) + " (1 to "
                         + std::to_string(nameBytesMax)
                         + " ASCII letters, digits and the characters \""
                         + std::string(extraCharacters)
                         + "\", beginning with a letter or digit), found " + quotedValue(*value));
        return;
    }
    out = *value;
}

void object_reader::name(std::string &out)
{
    readName("name", out, presence::required, "a name", "_-");
}

void object_reader::nameOf(std::string_view key, std::string &out, presence keyPresence)
{
    readName(key, out, keyPresence, "a name", "_-");
}

void object_reader::vmName(std::string_view key, std::string &out)
{
    readName(key, out, presence::required, "the name of a VM", "_-.");
}

void object_reader::address(std::string_view key, std::string &out)
{
    const std::optional<std::string> value
        = textValue(key, presence::required, "an address \"ip:port\"");
    if (!value)
        return;
    const result<ip_endpoint> parsed = parseAddress(*value);
    if (!parsed) {
        m_faults.add(m_where, key, std::string(key) + ": " + parsed.error().message);
        return;
    }
    out = toString(*parsed);
}

void object_reader::pathPrefix(std::string_view key, std::string &out)
{
    const std::optional<std::string> value
        = textValue(key, presence::required, "a path, as in \"/orders\"");
    if (!value)
        return;
    const std::string fault = pathPrefixFault(*value);
    if (!fault.empty()) {
        m_faults.add(m_where, key,
                     std::string(key) + ": " + fault + ", found " + quotedValue(*value));
        return;
    }
    out = *value;
}

void object_reader::methods(std::string_view key, std::vector<std::string> &out)
{
    const std::string expected = "a list of HTTP methods, as in [\"GET\", \"HEAD\"]";
    const toml::node *node = find(key, presence::optional, expected);
    if (node == nullptr)
        return;
    if (!node->is_array()) {
        addFault(*node,
                 std::string(key) + ": expected " + expected + ", found " + describeNode(*node));
        return;
    }
    for (const toml::node &element : *node->as_array()) {
        const std::string value = element.value_or<std::string>("");
        if (!element.is_string()) {
            addFault(element, std::string(key) + ": expected " + expected + ", found "
                                  + describeNode(element));
        } else if (std::find(knownMethods().begin(), knownMethods().end(), value)
                   == knownMethods().end()) {
            std::string upper = value;
            std::transform(upper.begin(), upper.end(), upper.begin(), [](char character) {
                return character >= 'a' && character <= 'z'
                           ? static_cast<char>(character - 'a' + 'A')
                           : character;
            });
            addFault(element, std::string(key) + ": expected one of the upper-case methods "
                                  + join(knownMethods()) + ", found " + quotedValue(value)
                                  + m_faults.suggestion(upper, knownMethods()));
        } else if (std::find(out.begin(), out.end(), value) != out.end()) {
            addFault(element, std::string(key) + ": " + quotedValue(value) + " is listed twice");
        } else {
            out.push_back(value);
        }
    }
    // An empty list could mean either "none" or "all".
    if (node->as_array()->empty())
        addFault(*node, std::string(key)
                            + ": expected at least one method; omit the key to match every method");
}

void object_reader::keyword(std::string_view key, std::string &out,
                            const std::vector<std::string> &keywords)
{
    const std::string expected = "one of " + join(keywords);
    const std::optional<std::string> value = textValue(key, presence::optional, expected);
    if (!value)
        return;
    if (std::find(keywords.begin(), keywords.end(), *value) == keywords.end()) {
        m_faults.add(m_where, key,
                     std::string(key) + ": expected " + expected + ", found " + quotedValue(*value)
                         + m_faults.suggestion(*value, keywords));
        return;
    }
    out = *value;
}

std::optional<double> object_reader::numberValue(std::string_view key, number_range range,
                                                 presence keyPresence, bool whole)
{
    const std::string expected = (whole ? "a whole number from " : "a number from ")
                                 + formatNumber(range.minimum) + " to "
                                 + formatNumber(range.maximum);
    const toml::node *node = find(key, keyPresence, expected);
    if (node == nullptr)
        return std::nullopt;
    const bool hasExpectedType = whole ? node->is_integer() : node->is_number();
    const double value = hasExpectedType ? node->value_or<double>(0.0) : 0.0;
    // The negated comparison rejects NaN as well.
    if (!hasExpectedType || !(value >= range.minimum && value <= range.maximum)) {
        addFault(*node,
                 std::string(key) + ": expected " + expected + ", found " + describeNode(*node));
        return std::nullopt;
    }
    return value;
}

void object_reader::integer(std::string_view key, unsigned &out, number_range range,
                            presence keyPresence)
{
    const std::optional<double> value = numberValue(key, range, keyPresence, true);
    if (value)
        out = static_cast<unsigned>(*value);
}

void object_reader::number(std::string_view key, double &out, number_range range,
                           presence keyPresence)
{
    const std::optional<double> value = numberValue(key, range, keyPresence, false);
    if (value)
        out = *value;
}

void object_reader::time(std::string_view key, duration &out, number_range rangeMs,
                         presence keyPresence)
{
    const std::optional<double> value = numberValue(key, rangeMs, keyPresence, false);
    if (value)
        out = duration(std::llround(*value * 1000));
}

void object_reader::boolean(std::string_view key, bool &out)
{
    const toml::node *node = find(key, presence::optional, "true or false");
    if (node == nullptr)
        return;
    if (!node->is_boolean()) {
        addFault(*node,
                 std::string(key) + ": expected true or false, found " + describeNode(*node));
        return;
    }
    out = node->ref<bool>();
}

object_location object_reader::finish()
{
    // If there are no unknown keys, every key of the table has an entry in the location.
    if (m_where.keys.size() == m_table.size())
        return m_where;
    for (const auto &[key, node] : m_table) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key.str()) != m_knownKeys.end())
            continue;
        const std::string hint = m_faults.suggestion(key.str(), m_knownKeys);
        m_faults.addAtLine(m_where, static_cast<int>(key.source().begin.line),
                           "unknown key " + quotedValue(key.str())
                               + (hint.empty() ? "; expected one of " + join(m_knownKeys) : hint));
    }
    return m_where;
}

} // namespace almondnotch
