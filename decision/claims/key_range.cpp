#include "decision/claims/key_range.h"

#include <array>
#include <charconv>

#include "core/digest.h"

namespace almondnotch {

namespace {

constexpr std::size_t macBytes = 16;
const char *const parseStep = "parse idempotency key";

std::string computeMac(std::string_view text, std::string_view secret)
{
    return toHex(hmacSha256(secret, text).substr(0, macBytes));
}

template <typename Number>
bool parseCanonical(std::string_view text, Number &number)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0'))
        return false;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

tl::unexpected<error> malformedKey(std::string_view found)
{
    return fail(error_code::invalid_argument, parseStep, "",
                "expected KEY_RANGE/NUMBER with a key range from an entry response; found "
                    + std::string(found));
}

} // namespace

std::string formatKeyRange(const key_range &range, std::string_view secret)
{
    const std::string text = range.initialOwner.vm + "."
                             + std::to_string(range.initialOwner.startNumber) + "."
                             + std::to_string(toMilliseconds(range.mintedAt)) + "."
                             + std::to_string(range.rangeNumber);
    return text + "." + computeMac(text, secret);
}

result<operation_key> parseOperationKey(std::string_view text,
                                        const std::vector<std::string> &secrets)
{
    if (text.size() > idempotencyKeyBytesMax)
        return malformedKey("a key of " + std::to_string(text.size()) + " bytes");
    const std::size_t slash = text.rfind('/');
    if (slash == std::string_view::npos)
        return malformedKey("no \"/\"");

    operation_key key;
    if (!parseCanonical(text.substr(slash + 1), key.number))
        return malformedKey("a number that is not a decimal below 2^32");

    // Split from the right, since the first field (the VM name) is the only one that may contain
    // dots.
    std::array<std::string_view, 5> fields;
    std::string_view rest = text.substr(0, slash);
    for (std::size_t i = fields.size() - 1; i > 0; --i) {
        const std::size_t dot = rest.rfind('.');
        if (dot == std::string_view::npos)
            return malformedKey("fewer than five fields in the key range");
        fields.at(i) = rest.substr(dot + 1);
        rest = rest.substr(0, dot);
    }
    fields[0] = rest;

    std::int64_t mintedMs = 0;
    if (fields[0].empty() || !parseCanonical(fields[1], key.range.initialOwner.startNumber)
        || !parseCanonical(fields[2], mintedMs) || mintedMs < 0
        || !parseCanonical(fields[3], key.range.rangeNumber))
        return malformedKey("an empty VM name, or a field of the key range that is not a canonical "
                            "decimal number in its range");
    key.range.initialOwner.vm = std::string(fields[0]);
    key.range.mintedAt = milliseconds(mintedMs);

    const std::string_view signedText
        = text.substr(0, static_cast<std::size_t>(fields[4].data() - text.data()) - 1);
    for (const std::string &secret : secrets) {
        if (equalConstantTime(computeMac(signedText, secret), fields[4]))
            return key;
    }
    return fail(error_code::authentication_failed, parseStep, "", "the key range has no valid MAC");
}

} // namespace almondnotch
