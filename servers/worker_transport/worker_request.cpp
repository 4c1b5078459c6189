#include "servers/worker_transport/worker_request.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "servers/curl_loop/header_text.h"

namespace almondnotch {

namespace {

/// Headers that the transport or libcurl sets itself, or that concern the caller's connection.
bool isReplaced(std::string_view name)
{
    return isHopByHop(name) || equalIgnoringCase(name, "Content-Length")
           || equalIgnoringCase(name, "Expect");
}

/// True if the text cannot end its header line early.
bool isOneLine(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

bool isHeaderName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != ':' && c != ';';
    });
}

} // namespace

result<void> prepareAttempt(http_exchange &exchange, const request_parts &parts,
                            const start_attempt &order, duration timeLeft)
{
    const call_request &request = *order.request;
    header_list &headers = exchange.headers();
    bool typed = false;
    bool accepting = false;
    for (const header_field &field : request.headers) {
        if (isReplaced(field.name) || parts.dialect.isWithheld(field.name))
            continue;
        if (!isHeaderName(field.name) || !isOneLine(field.value))
            return fail(error_code::invalid_argument, "send attempt", order.workerAddress,
                        "a header is not well-formed");
        typed = typed || equalIgnoringCase(field.name, "Content-Type");
        accepting = accepting || equalIgnoringCase(field.name, "Accept");
        headers.add(field.name, field.value);
    }
    for (const header_field &field : parts.dialect.attemptFields(order, timeLeft)) {
        if (!isOneLine(field.value))
            return fail(error_code::invalid_argument, "send attempt", order.workerAddress,
                        field.name + " contains a line break");
        headers.add(field.name, field.value);
    }
    // libcurl would add these with values that the caller did not send.
    if (!typed)
        headers.suppress("Content-Type");
    if (!accepting)
        headers.suppress("Accept");
    headers.suppress("Expect");
    const exchange_times times {timeLeft, parts.bounds.connectTimeout,
                                order.idempotent ? parts.bounds.reuseAgeMax
                                                 : parts.bounds.unsafeReuseAgeMax};
    const result<void> prepared
        = exchange.prepare(parts.pool, parts.connections, request.target, times);
    if (!prepared)
        return prepared;
    if (order.freshConnection)
        exchange.useOwnConnection();
    return exchange.setMethod(request.method, request.body);
}

result<void> prepareProbe(http_exchange &exchange, const request_parts &parts,
                          const start_probe &order)
{
    for (const header_field &field : parts.dialect.probeFields(order))
        exchange.headers().add(field.name, field.value);
    exchange.headers().suppress("Accept");
    return exchange.prepare(
        parts.pool, parts.connections, parts.dialect.probeTarget(order),
        {order.timeLimit, parts.bounds.connectTimeout, parts.bounds.reuseAgeMax});
}

} // namespace almondnotch
