#include "servers/http_entry/response_writer.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

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

void releaseBody(void *closure)
{
    delete static_cast<shared_response *>(closure);
}

MHD_Response *responseWithBody(const shared_response &source)
{
    if (source->body.empty())
        return MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    // libmicrohttpd expects a mutable pointer but only reads from it.
    std::unique_ptr<shared_response> bodyOwner = std::make_unique<shared_response>(source);
    MHD_Response *created = MHD_create_response_from_buffer_with_free_callback_cls(
        source->body.size(), const_cast<char *>(source->body.data()), &releaseBody,
        bodyOwner.get());
    if (created != nullptr)
        static_cast<void>(bodyOwner.release());
    return created;
}

ssize_t refuseContent(void * /*closure*/, std::uint64_t /*position*/, char * /*buffer*/,
                      std::size_t /*limit*/)
{
    return MHD_CONTENT_READER_END_WITH_ERROR;
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

/// Builds a response that has no body but keeps the worker's `Content-Length`. If the worker sent
/// none, the response has none either, since 0 would be wrong (RFC 9110 section 8.6). Without a
/// length, libmicrohttpd 0.9.75 would write the last chunk of a chunked body, which the caller
/// would read as the start of the next response. MHD_RF_HTTP_1_0_COMPATIBLE_STRICT prevents that
/// and closes the connection after the response.
MHD_Response *responseWithoutBody(const call_response &source)
{
    const header_field *length = findField(source, "Content-Length");
    const std::uint64_t size = length != nullptr && isNumber(length->value)
                                   ? std::stoull(length->value)
                                   : MHD_SIZE_UNKNOWN;
    MHD_Response *created
        = MHD_create_response_from_callback(size, 1024, &refuseContent, nullptr, nullptr);
    if (created != nullptr && size == MHD_SIZE_UNKNOWN)
        MHD_set_response_options(created, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
    return created;
}

void addField(MHD_Response *response, const std::string &name, std::string value)
{
    // libmicrohttpd rejects tabs in field values, where a tab is equivalent to a space.
    std::replace(value.begin(), value.end(), '\t', ' ');
    MHD_add_response_header(response, name.c_str(), value.c_str());
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

MHD_Response *makeMhdResponse(const shared_response &response, const response_options &options)
{
    const bool isBodyOmitted
        = response->body.empty() && (options.isHeadRequest || response->status == 304);
    MHD_Response *created
        = isBodyOmitted ? responseWithoutBody(*response) : responseWithBody(response);
    if (created == nullptr)
        return nullptr;
    for (const header_field &field : forwardableFields(response->headers))
        addField(created, field.name, field.value);
    for (const header_field &field : options.addedFields)
        addField(created, field.name, field.value);
    if (options.closeConnection)
        addField(created, "Connection", "close");
    return created;
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
