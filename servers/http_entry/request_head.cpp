#include "servers/http_entry/request_head.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <system_error>
#include <utility>

#include "servers/http_entry/header_filter.h"

namespace almondnotch {

namespace {

constexpr std::size_t requestIdBytesMax = 64;
constexpr std::uint32_t deadlineMsMax = 600000;
constexpr std::uint32_t attemptMax = 100;

/// A header field with an integer value, its range, and the rejection type of an invalid value.
struct number_field
{
    std::string_view name;
    std::uint32_t minimum;
    std::uint32_t maximum;
    std::string_view rejectionType;
};

constexpr number_field deadlineField {"Almondnotch-Deadline-Ms", 1, deadlineMsMax,
                                      "deadline-invalid"};
constexpr number_field depthField {"Almondnotch-Depth", 0, callDepthMax, "depth-invalid"};
constexpr number_field attemptField {"Almondnotch-Attempt", 0, attemptMax, "attempt-invalid"};

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

/// True for a token as defined in RFC 9110 section 5.6.2.
bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [marks](char c) {
        return isAlphanumeric(c) || marks.find(c) != std::string_view::npos;
    });
}

/// False if the value contains a control character other than a tab. Such a character could end the
/// field line when the value is written to the worker.
bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) && c != '\t'; });
}

tl::unexpected<request_rejection> reject(int status, std::string_view type, std::string_view title,
                                         std::string detail)
{
    return tl::unexpected(
        request_rejection {status, std::string(type), std::string(title), std::move(detail)});
}

std::vector<const header_field *> findAll(const std::vector<header_field> &fields,
                                          std::string_view name)
{
    std::vector<const header_field *> found;
    for (const header_field &field : fields) {
        if (isEqualIgnoringCase(field.name, name))
            found.push_back(&field);
    }
    return found;
}

tl::expected<std::optional<std::uint32_t>, request_rejection>
parseNumber(const std::vector<header_field> &fields, const number_field &expected)
{
    const std::vector<const header_field *> found = findAll(fields, expected.name);
    if (found.empty())
        return std::nullopt;
    const std::string &text = found.front()->value;
    std::uint32_t value = 0;
    const std::from_chars_result parsed
        = std::from_chars(text.data(), text.data() + text.size(), value);
    if (found.size() == 1 && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()
        && value >= expected.minimum && value <= expected.maximum)
        return value;
    return reject(
        400, expected.rejectionType, "Invalid request header",
        std::string(expected.name) + ": expected one integer from "
            + std::to_string(expected.minimum) + " to " + std::to_string(expected.maximum)
            + ", found "
            + (found.size() == 1 ? "\"" + text + "\"" : std::to_string(found.size()) + " values"));
}

tl::expected<void, request_rejection> checkFraming(const std::vector<header_field> &fields)
{
    const std::vector<const header_field *> encodings = findAll(fields, "Transfer-Encoding");
    const std::vector<const header_field *> lengths = findAll(fields, "Content-Length");
    // If two servers derive different lengths, they see different requests (request smuggling, RFC
    // 9112 section 11.2).
    if (encodings.size() + lengths.size() > 1)
        return reject(400, "framing-invalid", "Ambiguous message framing",
                      "expected one of Content-Length and Transfer-Encoding, found "
                          + std::to_string(encodings.size() + lengths.size()) + " fields");
    if (!encodings.empty() && !isEqualIgnoringCase(encodings.front()->value, "chunked"))
        return reject(400, "framing-invalid", "Unsupported transfer encoding",
                      "expected \"chunked\", found \"" + encodings.front()->value + "\"");
    return {};
}

tl::expected<void, request_rejection> checkFields(const std::vector<header_field> &fields)
{
    for (const header_field &field : fields) {
        if (!isToken(field.name))
            return reject(400, "header-invalid", "Invalid request header",
                          "expected a field name of token characters");
        if (!isFieldValue(field.value))
            return reject(400, "header-invalid", "Invalid request header",
                          field.name + ": expected no control characters");
    }
    if (findAll(fields, "Host").size() > 1)
        return reject(400, "header-invalid", "Invalid request header",
                      "Host: expected one value, found several");
    return checkFraming(fields);
}

