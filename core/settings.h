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
    /// Unit shown in the reference, for example "ms"; empty for text and boolean settings and for
    /// numbers without a unit.
    std::string unit;
    std::string doc;
    /// True for a text setting that must not be empty.
    bool required = false;
    /// True for a value that `settings::describe` masks. The reference still prints the default.
    bool secret = false;
};

/// A fault in a settings file.
struct setting_fault
{
    /// Line in the file; 0 if there is none, as for a required setting that is absent or empty.
    int line = 0;
    /// Name of the setting; empty for a syntax error.
    std::string name;
    std::string message;

    bool operator==(const setting_fault &) const = default;
};

/// Values of the declared settings: those given in one file, and defaults for the others.
class settings
{
public:
    /// Parses and validates a whole file. Undeclared names in the tables listed in
    /// `uncheckedTables` are accepted; the code that reads these tables has to validate them.
    /// \return the settings, or all faults. A syntax error is reported alone, since the rest of the
    /// file cannot be checked then.
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

/// Markdown reference of the declarations, with one section for each run of declarations of the
/// same table; the declarations must therefore be ordered by table. `daemonReference` uses it for
/// docs/CONFIGURATION.md.
std::string settingsReference(const std::vector<setting_declaration> &declarations);

/// The candidate closest to a mistyped word, or an empty string if none is similar.
std::string closestName(std::string_view word, const std::vector<std::string> &candidates);

} // namespace almondnotch
