#include "main/control/text_table.h"

#include <algorithm>
#include <ostream>

namespace almondnotch {

namespace {

/// Width on the terminal in columns, with one column for each UTF-8 sequence.
std::size_t displayWidth(std::string_view text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char character) {
        return (static_cast<unsigned char>(character) & 0xC0U) != 0x80U;
    }));
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789.-+e") == std::string_view::npos;
}

struct column
{
    std::size_t width = 0;
    bool numeric = true;
};

std::string padded(const std::string &text, const column &layout, bool last)
{
    const std::string padding(layout.width - displayWidth(text), ' ');
    if (layout.numeric)
        return padding + text;
    return last ? text : text + padding;
}

} // namespace

std::string styled(std::string_view text, text_style style, bool isTerminal)
{
    static const std::vector<std::string_view> codes {"", "1", "31", "32", "33", "36"};
    if (!isTerminal || style == text_style::none)
        return std::string(text);
    std::string out = "\x1b[";
    out += codes[static_cast<std::size_t>(style)];
    out += "m";
    out += text;
    return out + "\x1b[0m";
}

std::string printable(std::string_view text)
{
    std::string out(text);
    std::replace_if(
        out.begin(), out.end(),
        [](char character) {
            const unsigned char byte = static_cast<unsigned char>(character);
            return byte < 0x20 || byte == 0x7f;
        },
        '?');
    return out;
}

void text_table::addRow(std::vector<std::string> cells)
{
    for (std::string &cell : cells)
        cell = printable(cell);
    m_rows.push_back(std::move(cells));
}

void text_table::print(std::ostream &out, bool isTerminal, std::string_view indent) const
{
    std::vector<column> columns(m_headings.size());
    for (const std::vector<std::string> &row : m_rows)
        columns.resize(std::max(columns.size(), row.size()));
    for (std::size_t index = 0; index < m_headings.size(); ++index)
        columns[index].width = displayWidth(m_headings[index]);
    for (const std::vector<std::string> &row : m_rows) {
        for (std::size_t index = 0; index < row.size(); ++index) {
            columns[index].width = std::max(columns[index].width, displayWidth(row[index]));
            if (!row[index].empty() && !isNumber(row[index]))
                columns[index].numeric = false;
        }
    }
    // In a table without headings, values are left-aligned, next to their names.
    if (m_headings.empty()) {
        for (column &each : columns)
            each.numeric = false;
    }
    const auto printRow = [&](const std::vector<std::string> &row, text_style style) {
        std::string line;
        for (std::size_t index = 0; index < row.size(); ++index)
            line += (index == 0 ? "" : "  ")
                    + padded(row[index], columns[index], index + 1 == row.size());
        line.erase(line.find_last_not_of(' ') + 1);
        out << indent << styled(line, style, isTerminal) << "\n";
    };
    if (!m_headings.empty())
        printRow(m_headings, text_style::bold);
    for (const std::vector<std::string> &row : m_rows)
        printRow(row, text_style::none);
}

} // namespace almondnotch
