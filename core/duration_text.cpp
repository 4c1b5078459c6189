#include "core/duration_text.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace almondnotch {

namespace {

constexpr double secondsMax = 24 * 3600;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

std::optional<duration> parseDuration(std::string_view text)
{
    double number = 0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (parsed.ec != std::errc() || !std::isfinite(number) || number < 0)
        return std::nullopt;
    const std::string_view unit = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
    if (unit != "ms" && unit != "s")
        return std::nullopt;
    const double inSeconds = unit == "ms" ? number / 1000 : number;
    if (inSeconds > secondsMax)
        return std::nullopt;
    return duration(std::llround(inSeconds * microsecondsPerSecond));
}

} // namespace almondnotch
