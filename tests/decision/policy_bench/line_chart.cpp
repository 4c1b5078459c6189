#include "tests/decision/policy_bench/line_chart.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace almondnotch {

namespace {

/// Size and margins of the chart, in pixels. The legend is in the right margin.
constexpr double width = 760;
constexpr double height = 420;
constexpr double leftMargin = 64;
constexpr double rightMargin = 200;
constexpr double topMargin = 40;
constexpr double bottomMargin = 52;

const std::vector<std::string> colours
    = {"#1b6ca8", "#c8553d", "#3a7d44", "#8e5aa8", "#b08900", "#444444", "#d16ba5"};

} // namespace

std::string line_chart::toSvg() const
{
    double xMin = 1e300;
    double xMax = -1e300;
    double yMin = 1e300;
    double yMax = 1e-300;
    for (const chart_line &line : lines) {
        for (const std::pair<double, double> &point : line.points) {
            xMin = std::min(xMin, point.first);
            xMax = std::max(xMax, point.first);
            yMin = std::min(yMin, point.second);
            yMax = std::max(yMax, point.second);
        }
    }
    if (xMax <= xMin)
        xMax = xMin + 1;
    yMin = std::pow(2, std::floor(std::log2(yMin)));
    yMax = std::pow(2, std::ceil(std::log2(yMax) + 1e-9));
    const double plotWidth = width - leftMargin - rightMargin;
    const double plotHeight = height - topMargin - bottomMargin;
    const auto xOf = [&](double x) { return leftMargin + (x - xMin) / (xMax - xMin) * plotWidth; };
    const auto yOf = [&](double y) {
        return topMargin + (1 - std::log(y / yMin) / std::log(yMax / yMin)) * plotHeight;
    };

    std::ostringstream out;
    out.setf(std::ios::fixed);
    out.precision(1);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << width << ' ' << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"" << leftMargin
        << "\" y=\"22\" font-size=\"14\">" << title << "</text>\n<text x=\""
        << leftMargin + plotWidth / 2 << "\" y=\"" << height - 12 << "\" text-anchor=\"middle\">"
        << xLabel << "</text>\n<text transform=\"rotate(-90)\" x=\""
        << -(topMargin + plotHeight / 2) << "\" y=\"16\" text-anchor=\"middle\">" << yLabel
        << "</text>\n";
    for (double y = yMin; y <= yMax * 1.001; y *= 2) {
        out << "<line x1=\"" << leftMargin << "\" x2=\"" << leftMargin + plotWidth << "\" y1=\""
            << yOf(y) << "\" y2=\"" << yOf(y) << "\" stroke=\"#dddddd\"/>\n<text x=\""
            << leftMargin - 6 << "\" y=\"" << yOf(y) + 4 << "\" text-anchor=\"end\">"
            << std::lround(y) << "</text>\n";
    }
    std::vector<double> ticks;
    for (const chart_line &line : lines) {
        for (const std::pair<double, double> &point : line.points)
            ticks.push_back(point.first);
    }
    std::sort(ticks.begin(), ticks.end());
    ticks.erase(std::unique(ticks.begin(), ticks.end()), ticks.end());
    double lastLabelX = -1e300;
    for (const double x : ticks) {
        // Skips a label that would overlap the previous one.
        if (xOf(x) - lastLabelX < 24)
            continue;
        lastLabelX = xOf(x);
        out << "<text x=\"" << lastLabelX << "\" y=\"" << topMargin + plotHeight + 18
            << "\" text-anchor=\"middle\">" << std::lround(x) << "</text>\n";
    }
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const std::string &colour = colours[i % colours.size()];
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (const std::pair<double, double> &point : lines[i].points)
            out << xOf(point.first) << ',' << yOf(point.second) << ' ';
        const double labelY = topMargin + 10 + static_cast<double>(i) * 20;
        out << "\"/>\n<line x1=\"" << width - rightMargin + 12 << "\" x2=\""
            << width - rightMargin + 32 << "\" y1=\"" << labelY << "\" y2=\"" << labelY
            << "\" stroke-width=\"2\" stroke=\"" << colour << "\"/>\n<text x=\""
            << width - rightMargin + 38 << "\" y=\"" << labelY + 4 << "\">" << lines[i].label
            << "</text>\n";
    }
    out << "</svg>\n";
    return out.str();
}

result<void> line_chart::write(const std::string &path) const
{
    std::ofstream file(path);
    file << toSvg();
    file.close();
    if (!file)
        return fail(error_code::unavailable, "write figure", path,
                    "the SVG file cannot be written");
    return {};
}

} // namespace almondnotch
