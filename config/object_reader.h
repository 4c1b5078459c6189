#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "config/fault_list.h"
#include "core/time.h"

namespace almondnotch {

/// Whether an object may leave a key out and keep its default.
enum class presence { required, optional };

/// Inclusive range of a number.
struct number_range
{
    double minimum = 0;
    double maximum = 0;
};

/// Type and value of a TOML node for messages, as in `text "abc"`.
std::string describeNode(const toml::node &node);

/// Reads the keys of one TOML table into typed values and reports what is wrong with them.
/// A faulty value leaves the output unchanged, so that later checks see the default.
class object_reader
{
public:
    /// \param table, kind, faults outlive the reader.
    object_reader(const toml::table &table, std::size_t textIndex, std::string_view kind,
                  fault_list &faults);

    /// The key "name": the object's own name.
    void name(std::string &out);
    /// A name: of another object, a region or a VM. Keys must be literals, here and below.
    void nameOf(std::string_view key, std::string &out, presence needed);
    /// Like `nameOf`, and dots may separate labels, as in host names.
    void hostName(std::string_view key, std::string &out);
    /// An "ip:port"; the output has its canonical form.
    void address(std::string_view key, std::string &out);
    /// A path prefix of whole segments.
    void pathPrefix(std::string_view key, std::string &out);
    /// A list of HTTP methods.
    void methods(std::string_view key, std::vector<std::string> &out);
    /// One of the listed words.
    void keyword(std::string_view key, std::string &out, const std::vector<std::string> &keywords);
    void integer(std::string_view key, unsigned &out, number_range range, presence needed);
    void number(std::string_view key, double &out, number_range range, presence needed);
    /// A time in milliseconds, fractions allowed.
    void time(std::string_view key, duration &out, number_range rangeMs, presence needed);
    void boolean(std::string_view key, bool &out);

    /// Reports keys that no call above has read. \return where the object and its keys stand.
    object_location finish();

private:
    const toml::node *find(std::string_view key, presence needed, std::string_view expected);
    std::optional<std::string> textValue(std::string_view key, presence needed,
                                         std::string_view expected);
    std::optional<double> numberValue(std::string_view key, number_range range, presence needed,
                                      bool whole);
    void readName(std::string_view key, std::string &out, presence needed,
                  std::string_view expected, std::string_view extraCharacters);
    void addFault(const toml::node &node, const std::string &message);

    const toml::table &m_table;
    fault_list &m_faults;
    object_location m_where;
    std::vector<std::string> m_known;
};

} // namespace almondnotch
