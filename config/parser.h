#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/model.h"
#include "core/error.h"

namespace almondnotch {

/// Maximum size of a value that the platform stores, bytes.
constexpr std::size_t configValueBytesMax = 1'000'000;
/// Maximum number of parts of one configuration set.
constexpr std::size_t configPartsMax = 4096;

/// One TOML text of a configuration set, with the name shown in faults.
struct config_text
{
    std::string name;
    std::string text;
};

/// A fault in a configuration set.
struct config_fault
{
    /// Name of the text (file or part); empty if there is none, as for the fault that gives the
    /// number of omitted faults.
    std::string file;
    /// Line in the text; 0 if the fault concerns the whole text or set.
    int line = 0;
    /// Kind and name of the object, for example "service proof-viewer"; empty if there is none.
    std::string object;
    /// What was expected and what was found, with a suggestion if a similar name exists.
    std::string message;

    bool operator==(const config_fault &) const = default;
};

/// "file:line: object: message".
std::string toString(const config_fault &fault);

/// Parses and validates a whole set: TOML syntax, types, ranges, unknown keys, missing and
/// duplicate names, duplicate addresses, dangling references, groups without workers, fallback
/// cycles, rules with the same prefix and a common method, and budgets and connection limits that
/// cannot be met.
/// \return the objects, or every fault that was found, up to `faultsMax`.
tl::expected<config_objects, std::vector<config_fault>>
parseConfig(const std::vector<config_text> &texts);

/// A part, which is one TOML text of the configuration set, as listed in the manifest.
struct manifest_part
{
    std::string name;
    std::string sha256;
    std::uint64_t bytes = 0;

    bool operator==(const manifest_part &) const = default;
};

/// List of the parts that make up one version of the configuration set.
struct config_manifest
{
    std::uint64_t version = 0;
    std::vector<manifest_part> parts;

    bool operator==(const config_manifest &) const = default;
};

/// Parses a manifest. Error messages begin with the line, except for a text that is too large.
result<config_manifest> parseManifest(std::string_view text);

/// The TOML text of a manifest; `parseManifest` reads it back.
std::string formatManifest(const config_manifest &manifest);

/// Human-readable differences between two sets, one per line: objects added, removed and changed,
/// and changes in routing.
std::vector<std::string> describeChanges(const config_objects &before, const config_objects &after);

} // namespace almondnotch
