#include "servers/worker_transport/worker_protocol.h"

#include <memory>

#include "servers/curl_loop/header_text.h"
#include "servers/worker_transport/load_parser.h"
#include "servers/worker_transport/worker_response.h"

namespace almondnotch {

namespace {

class native_worker_protocol : public worker_protocol
{
public:
    bool isStrippedFromRequest(std::string_view fieldName) const override
    {
        return isAlmondnotchHeader(fieldName) || equalIgnoringCase(fieldName, "Idempotency-Key");
    }

    std::vector<header_field> attemptFields(const start_attempt &command,
                                            duration timeLeft) const override
    {
        const call_request &request = *command.request;
        std::vector<header_field> fields
            = {{"Almondnotch-Deadline-Ms", std::to_string(toMilliseconds(timeLeft))},
               {"Almondnotch-Depth", std::to_string(request.depth + 1)},
               {"Almondnotch-Attempt", std::to_string(command.attemptNumber)},
               {"Almondnotch-Request-Id", request.requestId}};
        if (!request.idempotencyKey.empty())
            fields.push_back({"Idempotency-Key", request.idempotencyKey});
        return fields;
    }

    std::string probeTarget(const start_probe & /*command*/) const override
    {
        return "/almondnotch/load";
    }

    std::vector<header_field> probeFields(const start_probe & /*command*/) const override
    {
        return {};
    }

    bool allowsCloseDelimited() const override { return false; }

    void parseResponse(response_reader &reader, const start_attempt & /*command*/,
                       attempt_finished &outcome) const override
    {
        outcome.load = readLoad(reader);
        outcome.rejectedBeforeRun = isRejectedBeforeRun(reader);
        outcome.response = std::make_shared<const call_response>(takeCallResponse(reader));
    }

    void parseProbeResponse(response_reader &reader, const start_probe & /*command*/,
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

const worker_protocol &nativeWorkerProtocol()
{
    static const native_worker_protocol protocol;
    return protocol;
}

} // namespace almondnotch
