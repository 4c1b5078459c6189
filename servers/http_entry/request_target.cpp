#include "servers/http_entry/request_target.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace almondnotch {

namespace {

std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        const std::string_view digits = text.substr(i + 1, 2);
        unsigned char value = 0;
        const std::from_chars_result parsed
            = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || parsed.ec != std::errc()
            || parsed.ptr != digits.data() + digits.size())
            return std::nullopt;
        decoded += static_cast<char>(value);
        i += 2;
    }
    return decoded;
}

} // namespace

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string()
                                                    : decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace almondnotch
