#include "servers/http_entry/header_filter.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include <strings.h>

namespace almondnotch {

namespace {

constexpr std::string_view almondnotchPrefix = "Almondnotch-";

/// Fields that concern a single connection or the framing of a message. Contains `Trailer` because
/// trailers are not forwarded, and `Expect` because the body has already been received when the
/// message is forwarded.
constexpr std::array<std::string_view, 9> connectionFields {
    "Connection", "Proxy-Connection", "Keep-Alive",    "TE", "Transfer-Encoding", "Upgrade",
    "Trailer",    "Expect",           "Content-Length"};

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> connectionOptions(const std::vector<header_field> &fields)
{
    std::vector<std::string_view> options;
    for (const header_field &field : fields) {
        if (!isEqualIgnoringCase(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            const std::string_view option = trim(rest.substr(0, comma));
            if (!option.empty())
                options.push_back(option);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return options;
}

template <typename Names>
bool contains(const Names &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
        return isEqualIgnoringCase(candidate, name);
    });
}

} // namespace

bool isEqualIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isAlmondnotchField(std::string_view name)
{
    return isEqualIgnoringCase(name.substr(0, almondnotchPrefix.size()), almondnotchPrefix);
}

std::vector<header_field> forwardableFields(const std::vector<header_field> &fields)
{
    const std::vector<std::string_view> options = connectionOptions(fields);
    std::vector<header_field> kept;
    kept.reserve(fields.size());
    for (const header_field &field : fields) {
        if (isAlmondnotchField(field.name) || contains(connectionFields, field.name))
            continue;
        if (contains(options, field.name) && !isEqualIgnoringCase(field.name, "Host"))
            continue;
        kept.push_back(field);
    }
    return kept;
}

} // namespace almondnotch
