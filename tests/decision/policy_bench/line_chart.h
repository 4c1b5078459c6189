#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/error.h"

namespace almondnotch {

/// One line of a chart, with its points sorted by x.
struct chart_line
{
    std::string label;
    std::vector<std::pair<double, double>> points;
};

/// A line chart with a linear x axis and a logarithmic y axis, written as SVG.
struct line_chart
{
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<chart_line> lines;

    /// Requires positive y values.
    std::string toSvg() const;
    /// Writes the SVG to a file. Fails with `error_code::unavailable`.
    result<void> write(const std::string &path) const;
};

} // namespace almondnotch
