#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <toml++/toml.h>

#include "core/error.h"

namespace almondnotch {

/// One setting: where it stands in the TOML file, what it may be, and what it is for.
/// The reference page and the checks are made from these declarations.
struct setting_declaration
{
    using value_type = std::variant<std::int64_t, double, bool, std::string>;

    /// Dotted key, as in "calls.in_progress_max".
    std::string name;
    value_type defaultValue;
    /// Inclusive range; not used for text and truth values.
    double minimum = 0;
    double maximum = 0;
    /// Unit as written in the reference, as in "ms"; empty for text and truth values.
    std::string unit;
    std::string doc;
    /// A text setting that must not be empty.
    bool required = false;
    /// Never printed by dumps or the reference's examples.
    bool secret = false;
};

/// A fault in a settings file.
struct setting_fault
{
    int line = 0;
    std::string name;
    std::string message;

    bool operator==(const setting_fault &) const = default;
};

/// The declared settings with the values that one file gives them.
class settings
{
public:
    /// Parses and checks a whole file. Tables listed in `uncheckedTables` are left to their
    /// readers. \return the settings, or every fault that was found.
    static tl::expected<settings, std::vector<setting_fault>>
    parse(std::string_view text, const std::vector<setting_declaration> &declarations,
          const std::vector<std::string> &uncheckedTables = {});

    /// Value of a declared setting. An undeclared name or another type is a programming error.
    std::int64_t integer(std::string_view name) const;
    double real(std::string_view name) const;
    bool boolean(std::string_view name) const;
    const std::string &text(std::string_view name) const;

    /// The parsed file, for tables that are not plain settings.
    const toml::table &file() const { return m_file; }

    /// Every setting with its value, without secrets; "name = value" lines.
    std::string describe() const;

private:
    struct entry
    {
        std::string name;
        setting_declaration::value_type value;
        bool secret = false;
    };

    const setting_declaration::value_type &find(std::string_view name) const;

    std::vector<entry> m_entries;
    toml::table m_file;
};

/// Markdown reference of all declarations, grouped by table (docs/CONFIGURATION.md).
std::string settingsReference(const std::vector<setting_declaration> &declarations);

/// The candidate closest to a mistyped word, or empty if none is near.
std::string closestName(std::string_view word, const std::vector<std::string> &candidates);

} // namespace almondnotch
