#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "decision/actions.h"
#include "decision/events.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// HTTP protocol between the gateway and its workers: the headers of attempts and probes and the
/// interpretation of the responses. Implementations are stateless.
class worker_protocol
{
public:
    worker_protocol() = default;
    worker_protocol(const worker_protocol &) = delete;
    worker_protocol &operator=(const worker_protocol &) = delete;
    virtual ~worker_protocol() = default;

    /// True for headers of the caller's request that are not forwarded to the worker.
    virtual bool isStrippedFromRequest(std::string_view fieldName) const = 0;
    /// Headers that the gateway adds to an attempt.
    /// \param timeLeft time that is left for the response of the worker.
    virtual std::vector<header_field> attemptFields(const start_attempt &command,
                                                    duration timeLeft) const = 0;
    /// Request target of a probe and the headers that are sent with it.
    virtual std::string probeTarget(const start_probe &command) const = 0;
    virtual std::vector<header_field> probeFields(const start_probe &command) const = 0;

    /// True if a response without a length may end with the close of its connection.
    virtual bool allowsCloseDelimited() const = 0;
    /// Fills in the outcome of an attempt from a complete response. Sets `attempt_finished::end` to
    /// a value other than `answered` if the response must not be forwarded, for example because it
    /// belongs to another attempt.
    virtual void parseResponse(response_reader &reader, const start_attempt &command,
                               attempt_finished &outcome) const = 0;
    /// Fills in the outcome of a probe from a complete response. `load` stays empty if the response
    /// does not count as a load report of the worker.
    virtual void parseProbeResponse(response_reader &reader, const start_probe &command,
                                    probe_finished &outcome) const = 0;
    /// True if the response contains a malformed load report.
    virtual bool isLoadMalformed(const response_reader &reader) const = 0;
};

/// almondnotch's own protocol: `Almondnotch-*` headers and the load endpoint.
const worker_protocol &nativeWorkerProtocol();

} // namespace almondnotch
