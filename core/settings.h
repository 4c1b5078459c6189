#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <toml++/toml.h>

#include "core/error.h"

namespace almondnotch {

/// Declaration of one setting: its key in the TOML file, its type and range, and its documentation.
/// Both the reference page and the validation are derived from these declarations.
struct setting_declaration
{
    using value_type = std::variant<std::int64_t, double, bool, std::string>;

    /// Dotted key, for example "calls.in_progress_max".
    std::string name;
    value_type defaultValue;
    /// Inclusive range; unused for text and boolean settings.
    double minimum = 0;
    double maximum = 0;
    /// Unit shown in the reference, for example "ms"; empty for text and boolean settings.
    std::string unit;
    std::string doc;
    /// True for a text setting that must not be empty.
    bool required = false;
    /// True for a value that is never printed by dumps or in the examples of the reference.
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

/// Values of the declared settings: those given in one file, and defaults for the others.
class settings
{
public:
    /// Parses and validates a whole file. Tables listed in `uncheckedTables` are not validated
    /// here, but by the code that reads them.
    /// \return the settings, or every fault that was found.
    static tl::expected<settings, std::vector<setting_fault>>
    parse(std::string_view text, const std::vector<setting_declaration> &declarations,
          const std::vector<std::string> &uncheckedTables = {});

    /// Value of a declared setting. Throws `std::logic_error` for an undeclared name and
    /// `std::bad_variant_access` for another type, since both are programming errors.
    std::int64_t integer(std::string_view name) const;
    double real(std::string_view name) const;
    bool boolean(std::string_view name) const;
    const std::string &text(std::string_view name) const;

    /// The parsed file, for tables that are not plain settings.
    const toml::table &file() const { return m_file; }

    /// All settings as "name = value" lines, with the values of secret ones masked.
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

/// The candidate closest to a mistyped word, or an empty string if none is similar.
std::string closestName(std::string_view word, const std::vector<std::string> &candidates);

} // namespace almondnotch
