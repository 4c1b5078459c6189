#include "servers/worker_transport/worker_request.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "servers/curl_loop/header_text.h"

namespace almondnotch {

namespace {

const char *const loadTarget = "/almondnotch/load";

/// Headers that the transport or libcurl sets itself, or that concern the caller's connection.
bool isReplaced(std::string_view name)
{
    return isHopByHop(name) || isOwnHeader(name) || equalIgnoringCase(name, "Content-Length")
           || equalIgnoringCase(name, "Idempotency-Key") || equalIgnoringCase(name, "Expect");
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

result<void> prepareAttempt(http_exchange &exchange, easy_pool &pool, connection_table &connections,
                            const worker_transport_settings &bounds, const start_attempt &order,
                            duration timeLeft)
{
    const call_request &request = *order.request;
    header_list &headers = exchange.headers();
    bool typed = false;
    bool accepting = false;
    for (const header_field &field : request.headers) {
        if (isReplaced(field.name))
            continue;
        if (!isHeaderName(field.name) || !isOneLine(field.value))
            return fail(error_code::invalid_argument, "send attempt", order.workerAddress,
                        "a header is not well-formed");
        typed = typed || equalIgnoringCase(field.name, "Content-Type");
        accepting = accepting || equalIgnoringCase(field.name, "Accept");
        headers.add(field.name, field.value);
    }
    if (!isOneLine(request.idempotencyKey) || !isOneLine(request.requestId))
        return fail(error_code::invalid_argument, "send attempt", order.workerAddress,
                    "the idempotency key or request id contains a line break");
    headers.add("Almondnotch-Deadline-Ms", std::to_string(toMilliseconds(timeLeft)));
    headers.add("Almondnotch-Depth", std::to_string(request.depth + 1));
    headers.add("Almondnotch-Attempt", std::to_string(order.attemptNumber));
    headers.add("Almondnotch-Request-Id", request.requestId);
    if (!request.idempotencyKey.empty())
        headers.add("Idempotency-Key", request.idempotencyKey);
    // libcurl would add these with values that the caller did not send.
    if (!typed)
        headers.suppress("Content-Type");
    if (!accepting)
        headers.suppress("Accept");
    headers.suppress("Expect");
    const exchange_times times {timeLeft, bounds.connectTimeout,
                                order.idempotent ? bounds.reuseAgeMax : bounds.unsafeReuseAgeMax};
    const result<void> prepared = exchange.prepare(pool, connections, request.target, times);
    if (!prepared)
        return prepared;
    return exchange.setMethod(request.method, request.body);
}

result<void> prepareProbe(http_exchange &exchange, easy_pool &pool, connection_table &connections,
                          const worker_transport_settings &bounds, duration timeLeft)
{
    exchange.headers().suppress("Accept");
    return exchange.prepare(pool, connections, loadTarget,
                            {timeLeft, bounds.connectTimeout, bounds.reuseAgeMax});
}

} // namespace almondnotch
