#include "servers/curl_loop/header_text.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace almondnotch {

namespace {

constexpr std::array<std::string_view, 9> hopByHopHeaders {"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "Proxy-Connection",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade"};

constexpr std::string_view almondnotchPrefix = "Almondnotch-";

} // namespace

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
                       [name](std::string_view known) { return equalIgnoringCase(known, name); });
}

bool isAlmondnotchHeader(std::string_view name)
{
    return equalIgnoringCase(name.substr(0, almondnotchPrefix.size()), almondnotchPrefix);
}

} // namespace almondnotch
