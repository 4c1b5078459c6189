#include "config/nesting.h"

#include <algorithm>
#include <string>

namespace almondnotch {

namespace {

/// Walks over the lexical elements of TOML that can hide brackets and dots: strings and comments.
/// For an invalid text it only needs to agree with the parser up to the first error.
class nesting_scanner
{
public:
    explicit nesting_scanner(std::string_view text) : m_text(text) { }

    std::optional<int> run()
    {
        while (m_at < m_text.size()) {
            const char letter = m_text[m_at];
            if (letter == '"' || letter == '\'') {
                skipString(letter);
                continue;
            }
            if (letter == '#') {
                m_at = std::min(m_text.find('\n', m_at), m_text.size());
                continue;
            }
            if (!count(letter))
                return m_line;
            ++m_at;
        }
        return std::nullopt;
    }

private:
    bool count(char letter)
    {
        if (letter == '\n') {
            ++m_line;
            m_dots = 0;
        } else if (letter == '.') {
            ++m_dots;
        } else if (letter == '[' || letter == '{') {
            ++m_depth;
        } else if (letter == ']' || letter == '}') {
            m_depth = std::max(m_depth - 1, 0);
        }
        return m_dots <= tomlNestingMax && m_depth <= tomlNestingMax;
    }

    void skipString(char quote)
    {
        const std::string triple(3, quote);
        const bool multiLine = m_text.substr(m_at, 3) == triple;
        m_at += multiLine ? 3 : 1;
        while (m_at < m_text.size()) {
            if (m_text[m_at] == '\\' && quote == '"') {
                // The escaped character may be the line end.
                ++m_at;
                if (m_at < m_text.size() && m_text[m_at] == '\n')
                    ++m_line;
                ++m_at;
                continue;
            }
            if (multiLine && m_text.substr(m_at, 3) == triple) {
                m_at += 3;
                // Up to two quotation marks may stand directly before the closing three.
                for (int extra = 0; extra < 2 && m_at < m_text.size() && m_text[m_at] == quote;
                     ++extra)
                    ++m_at;
                return;
            }
            if (!multiLine && (m_text[m_at] == quote || m_text[m_at] == '\n')) {
                m_at += m_text[m_at] == quote ? 1 : 0;
                return;
            }
            m_line += m_text[m_at] == '\n' ? 1 : 0;
            ++m_at;
        }
    }

    std::string_view m_text;
    std::size_t m_at = 0;
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
