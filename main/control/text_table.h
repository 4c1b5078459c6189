#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace almondnotch {

/// Styles of text on a terminal.
enum class text_style { none, bold, red, green, yellow, cyan };

/// Returns the text with the escape sequences for a style, or unchanged if the output is not a
/// terminal.
std::string styled(std::string_view text, text_style style, bool isTerminal);

/// Returns the text with '?' in place of control characters, which could otherwise control the
/// operator's terminal.
std::string printable(std::string_view text);

/// A table with aligned columns.
class text_table
{
public:
    /// \param headings may be empty for a table without a heading line.
    explicit text_table(std::vector<std::string> headings) : m_headings(std::move(headings)) { }

    void addRow(std::vector<std::string> cells);

    /// Prints the table. If it has headings, columns that contain only numbers are right-aligned.
    void print(std::ostream &out, bool isTerminal, std::string_view indent = "") const;

private:
    std::vector<std::string> m_headings;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace almondnotch
