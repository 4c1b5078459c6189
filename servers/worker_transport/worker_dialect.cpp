#include "servers/worker_transport/worker_dialect.h"

#include <memory>

#include "servers/curl_loop/header_text.h"
#include "servers/worker_transport/load_parser.h"
#include "servers/worker_transport/worker_response.h"

namespace almondnotch {

namespace {

class native_worker_dialect : public worker_dialect
{
public:
    bool isWithheld(std::string_view fieldName) const override
    {
        return isOwnHeader(fieldName) || equalIgnoringCase(fieldName, "Idempotency-Key");
    }

    std::vector<header_field> attemptFields(const start_attempt &order,
                                            duration timeLeft) const override
    {
        const call_request &request = *order.request;
        std::vector<header_field> fields
            = {{"Almondnotch-Deadline-Ms", std::to_string(toMilliseconds(timeLeft))},
               {"Almondnotch-Depth", std::to_string(request.depth + 1)},
               {"Almondnotch-Attempt", std::to_string(order.attemptNumber)},
               {"Almondnotch-Request-Id", request.requestId}};
        if (!request.idempotencyKey.empty())
            fields.push_back({"Idempotency-Key", request.idempotencyKey});
        return fields;
    }

    std::string probeTarget(const start_probe & /*order*/) const override
    {
        return "/almondnotch/load";
    }

    std::vector<header_field> probeFields(const start_probe & /*order*/) const override
    {
        return {};
    }

    bool allowsUnframed() const override { return false; }

    void interpret(response_reader &reader, const start_attempt & /*order*/,
                   attempt_finished &outcome) const override
    {
        outcome.load = readLoad(reader);
        outcome.refusedNotRun = isRefusedNotRun(reader);
        outcome.response = std::make_shared<const call_response>(takeCallResponse(reader));
    }

    void interpretProbe(response_reader &reader, const start_probe & /*order*/,
                        probe_finished &outcome) const override
    {
        if (reader.status() == 200)
            outcome.load = parseLoadDocument(reader.takeBody());
    }

    bool isLoadMalformed(const response_reader &reader) const override
    {
        return almondnotch::isLoadMalformed(reader);
    }
};

} // namespace

const worker_dialect &nativeWorkerDialect()
{
    static const native_worker_dialect dialect;
    return dialect;
}

} // namespace almondnotch
