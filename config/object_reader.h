#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "config/fault_list.h"
#include "core/time.h"

namespace almondnotch {

/// Whether a key must be present, or may be omitted and keeps its default.
enum class presence { required, optional };

/// Inclusive range of a number.
struct number_range
{
    double minimum = 0;
    double maximum = 0;
};

/// Value or type of a TOML node for messages, for example `text "abc"`, `4.5` or `a table`.
std::string describeNode(const toml::node &node);

/// Reads the keys of one TOML table into typed values and reports invalid ones. An invalid value
/// leaves the output unchanged, so that later checks see the default. Keys must be string literals,
/// because the returned `object_location` refers to them.
class object_reader
{
public:
    /// \param table, kind, faults must outlive the reader.
    object_reader(const toml::table &table, std::size_t textIndex, std::string_view kind,
                  fault_list &faults);

    /// Reads the key "name", the name of the object itself.
    void name(std::string &out);
    /// Reads the name of another object or of a region.
    void nameOf(std::string_view key, std::string &out, presence keyPresence);
    /// Reads the name of a VM. Like `nameOf`, but dots may separate labels, as in host names.
    void vmName(std::string_view key, std::string &out);
    /// Reads an "ip:port" and stores its canonical form.
    void address(std::string_view key, std::string &out);
    /// Reads a path prefix of whole segments.
    void pathPrefix(std::string_view key, std::string &out);
    /// Reads a list of HTTP methods.
    void methods(std::string_view key, std::vector<std::string> &out);
    /// Reads one of the listed keywords.
    void keyword(std::string_view key, std::string &out, const std::vector<std::string> &keywords);
    void integer(std::string_view key, unsigned &out, number_range range, presence keyPresence);
    void number(std::string_view key, double &out, number_range range, presence keyPresence);
    /// Reads a time in milliseconds; fractions are allowed.
    void time(std::string_view key, duration &out, number_range rangeMs, presence keyPresence);
    void boolean(std::string_view key, bool &out);

    /// Reports every key that none of the functions above has read, as an unknown key.
    /// \return the location of the object and its keys.
    object_location finish();

private:
    const toml::node *find(std::string_view key, presence keyPresence, std::string_view expected);
    std::optional<std::string> textValue(std::string_view key, presence keyPresence,
                                         std::string_view expected);
    std::optional<double> numberValue(std::string_view key, number_range range,
                                      presence keyPresence, bool whole);
    void readName(std::string_view key, std::string &out, presence keyPresence,
                  std::string_view expected, std::string_view extraCharacters);
    void addFault(const toml::node &node, const std::string &message);

    const toml::table &m_table;
    fault_list &m_faults;
    object_location m_where;
    std::vector<std::string> m_knownKeys;
};

} // namespace almondnotch
