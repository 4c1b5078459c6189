#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/parser.h"

namespace almondnotch {

/// The text in quotation marks, shortened and with control characters escaped, so that a value from
/// the configuration cannot forge or flood log lines.
std::string quotedValue(std::string_view text);

/// Where an object and its keys stand.
struct object_location
{
    struct key_line
    {
        /// A literal of the reader, which outlives the location.
        std::string_view key;
        int line = 0;
    };

    /// Index of the text in the set.
    std::size_t textIndex = 0;
    int line = 0;
    /// "worker", "service" and so on.
    std::string_view kind;
    std::string name;
    std::vector<key_line> keys;

    /// Line of a key, or of the object if the key is absent.
    int lineOf(std::string_view key) const;
};

/// Collects faults up to `faultsMax` and counts the rest.
class fault_list
{
public:
    /// \param texts outlives the list.
    explicit fault_list(const std::vector<config_text> &texts) : m_texts(texts) { }

    void add(const object_location &where, std::string_view key, std::string message);
    void addAtLine(const object_location &where, int line, std::string message);

    /// True once further faults are only counted; their messages need not be made.
    bool isFull() const;

    /// "; did you mean "x"?" or nothing. Bounded by `suggestionsMax` searches a list.
    std::string suggestion(std::string_view word, const std::vector<std::string> &candidates);

    /// "file:line" of an object.
    std::string formatLocation(const object_location &where) const;

    bool empty() const { return m_faults.empty(); }

    /// All faults in the order of the texts and lines.
    std::vector<config_fault> sorted() const;

private:
    struct entry
    {
        std::size_t textIndex;
        config_fault fault;
    };

    const std::vector<config_text> &m_texts;
    std::vector<entry> m_faults;
    std::size_t m_omitted = 0;
    std::size_t m_suggestions = 0;
};

} // namespace almondnotch
