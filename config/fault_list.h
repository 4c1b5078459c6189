#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/parser.h"

namespace almondnotch {

/// Quotes a text for a message, shortened and with control characters escaped, so that a value from
/// the configuration can neither forge log lines nor flood the log.
std::string quotedValue(std::string_view text);

/// Location of an object and of its keys in the configuration texts.
struct object_location
{
    struct key_line
    {
        /// String literal in the reader, which outlives the location.
        std::string_view key;
        int line = 0;
    };

    /// Index of the text in the set.
    std::size_t textIndex = 0;
    int line = 0;
    /// Kind of the object, for example "worker" or "service".
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
    /// \param texts must outlive the list.
    explicit fault_list(const std::vector<config_text> &texts) : m_texts(texts) { }

    void add(const object_location &where, std::string_view key, std::string message);
    void addAtLine(const object_location &where, int line, std::string message);

    /// True once further faults are only counted, so that building their messages can be skipped.
    bool isFull() const;

    /// `; did you mean "x"?`, or an empty string if no candidate is similar. Runs at most
    /// `suggestionsMax` searches per list and returns an empty string after that.
    std::string suggestion(std::string_view word, const std::vector<std::string> &candidates);

    /// "file:line" of an object.
    std::string formatLocation(const object_location &where) const;

    bool empty() const { return m_faults.empty(); }

    /// All faults, ordered by text and line.
    std::vector<config_fault> sorted() const;

private:
    struct entry
    {
        std::size_t textIndex;
        config_fault fault;
    };

    const std::vector<config_text> &m_texts;
    std::vector<entry> m_faults;
    std::size_t m_omittedCount = 0;
    std::size_t m_suggestionSearches = 0;
};

} // namespace almondnotch
