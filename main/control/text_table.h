#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace almondnotch {

/// Colours of the terminal; used only if the output is one.
enum class text_colour { none, bold, red, green, yellow, cyan };

/// The text in a colour, or unchanged without a terminal.
std::string coloured(std::string_view text, text_colour colour, bool isTerminal);

/// The text without control characters, which could otherwise steer the operator's terminal.
std::string printable(std::string_view text);

/// Rows with aligned columns.
class text_table
{
public:
    /// \param headings may be empty for a table without a heading line.
    explicit text_table(std::vector<std::string> headings) : m_headings(std::move(headings)) { }

    void addRow(std::vector<std::string> cells);

    /// Columns that hold only numbers are aligned to the right.
    void print(std::ostream &out, bool isTerminal, std::string_view indent = "") const;

private:
    std::vector<std::string> m_headings;
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace almondnotch
