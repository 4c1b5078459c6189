#include "config/nesting.h"

#include <algorithm>
#include <string>

namespace almondnotch {

namespace {

/// Scans a TOML text for nesting and skips strings and comments, which may contain brackets and
/// dots. For an invalid text it only needs to agree with the parser up to the first error.
class nesting_scanner
{
public:
    explicit nesting_scanner(std::string_view text) : m_text(text) { }

    std::optional<int> run()
    {
        while (m_position < m_text.size()) {
            const char character = m_text[m_position];
            if (character == '"' || character == '\'') {
                skipString(character);
                continue;
            }
            if (character == '#') {
                m_position = std::min(m_text.find('\n', m_position), m_text.size());
                continue;
            }
            if (!trackDepth(character))
                return m_line;
            ++m_position;
        }
        return std::nullopt;
    }

private:
    bool trackDepth(char character)
    {
        if (character == '\n') {
            ++m_line;
            m_dots = 0;
        } else if (character == '.') {
            ++m_dots;
        } else if (character == '[' || character == '{') {
            ++m_depth;
        } else if (character == ']' || character == '}') {
            m_depth = std::max(m_depth - 1, 0);
        }
        return m_dots <= tomlNestingMax && m_depth <= tomlNestingMax;
    }

    void skipString(char quote)
    {
        const std::string triple(3, quote);
        const bool multiLine = m_text.substr(m_position, 3) == triple;
        m_position += multiLine ? 3 : 1;
        while (m_position < m_text.size()) {
            if (m_text[m_position] == '\\' && quote == '"') {
                // The escaped character may be a line break.
                ++m_position;
                if (m_position < m_text.size() && m_text[m_position] == '\n')
                    ++m_line;
                ++m_position;
                continue;
            }
            if (multiLine && m_text.substr(m_position, 3) == triple) {
                m_position += 3;
                // Up to two quotation marks may directly precede the closing three.
                for (int extra = 0;
                     extra < 2 && m_position < m_text.size() && m_text[m_position] == quote;
                     ++extra)
                    ++m_position;
                return;
            }
            if (!multiLine && (m_text[m_position] == quote || m_text[m_position] == '\n')) {
                m_position += m_text[m_position] == quote ? 1 : 0;
                return;
            }
            m_line += m_text[m_position] == '\n' ? 1 : 0;
            ++m_position;
        }
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    int m_line = 1;
    int m_dots = 0;
    int m_depth = 0;
};

} // namespace

std::optional<int> findDeepNesting(std::string_view text)
{
    return nesting_scanner(text).run();
}

} // namespace almondnotch
