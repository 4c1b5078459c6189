#include "decision/types.h"

#include <nlohmann/json.hpp>

namespace almondnotch {

std::string toString(const process_id &process)
{
    return process.vm + "#" + std::to_string(process.startNumber);
}

std::string_view toString(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::run:
        return "run";
    case call_outcome::not_run:
        return "not-run";
    case call_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(attempt_end end)
{
    switch (end) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::not_sent:
        return "not-sent";
    case attempt_end::broken:
        return "broken";
    case attempt_end::timed_out:
        return "timed-out";
    case attempt_end::cancelled:
        return "cancelled";
    }
    return "broken";
}

namespace {

/// Seconds with at most three decimals, without trailing zeros.
std::string formatSeconds(duration length)
{
    const std::int64_t ms = toMilliseconds(length);
    std::string text = std::to_string(ms / 1000);
    std::string decimals = std::to_string(1000 + ms % 1000).substr(1);
    decimals.erase(decimals.find_last_not_of('0') + 1);
    return decimals.empty() ? text : text + "." + decimals;
}

} // namespace

shared_response makeProblemResponse(const problem &cause)
{
    const nlohmann::json document = {
        {"type", "urn:almondnotch:problem:" + cause.type},
        {"title", cause.title},
        {"status", cause.status},
        {"outcome", toString(cause.outcome)},
        {"step", cause.step},
        {"peer", cause.peer},
        {"detail", cause.detail},
        {"request_id", cause.requestId},
    };
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = cause.status;
    response->headers.push_back({"Content-Type", "application/problem+json"});
    if (cause.retryAfter)
        response->headers.push_back({"Retry-After", formatSeconds(*cause.retryAfter)});
    // Invalid UTF-8 in a caller's path must not make the error response fail.
    response->body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response->outcome = cause.outcome;
    return response;
}

} // namespace almondnotch
