#include "servers/http_entry/response_message.h"

#include <ctime>
#include <optional>
#include <string>
#include <utility>

#include "servers/http_entry/response_writer.h"

namespace almondnotch {

namespace {

/// Maximum size of a response body in bytes that is sent whatever other responses are held.
constexpr std::size_t unbudgetedResponseBytes = 16'384;

/// \return false if there is no memory for the response.
bool reserve(entry_context &context, const call_response &response, bool isFirst,
             byte_reservation &reservation)
{
    reservation = byte_reservation(context.responses);
    // Only the first response that waits for its caller is held beside the budget.
    const std::size_t unbudgeted = isFirst ? unbudgetedResponseBytes : 0;
    const std::size_t bytes = response.body.size();
    if (bytes <= unbudgeted || reservation.growTo(bytes - unbudgeted))
        return true;
    context.counters.add("entry_responses_not_held_total");
    return false;
}

void replaceResponse(entry_context &context, const std::string &fault, caller_exchange &exchange)
{
    problem problemDocument = makeRejectionProblem(
        context, {502, "response-invalid", "The worker's response cannot be forwarded", fault},
        exchange);
    problemDocument.step = "send response";
    problemDocument.outcome = exchange.response->outcome;
    exchange.response = makeProblemResponse(problemDocument);
}

} // namespace

void holdResponse(entry_context &context, caller_exchange &exchange, bool isFirst)
{
    std::optional<std::string> fault
        = findResponseFault(*exchange.response, context.settings.headerBytesMax);
    if (!fault && !reserve(context, *exchange.response, isFirst, exchange.heldResponse))
        fault = "expected at most " + std::to_string(context.settings.heldResponseBytesMax)
                + " bytes of responses that callers have not read yet";
    if (fault)
        replaceResponse(context, *fault, exchange);
}

output_message makeResponseMessage(entry_context &context, caller_exchange &exchange,
                                   bool closesConnection)
{
    output_message message;
    message.reservation = std::move(exchange.heldResponse);
    const call_response &response = *exchange.response;
    context.counters.add("entry_responses_total{class=\"" + std::to_string(response.status / 100)
                         + "xx\"}");
    response_options headOptions;
    headOptions.addedFields = context.protocol.addedFields(response, exchange.requestId);
    headOptions.isHeadRequest = exchange.isHeadRequest;
    headOptions.closeConnection = closesConnection;
    headOptions.announceKeepAlive = exchange.needsKeepAliveField;
    message.head = makeResponseHead(response, headOptions, std::time(nullptr));
    if (!response.body.empty() && !isBodyOmitted(response, exchange.isHeadRequest))
        message.bodyOwner = exchange.response;
    return message;
}

} // namespace almondnotch
