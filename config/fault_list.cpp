#include "config/fault_list.h"

#include <algorithm>
#include <tuple>

#include "config/bounds.h"
#include "core/digest.h"
#include "core/settings.h"

namespace almondnotch {

std::string quotedValue(std::string_view text)
{
    constexpr std::size_t shownBytes = 80;
    std::size_t length = std::min(text.size(), shownBytes);
    // Cutting inside a UTF-8 sequence would make the message invalid UTF-8, which JSON does not
    // allow.
    while (length < text.size() && length > 0
           && (static_cast<unsigned char>(text[length]) & 0xC0U) == 0x80U)
        --length;
    std::string out = "\"";
    for (const char character : text.substr(0, length)) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7f)
            out += "\\x" + toHex({&character, 1});
        else
            out.push_back(character);
    }
    return out + (length < text.size() ? "\"..." : "\"");
}

int object_location::lineOf(std::string_view key) const
{
    for (const key_line &candidate : keys) {
        if (candidate.key == key)
            return candidate.line;
    }
    return line;
}

void fault_list::add(const object_location &where, std::string_view key, std::string message)
{
    addAtLine(where, where.lineOf(key), std::move(message));
}

void fault_list::addAtLine(const object_location &where, int line, std::string message)
{
    if (isFull()) {
        ++m_omittedCount;
        return;
    }
    std::string object(where.kind);
    if (!where.name.empty())
        object += " " + where.name;
    const std::string file = where.textIndex < m_texts.size() ? m_texts[where.textIndex].name : "";
    m_faults.push_back({where.textIndex, {file, line, std::move(object), std::move(message)}});
}

bool fault_list::isFull() const
{
    return m_faults.size() + 1 >= faultsMax;
}

std::string fault_list::suggestion(std::string_view word,
                                   const std::vector<std::string> &candidates)
{
    if (isFull() || word.size() > 2 * nameBytesMax || m_suggestionSearches >= suggestionsMax)
        return {};
    ++m_suggestionSearches;
    const std::string closest = closestName(word, candidates);
    return closest.empty() ? std::string() : "; did you mean " + quotedValue(closest) + "?";
}

std::string fault_list::formatLocation(const object_location &where) const
{
    return m_texts[where.textIndex].name + ":" + std::to_string(where.line);
}

std::vector<config_fault> fault_list::sorted() const
{
    std::vector<entry> entries = m_faults;
    std::stable_sort(entries.begin(), entries.end(), [](const entry &left, const entry &right) {
        return std::tie(left.textIndex, left.fault.line)
               < std::tie(right.textIndex, right.fault.line);
    });
    std::vector<config_fault> faults;
    faults.reserve(entries.size() + 1);
    for (entry &each : entries)
        faults.push_back(std::move(each.fault));
    if (m_omittedCount > 0)
        faults.push_back(
            {"", 0, "", std::to_string(m_omittedCount) + " further faults are not listed"});
    return faults;
}

} // namespace almondnotch
