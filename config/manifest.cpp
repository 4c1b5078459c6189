#include <algorithm>
#include <set>

#include <toml++/toml.h>

#include "config/fault_list.h"
#include "config/nesting.h"
#include "config/parser.h"
#include "core/settings.h"

namespace almondnotch {

namespace {

constexpr std::string_view step = "parse manifest";
/// With longer names a manifest of `configPartsMax` parts could exceed the maximum size of a value.
constexpr std::size_t partNameBytesMax = 100;

tl::unexpected<error> reject(const toml::source_region &where, const std::string &message)
{
    return fail(error_code::invalid_configuration, step, "",
                "line " + std::to_string(where.begin.line) + ": " + message);
}

bool isPartName(std::string_view name)
{
    // Part names are file names (`almondnotchctl manifest` uses those of the configuration files),
    // so path syntax is not allowed.
    return !name.empty() && name.size() <= partNameBytesMax && name.front() != '.'
           && std::all_of(name.begin(), name.end(), [](char character) {
                  return (character >= 'a' && character <= 'z')
                         || (character >= 'A' && character <= 'Z')
                         || (character >= '0' && character <= '9') || character == '.'
                         || character == '_' || character == '-';
              });
}

bool isSha256(std::string_view text)
{
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9')
                      || (character >= 'a' && character <= 'f');
           });
}

result<void> checkKeys(const toml::table &table, const std::vector<std::string> &known)
{
    for (const auto &[key, node] : table) {
        if (std::find(known.begin(), known.end(), key.str()) != known.end())
            continue;
        const std::string closest
            = key.str().size() > partNameBytesMax ? std::string() : closestName(key.str(), known);
        return reject(
            key.source(),
            "unknown key " + quotedValue(key.str())
                + (closest.empty() ? "" : "; did you mean " + quotedValue(closest) + "?"));
    }
    return {};
}

result<manifest_part> parsePart(const toml::table &table)
{
    const result<void> keys = checkKeys(table, {"name", "sha256", "bytes"});
    if (!keys)
        return tl::unexpected(keys.error());
    manifest_part part;
    part.name = table["name"].value_or<std::string>("");
    if (!isPartName(part.name))
        return reject(
            table.source(),
            "name: expected 1 to " + std::to_string(partNameBytesMax)
                + " ASCII letters, digits, dots, \"_\" and \"-\", not beginning with a dot, found "
                + quotedValue(part.name));
    part.sha256 = table["sha256"].value_or<std::string>("");
    if (!isSha256(part.sha256))
        return reject(table.source(), "sha256: expected 64 lower-case hexadecimal digits, found "
                                          + quotedValue(part.sha256));
    const std::int64_t bytes
        = table["bytes"].is_integer() ? table["bytes"].value_or<std::int64_t>(-1) : -1;
    if (bytes < 0 || bytes > static_cast<std::int64_t>(configValueBytesMax))
        return reject(table.source(), "bytes: expected a whole number from 0 to "
                                          + std::to_string(configValueBytesMax));
    part.bytes = static_cast<std::uint64_t>(bytes);
    return part;
}

result<config_manifest> readManifest(const toml::table &root)
{
    const result<void> keys = checkKeys(root, {"version", "part"});
    if (!keys)
        return tl::unexpected(keys.error());
    config_manifest manifest;
    const std::int64_t version
        = root["version"].is_integer() ? root["version"].value_or<std::int64_t>(0) : 0;
    if (version < 1)
        return reject(root.source(), "version: expected a whole number of at least 1");
    manifest.version = static_cast<std::uint64_t>(version);
    const toml::node *node = root.get("part");
    if (node == nullptr || !node->is_array())
        return reject(root.source(), "expected at least one table [[part]]");
    const toml::array &list = *node->as_array();
    if (list.size() > configPartsMax)
        return reject(node->source(), "expected at most " + std::to_string(configPartsMax)
                                          + " parts, found " + std::to_string(list.size()));
    std::set<std::string> names;
    for (const toml::node &element : list) {
        if (!element.is_table())
            return reject(element.source(), "expected only tables in the list [[part]]");
        result<manifest_part> part = parsePart(*element.as_table());
        if (!part)
            return tl::unexpected(part.error());
        if (!names.insert(part->name).second)
            return reject(element.source(),
                          "the part name " + quotedValue(part->name) + " is listed twice");
        manifest.parts.push_back(std::move(*part));
    }
    if (manifest.parts.empty())
        return reject(node->source(), "expected at least one table [[part]]");
    return manifest;
}

} // namespace

result<config_manifest> parseManifest(std::string_view text)
{
    if (text.size() > configValueBytesMax)
        return fail(error_code::out_of_bounds, step, "",
                    "expected at most " + std::to_string(configValueBytesMax) + " bytes, found "
                        + std::to_string(text.size()));
    const std::optional<int> deepLine = findDeepNesting(text);
    if (deepLine)
        return fail(error_code::invalid_configuration, step, "",
                    "line " + std::to_string(*deepLine)
                        + ": lists, tables or keys nest deeper than the maximum of "
                        + std::to_string(tomlNestingMax));
    try {
        const toml::table root = toml::parse(text);
        return readManifest(root);
    } catch (const toml::parse_error &failure) {
        return reject(failure.source(), "invalid TOML: " + std::string(failure.description()));
    }
}

std::string formatManifest(const config_manifest &manifest)
{
    std::string out = "version = " + std::to_string(manifest.version) + "\n";
    for (const manifest_part &part : manifest.parts)
        out += "\n[[part]]\nname = \"" + part.name + "\"\nsha256 = \"" + part.sha256
               + "\"\nbytes = " + std::to_string(part.bytes) + "\n";
    return out;
}

} // namespace almondnotch
