#include "servers/http_entry/response_writer.h"

#include <algorithm>
#include <ctime>
#include <memory>
#include <string_view>
#include <utility>

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include "servers/http_entry/header_filter.h"

namespace almondnotch {

namespace {

bool isWritable(const header_field &field)
{
    const bool isNameValid
        = !field.name.empty() && std::all_of(field.name.begin(), field.name.end(), [](char c) {
              return c > 0x20 && c < 0x7f && c != ':';
          });
    return isNameValid && std::none_of(field.value.begin(), field.value.end(), [](char c) {
               return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
           });
}

const header_field *findField(const call_response &response, std::string_view name)
{
    const auto found = std::find_if(
        response.headers.begin(), response.headers.end(),
        [name](const header_field &field) { return isEqualIgnoringCase(field.name, name); });
    return found == response.headers.end() ? nullptr : &*found;
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.size() < 19
           && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

void addField(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ");
    const std::size_t start = head.size();
    head.append(value).append("\r\n");
    // A tab in a field value is equivalent to a space (RFC 9110 section 5.5).
    std::replace(head.begin() + static_cast<std::ptrdiff_t>(start), head.end(), '\t', ' ');
}

/// Date in the format of RFC 9110 section 5.6.7, for example "Sun, 06 Nov 1994 08:49:37 GMT".
std::string formatDate(std::int64_t unixSeconds)
{
    const std::time_t time = unixSeconds;
    std::tm parts {};
    gmtime_r(&time, &parts);
    char text[32];
    return {text, std::strftime(text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts)};
}

std::string statusLine(int status)
{
    namespace http = boost::beast::http;
    const http::status known = http::int_to_status(static_cast<unsigned>(status));
    const boost::beast::string_view reason
        = known == http::status::unknown ? "Unknown" : http::obsolete_reason(known);
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason.data(), reason.size())
           + "\r\n";
}

/// Value of `Content-Length`; empty if the response has none. A response without a body keeps the
/// worker's, since 0 would be wrong (RFC 9110 section 8.6).
std::string contentLength(const call_response &response, bool isHeadRequest)
{
    constexpr int noContent = 204;
    if (response.status == noContent)
        return {};
    if (!response.body.empty() || !isBodyOmitted(response, isHeadRequest))
        return std::to_string(response.body.size());
    const header_field *const length = findField(response, "Content-Length");
    return length != nullptr && isNumber(length->value) ? length->value : std::string();
}

} // namespace

std::optional<std::string> findResponseFault(const call_response &response,
                                             std::size_t headerBytesMax)
{
    if (response.status < 200 || response.status > 999)
        return "expected a final status, found " + std::to_string(response.status);
    std::size_t bytes = 0;
    for (const header_field &field : response.headers) {
        if (!isWritable(field))
            return "expected header fields without control characters";
        bytes += field.name.size() + field.value.size() + 4;
    }
    if (bytes > headerBytesMax)
        return "expected at most " + std::to_string(headerBytesMax)
               + " bytes of header fields, found " + std::to_string(bytes);
    return std::nullopt;
}

bool isBodyOmitted(const call_response &response, bool isHeadRequest)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return isHeadRequest || response.status == noContent || response.status == notModified;
}

bool isLengthUnknown(const call_response &response, bool isHeadRequest)
{
    constexpr int noContent = 204;
    return response.status != noContent && contentLength(response, isHeadRequest).empty();
}

std::string makeResponseHead(const call_response &response, const response_options &options,
                             std::int64_t unixSeconds)
{
    std::string head = statusLine(response.status);
    if (findField(response, "Date") == nullptr)
        addField(head, "Date", formatDate(unixSeconds));
    for (const header_field &field : forwardableFields(response.headers))
        addField(head, field.name, field.value);
    for (const header_field &field : options.addedFields)
        addField(head, field.name, field.value);
    const std::string length = contentLength(response, options.isHeadRequest);
    if (!length.empty())
        addField(head, "Content-Length", length);
    if (options.closeConnection)
        addField(head, "Connection", "close");
    else if (options.announceKeepAlive)
        addField(head, "Connection", "Keep-Alive");
    head += "\r\n";
    return head;
}

shared_response makeEntryResponse(const std::string &service, const send_entry_response &command)
{
    const nlohmann::json document = {
        {"service", service},
        {"addresses", command.addresses},
        {"keep_ms", toMilliseconds(command.ttl)},
        {"key_range", command.keyRange},
    };
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = 200;
    response->headers.push_back({"Content-Type", "application/json"});
    // A shared cache would give the same key range to several callers, whose operations would then
    // use the same idempotency keys.
    response->headers.push_back({"Cache-Control", "no-store"});
    response->body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace almondnotch
