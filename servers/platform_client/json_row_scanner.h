#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace almondnotch {

/// A member of a JSON object, with its value as JSON text.
struct json_member
{
    std::string name;
    /// Empty if it was too long to be kept.
    std::string text;
    bool isTooLong = false;

    bool operator==(const json_member &) const = default;
};

/// One element of the scanned array.
struct json_row
{
    std::vector<json_member> members;
    /// The element is not an object, or a malformed one. It may have some of its members.
    bool isMalformed = false;

    /// \return null if the row has no member with this name.
    const json_member *find(std::string_view name) const;

    bool operator==(const json_row &) const = default;
};

/// What a `json_row_scanner` looks for and how much of it it keeps.
struct json_row_limits
{
    /// Name of the member of the document that holds the array.
    std::string listName;
    /// Name of the member of a row that can be long.
    std::string longMember;
    /// Maximum size of the JSON text of that member, and of all others, in bytes.
    std::size_t longTextBytesMax = 0;
    std::size_t textBytesMax = 4'096;
    /// Maximum number of members kept of a row and of the document.
    std::size_t membersMax = 32;
};

/// Scans a JSON object (RFC 8259) that holds an array of objects, the rows, while its bytes arrive.
/// Holds one row at a time, so that neither the number of rows nor the size of one of them bounds
/// the document. A malformed row does not affect the others, unless its brackets are unbalanced.
class json_row_scanner
{
public:
    using row_handler = std::function<void(const json_row &row)>;

    /// \param onRow called for each row, in their order.
    json_row_scanner(json_row_limits limits, row_handler onRow);

    void add(std::string_view bytes);

    /// True if the object has ended, nothing follows it and the array was in it.
    bool isComplete() const { return m_state == state::end && m_hasList; }
    /// The members of the document other than the array.
    const json_row &document() const { return m_document; }

private:
    /// What the next byte belongs to. `rest` is what is left of a malformed row.
    enum class state {
        document,
        name_or_end,
        name,
        colon,
        value,
        text,
        comma_or_end,
        row_or_end,
        row_comma_or_end,
        rest,
        end,
        malformed
    };
    using step_function = void (json_row_scanner::*)(std::string_view &bytes);
    static const std::array<step_function, 12> steps;

    void scanDocument(std::string_view &bytes);
    void scanNameOrEnd(std::string_view &bytes);
    void scanName(std::string_view &bytes);
    void scanColon(std::string_view &bytes);
    void scanValue(std::string_view &bytes);
    void scanText(std::string_view &bytes);
    void scanCommaOrEnd(std::string_view &bytes);
    void scanRowOrEnd(std::string_view &bytes);
    void scanRowCommaOrEnd(std::string_view &bytes);
    void scanRest(std::string_view &bytes);
    void scanEnd(std::string_view &bytes);
    void scanMalformed(std::string_view &bytes);

    json_row &currentObject() { return m_isInRow ? m_row : m_document; }
    std::size_t currentTextBytesMax() const;
    bool skipInString(std::string_view &bytes);
    bool skipValue(std::string_view &bytes);
    void appendText(std::string_view bytes);
    void endMember();
    void endObject();
    void endRow();
    void rejectObject();

    json_row_limits m_limits;
    row_handler m_onRow;
    state m_state = state::document;
    bool m_hasList = false;
    bool m_isInRow = false;
    json_row m_document;
    json_row m_row;
    json_member m_member;
    /// Open brackets of the value that is being skipped.
    std::size_t m_nesting = 0;
    bool m_isInString = false;
    bool m_isEscaped = false;
};

} // namespace almondnotch