/// Converts a target in origin or absolute form to origin form, which is path and query (RFC 9112
/// section 3.2). Returns nothing if the target is malformed.
std::optional<std::string> toOriginForm(std::string_view target)
{
    constexpr std::string_view scheme = "http://";
    if (isEqualIgnoringCase(target.substr(0, scheme.size()), scheme)) {
        target.remove_prefix(scheme.size());
        const std::size_t slash = target.find_first_of("/?");
        if (slash == std::string_view::npos)
            return "/";
        target.remove_prefix(slash);
        if (target.front() == '?')
            return "/" + std::string(target);
    }
    if (target.empty() || target.front() != '/')
        return std::nullopt;
    if (std::any_of(target.begin(), target.end(), [](char c) { return c <= 0x20 || c >= 0x7f; }))
        return std::nullopt;
    return std::string(target);
}

tl::expected<std::string, request_rejection>
parseIdempotencyKey(const std::vector<header_field> &fields)
{
    const std::vector<const header_field *> found = findAll(fields, "Idempotency-Key");
    if (found.empty())
        return std::string();
    const std::string &key = found.front()->value;
    if (found.size() == 1 && !key.empty() && key.size() <= idempotencyKeyBytesMax
        && std::none_of(key.begin(), key.end(), isControl))
        return key;
    return reject(400, "idempotency-key-invalid", "Invalid idempotency key",
                  "Idempotency-Key: expected one value of 1 to "
                      + std::to_string(idempotencyKeyBytesMax)
                      + " bytes without control characters, found "
                      + (found.size() == 1 ? std::to_string(key.size()) + " bytes"
                                           : std::to_string(found.size()) + " values"));
}

bool isRequestId(std::string_view text)
{
    return !text.empty() && text.size() <= requestIdBytesMax
           && std::all_of(text.begin(), text.end(),
                          [](char c) { return isAlphanumeric(c) || c == '-'; });
}

} // namespace

std::string selectNativeRequestId(const std::vector<header_field> &fields, std::string generatedId)
{
    const std::vector<const header_field *> found = findAll(fields, "Almondnotch-Request-Id");
    if (found.size() == 1 && isRequestId(found.front()->value))
        return found.front()->value;
    return generatedId;
}

tl::expected<call_request, request_rejection> parseRequestHead(const request_head &head,
                                                               std::string generatedRequestId)
{
    if (head.version != "HTTP/1.1" && head.version != "HTTP/1.0")
        return reject(505, "version-unsupported", "Unsupported protocol version",
                      "expected HTTP/1.1 or HTTP/1.0");
    if (!isToken(head.method))
        return reject(400, "method-invalid", "Invalid method", "expected a token");
    const std::optional<std::string> target = toOriginForm(head.target);
    if (!target)
        return reject(400, "target-invalid", "Invalid request target",
                      "expected a path that begins with \"/\" and has only visible ASCII "
                      "characters");
    const tl::expected<void, request_rejection> fieldsChecked = checkFields(head.fields);
    if (!fieldsChecked)
        return tl::unexpected(fieldsChecked.error());

    const tl::expected<std::optional<std::uint32_t>, request_rejection> deadline
        = parseNumber(head.fields, deadlineField);
    if (!deadline)
        return tl::unexpected(deadline.error());
    const tl::expected<std::optional<std::uint32_t>, request_rejection> depth
        = parseNumber(head.fields, depthField);
    if (!depth)
        return tl::unexpected(depth.error());
    const tl::expected<std::optional<std::uint32_t>, request_rejection> attempt
        = parseNumber(head.fields, attemptField);
    if (!attempt)
        return tl::unexpected(attempt.error());
    tl::expected<std::string, request_rejection> key = parseIdempotencyKey(head.fields);
    if (!key)
        return tl::unexpected(key.error());

    call_request request;
    request.method = head.method;
    request.target = *target;
    request.headers = forwardableFields(head.fields);
    std::erase_if(request.headers, [](const header_field &field) {
        return isEqualIgnoringCase(field.name, "Idempotency-Key");
    });
    request.idempotencyKey = std::move(*key);
    if (*deadline)
        request.timeout = milliseconds(**deadline);
    request.depth = depth->value_or(0);
    request.priorRetries = attempt->value_or(0);
    request.requestId = selectNativeRequestId(head.fields, std::move(generatedRequestId));
    return request;
}

} // namespace almondnotch
