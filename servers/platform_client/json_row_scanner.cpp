#include "servers/platform_client/json_row_scanner.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

namespace {

/// Maximum size of a member's name in bytes. Longer names are cut off.
constexpr std::size_t nameBytesMax = 256;

bool isWhitespace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// Removes leading whitespace. \return false if nothing is left.
bool skipWhitespace(std::string_view &bytes)
{
    while (!bytes.empty() && isWhitespace(bytes.front()))
        bytes.remove_prefix(1);
    return !bytes.empty();
}

} // namespace

const std::array<json_row_scanner::step_function, 12> json_row_scanner::steps {
    &json_row_scanner::scanDocument,      &json_row_scanner::scanNameOrEnd,
    &json_row_scanner::scanName,          &json_row_scanner::scanColon,
    &json_row_scanner::scanValue,         &json_row_scanner::scanText,
    &json_row_scanner::scanCommaOrEnd,    &json_row_scanner::scanRowOrEnd,
    &json_row_scanner::scanRowCommaOrEnd, &json_row_scanner::scanRest,
    &json_row_scanner::scanEnd,           &json_row_scanner::scanMalformed,
};

const json_member *json_row::find(std::string_view name) const
{
    const auto found
        = std::find_if(members.begin(), members.end(),
                       [name](const json_member &member) { return member.name == name; });
    return found == members.end() ? nullptr : &*found;
}

json_row_scanner::json_row_scanner(json_row_limits limits, row_handler onRow)
    : m_limits(std::move(limits)), m_onRow(std::move(onRow))
{ }

void json_row_scanner::add(std::string_view bytes)
{
    while (!bytes.empty())
        (this->*steps.at(static_cast<std::size_t>(m_state)))(bytes);
}

void json_row_scanner::scanDocument(std::string_view &bytes)
{
    if (!skipWhitespace(bytes))
        return;
    m_state = bytes.front() == '{' ? state::name_or_end : state::malformed;
    bytes.remove_prefix(1);
}

void json_row_scanner::scanNameOrEnd(std::string_view &bytes)
{
    if (!skipWhitespace(bytes))
        return;
    if (bytes.front() != '"' && bytes.front() != '}') {
        rejectObject();
        return;
    }
    const bool isEnd = bytes.front() == '}';
    bytes.remove_prefix(1);
    if (isEnd) {
        endObject();
        return;
    }
    m_member = {};
    m_isInString = true;
    m_state = state::name;
}

void json_row_scanner::scanName(std::string_view &bytes)
{
    const std::string_view all = bytes;
    const bool hasEnded = skipInString(bytes);
    const std::size_t size = all.size() - bytes.size() - (hasEnded ? 1 : 0);
    m_member.name.append(all.substr(0, std::min(size, nameBytesMax - m_member.name.size())));
    if (hasEnded)
        m_state = state::colon;
}

void json_row_scanner::scanColon(std::string_view &bytes)
{
    if (!skipWhitespace(bytes))
        return;
    if (bytes.front() != ':') {
        rejectObject();
        return;
    }
    bytes.remove_prefix(1);
    m_state = state::value;
}

void json_row_scanner::scanValue(std::string_view &bytes)
{
    if (!skipWhitespace(bytes))
        return;
    if (m_isInRow || m_hasList || m_member.name != m_limits.listName || bytes.front() != '[') {
        m_state = state::text;
        return;
    }
    bytes.remove_prefix(1);
    m_hasList = true;
    m_state = state::row_or_end;
}

void json_row_scanner::scanText(std::string_view &bytes)
{
    const std::string_view all = bytes;
    const bool hasEnded = skipValue(bytes);
    appendText(all.substr(0, all.size() - bytes.size()));
    if (hasEnded)
        endMember();
}

void json_row_scanner::scanCommaOrEnd(std::string_view &bytes)
{
    if (!skipWhitespace(bytes))
        return;
    const char next = bytes.front();
    if (next != ',' && next != '}') {
        rejectObject();
        return;
    }
    bytes.remove_prefix(1);
    if (next == '}')
        endObject();
    else
        m_state = state::name_or_end;
}

