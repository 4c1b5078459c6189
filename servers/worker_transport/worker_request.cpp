#include "servers/worker_transport/worker_request.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "servers/curl_loop/header_text.h"

namespace almondnotch {

namespace {

/// True for headers of the caller's request that the transport never copies: those that concern the
/// caller's connection, and those that the transport or libcurl sets itself.
bool isExcludedByTransport(std::string_view name)
{
    return isHopByHop(name) || equalIgnoringCase(name, "Content-Length")
           || equalIgnoringCase(name, "Expect");
}

/// True if the text contains no character that could end its header line early.
bool isValidFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

bool isValidFieldName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != ':' && c != ';';
    });
}

} // namespace

result<void> prepareAttempt(http_exchange &exchange, const request_context &context,
                            const start_attempt &command, duration timeLeft)
{
    const call_request &request = *command.request;
    header_list &headers = exchange.headers();
    bool hasContentType = false;
    bool hasAccept = false;
    for (const header_field &field : request.headers) {
        if (isExcludedByTransport(field.name) || context.protocol.isStrippedFromRequest(field.name))
            continue;
        if (!isValidFieldName(field.name) || !isValidFieldValue(field.value))
            return fail(error_code::invalid_argument, "send attempt", command.workerAddress,
                        "expected headers with valid names and without line breaks and null "
                        "characters in the values");
        hasContentType = hasContentType || equalIgnoringCase(field.name, "Content-Type");
        hasAccept = hasAccept || equalIgnoringCase(field.name, "Accept");
        headers.add(field.name, field.value);
    }
    for (const header_field &field : context.protocol.attemptFields(command, timeLeft)) {
        if (!isValidFieldValue(field.value))
            return fail(error_code::invalid_argument, "send attempt", command.workerAddress,
                        field.name + " contains a line break or a null character");
        headers.add(field.name, field.value);
    }
    // Without these entries libcurl would add the headers with values that the caller did not send.
    if (!hasContentType)
        headers.suppress("Content-Type");
    if (!hasAccept)
        headers.suppress("Accept");
    headers.suppress("Expect");
    const exchange_timeouts timeouts {timeLeft, context.settings.connectTimeout,
                                      command.idempotent
                                          ? context.settings.connectionIdleTimeMax
                                          : context.settings.nonIdempotentConnectionIdleTimeMax};
    const result<void> prepared
        = exchange.prepare(context.pool, context.connections, request.target, timeouts);
    if (!prepared)
        return prepared;
    if (command.freshConnection)
        exchange.useDedicatedConnection();
    return exchange.setMethodAndBody(request.method, request.body);
}

result<void> prepareProbe(http_exchange &exchange, const request_context &context,
                          const start_probe &command)
{
    for (const header_field &field : context.protocol.probeFields(command))
        exchange.headers().add(field.name, field.value);
    exchange.headers().suppress("Accept");
    return exchange.prepare(context.pool, context.connections,
                            context.protocol.probeTarget(command),
                            {command.timeLimit, context.settings.connectTimeout,
                             context.settings.connectionIdleTimeMax});
}

} // namespace almondnotch
