#include "servers/http_entry/caller_exchange.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>
#include <vector>

#include "servers/http_entry/header_filter.h"

namespace almondnotch {

namespace {

/// Bodies over the limit are still read and discarded up to this multiple of the limit, so that the
/// connection stays usable after the error response.
constexpr std::uint64_t discardFactor = 4;

std::string makeRequestId(random_source &random)
{
    static const char *const digits = "0123456789abcdef";
    std::string text;
    for (int part = 0; part < 2; ++part) {
        std::uint64_t bits = random.next();
        for (int digit = 0; digit < 16; ++digit) {
            text += digits[bits & 15];
            bits >>= 4;
        }
    }
    return text;
}

const header_field *findField(const std::vector<header_field> &fields, std::string_view name)
{
    const auto found
        = std::find_if(fields.begin(), fields.end(), [name](const header_field &field) {
              return isEqualIgnoringCase(field.name, name);
          });
    return found == fields.end() ? nullptr : &*found;
}

/// Length of the body as declared; 0 if there is no `Content-Length`; nothing if it is not one
/// number. Boost.Beast accepts a list of equal numbers, which another server may read otherwise.
std::optional<std::uint64_t> declaredLength(const std::vector<header_field> &fields)
{
    const header_field *const field = findField(fields, "Content-Length");
    if (field == nullptr)
        return 0;
    std::uint64_t length = 0;
    const char *const end = field->value.data() + field->value.size();
    const std::from_chars_result parsed = std::from_chars(field->value.data(), end, length);
    if (parsed.ec == std::errc() && parsed.ptr == end)
        return length;
    return std::nullopt;
}

/// True if all servers see the end of the request at the same place. Boost.Beast takes a request
/// whose last transfer encoding is not "chunked" for one without a body.
bool isFramingUnambiguous(const std::vector<header_field> &fields)
{
    std::size_t count = 0;
    for (const header_field &field : fields) {
        const bool isEncoding = isEqualIgnoringCase(field.name, "Transfer-Encoding");
        if (isEncoding && !isEqualIgnoringCase(field.value, "chunked"))
            return false;
        count += isEncoding || isEqualIgnoringCase(field.name, "Content-Length") ? 1 : 0;
    }
    return count <= 1;
}

/// Checks what depends on the version and on the framing as Boost.Beast understands it. The framing
/// is checked before all else, since nothing behind a request of unknown length may be read.
std::optional<request_rejection> findFramingFault(const request_head &head)
{
    if (!isFramingUnambiguous(head.fields))
        return request_rejection {400, "framing-invalid", "Ambiguous message framing",
                                  "expected one Content-Length, or one Transfer-Encoding that is "
                                  "\"chunked\""};
    if (!declaredLength(head.fields))
        return request_rejection {400, "framing-invalid", "Ambiguous message framing",
                                  "Content-Length: expected one number"};
    if (head.version == "HTTP/1.0" && findField(head.fields, "Transfer-Encoding") != nullptr)
        return request_rejection {400, "framing-invalid", "Ambiguous message framing",
                                  "expected no Transfer-Encoding in HTTP/1.0"};
    if (head.version == "HTTP/1.1" && findField(head.fields, "Host") == nullptr)
        return request_rejection {400, "header-invalid", "Invalid request header",
                                  "Host: expected one value, found none"};
    return std::nullopt;
}

request_rejection bodyTooLarge(const entry_context &context)
{
    return {413, "body-too-large", "Request body too large",
            "expected at most " + std::to_string(context.settings.bodyBytesMax) + " bytes"};
}

void holdBody(entry_context &context, std::uint64_t bytes, caller_exchange &exchange)
{
    if (!exchange.rejection && !exchange.heldBody.growTo(bytes))
        rejectExchange(context,
                       {503, "body-memory-full", "Too many request bodies in progress",
                        "expected at most " + std::to_string(context.settings.heldBodyBytesMax)
                            + " bytes of request bodies in progress, over all callers"},
                       exchange);
}

bool expectsContinue(const request_head &head)
{
    const header_field *const field = findField(head.fields, "Expect");
    return field != nullptr && head.version == "HTTP/1.1"
           && isEqualIgnoringCase(field->value, "100-continue");
}

} // namespace

void receiveHead(entry_context &context, const request_head &head, bool keepsConnection,
                 caller_exchange &exchange)
{
    const std::uint64_t length = declaredLength(head.fields).value_or(0);
    const bool isChunked = findField(head.fields, "Transfer-Encoding") != nullptr;
    exchange.isHeadRequest = head.method == "HEAD";
    exchange.isIndependent
        = (head.method == "GET" || exchange.isHeadRequest) && length == 0 && !isChunked;
    exchange.expectsContinue = (length > 0 || isChunked) && expectsContinue(head);
    exchange.endsInput = !keepsConnection;
    exchange.needsKeepAliveField = keepsConnection && head.version == "HTTP/1.0";
    exchange.heldBody = byte_reservation(context.requestBodies);
    exchange.requestId
        = context.protocol.selectRequestId(head.fields, makeRequestId(context.random));

    if (const std::optional<request_rejection> fault = findFramingFault(head)) {
        rejectExchange(context, *fault, exchange);
    } else {
        tl::expected<call_request, request_rejection> parsed
            = context.protocol.parseHead(head, exchange.requestId);
        if (parsed)
            exchange.request = std::make_shared<call_request>(std::move(*parsed));
        else
            rejectExchange(context, parsed.error(), exchange);
    }
    if (length > context.settings.bodyBytesMax)
        rejectExchange(context, bodyTooLarge(context), exchange);
    holdBody(context, length, exchange);
    if (exchange.request) {
        exchange.request->body.reserve(length);
        return;
    }
    // A response before the end of the request ends the connection. That is necessary if the end is
    // unknown, if the body is too long to discard, or if the caller has not sent it yet.
    const bool isFramingKnown = exchange.rejection->type != "framing-invalid";
    exchange.endsInput = exchange.endsInput || !isFramingKnown || exchange.expectsContinue
                         || length > discardFactor * context.settings.bodyBytesMax;
}

void receiveBody(entry_context &context, std::string_view part, caller_exchange &exchange)
{
    exchange.receivedBytes += part.size();
    if (exchange.receivedBytes > context.settings.bodyBytesMax)
        rejectExchange(context, bodyTooLarge(context), exchange);
    if (exchange.receivedBytes > discardFactor * context.settings.bodyBytesMax)
        exchange.endsInput = true;
    holdBody(context, exchange.receivedBytes, exchange);
    if (!exchange.rejection)
        exchange.request->body.append(part);
}

void rejectExchange(entry_context &context, const request_rejection &reason,
                    caller_exchange &exchange)
{
    if (exchange.rejection)
        return;
    if (exchange.requestId.empty())
        exchange.requestId = makeRequestId(context.random);
    exchange.rejection = makeRejectionProblem(context, reason, exchange);
    exchange.request.reset();
    exchange.heldBody.release();
}

problem makeRejectionProblem(entry_context &context, const request_rejection &reason,
                             const caller_exchange &exchange)
{
    context.counters.add("entry_refused_total{reason=\"" + reason.type + "\"}");
    problem problemDocument;
    problemDocument.status = reason.status;
    problemDocument.type = reason.type;
    problemDocument.title = reason.title;
    problemDocument.outcome = call_outcome::not_run;
    problemDocument.step = "receive request";
    problemDocument.detail = reason.detail;
    problemDocument.requestId = exchange.requestId;
    if (reason.status == 503)
        problemDocument.retryAfter = seconds(1);
    return problemDocument;
}

} // namespace almondnotch