void json_row_scanner::scanRowOrEnd(std::string_view &bytes)
{
    if (!skipWhitespace(bytes))
        return;
    const char next = bytes.front();
    if (next == ']') {
        bytes.remove_prefix(1);
        m_state = state::comma_or_end;
        return;
    }
    m_isInRow = true;
    m_row = {};
    if (next == '{') {
        bytes.remove_prefix(1);
        m_state = state::name_or_end;
        return;
    }
    m_row.isMalformed = true;
    m_state = state::rest;
}

void json_row_scanner::scanRowCommaOrEnd(std::string_view &bytes)
{
    if (!skipWhitespace(bytes))
        return;
    const char next = bytes.front();
    bytes.remove_prefix(1);
    if (next == ',')
        m_state = state::row_or_end;
    else
        m_state = next == ']' ? state::comma_or_end : state::malformed;
}

void json_row_scanner::scanRest(std::string_view &bytes)
{
    if (skipValue(bytes))
        endRow();
}

void json_row_scanner::scanEnd(std::string_view &bytes)
{
    if (skipWhitespace(bytes))
        m_state = state::malformed;
}

void json_row_scanner::scanMalformed(std::string_view &bytes)
{
    bytes = {};
}

std::size_t json_row_scanner::currentTextBytesMax() const
{
    const bool isLong = m_isInRow && m_member.name == m_limits.longMember;
    return isLong ? m_limits.longTextBytesMax : m_limits.textBytesMax;
}

/// Removes the bytes up to and including the quotation mark that ends the string.
/// \return false if the string has not ended yet.
bool json_row_scanner::skipInString(std::string_view &bytes)
{
    while (!bytes.empty()) {
        if (std::exchange(m_isEscaped, false)) {
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t quote = std::min(bytes.find('"'), bytes.size());
        const std::size_t escape = bytes.substr(0, quote).find('\\');
        if (escape != std::string_view::npos) {
            m_isEscaped = true;
            bytes.remove_prefix(escape + 1);
            continue;
        }
        m_isInString = quote == bytes.size();
        bytes.remove_prefix(std::min(quote + 1, bytes.size()));
        if (!m_isInString)
            return true;
    }
    return false;
}

/// Removes the bytes of a value. The byte that ends a number or a literal is left.
/// \return false if the value has not ended yet.
bool json_row_scanner::skipValue(std::string_view &bytes)
{
    while (!bytes.empty()) {
        if (m_isInString) {
            if (skipInString(bytes) && m_nesting == 0)
                return true;
            continue;
        }
        const char next = bytes.front();
        const bool isClosing = next == '}' || next == ']';
        if (m_nesting == 0 && (isClosing || next == ',' || isWhitespace(next)))
            return true;
        bytes.remove_prefix(1);
        m_isInString = next == '"';
        if (next == '{' || next == '[')
            ++m_nesting;
        if (isClosing && --m_nesting == 0)
            return true;
    }
    return false;
}

void json_row_scanner::appendText(std::string_view bytes)
{
    if (m_member.isTooLong)
        return;
    m_member.isTooLong = m_member.text.size() + bytes.size() > currentTextBytesMax();
    if (m_member.isTooLong)
        m_member.text = {};
    else
        m_member.text.append(bytes);
}

void json_row_scanner::endMember()
{
    std::vector<json_member> &members = currentObject().members;
    if (members.size() < m_limits.membersMax)
        members.push_back(std::move(m_member));
    m_state = state::comma_or_end;
}

void json_row_scanner::endObject()
{
    if (m_isInRow)
        endRow();
    else
        m_state = state::end;
}

void json_row_scanner::endRow()
{
    m_isInRow = false;
    m_state = state::row_comma_or_end;
    m_onRow(m_row);
    m_row = {};
}

/// The object is malformed at the next byte. Skips the rest of a row.
void json_row_scanner::rejectObject()
{
    if (!m_isInRow) {
        m_state = state::malformed;
        return;
    }
    m_row.isMalformed = true;
    m_nesting = 1;
    m_state = state::rest;
}

} // namespace almondnotch
