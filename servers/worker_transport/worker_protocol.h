#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "decision/actions.h"
#include "decision/events.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// How workers and the gateway speak about a call in HTTP headers. Stateless.
class worker_protocol
{
public:
    worker_protocol() = default;
    worker_protocol(const worker_protocol &) = delete;
    worker_protocol &operator=(const worker_protocol &) = delete;
    virtual ~worker_protocol() = default;

    /// True for fields of the caller's request that are not forwarded.
    virtual bool isStrippedFromRequest(std::string_view fieldName) const = 0;
    /// Fields that the gateway adds to an attempt.
    /// \param timeLeft time that the worker may take.
    virtual std::vector<header_field> attemptFields(const start_attempt &command,
                                                    duration timeLeft) const = 0;
    /// Path of a probe and the fields that go with it.
    virtual std::string probeTarget(const start_probe &command) const = 0;
    virtual std::vector<header_field> probeFields(const start_probe &command) const = 0;

    /// True if a response may end with its connection instead of a length.
    virtual bool allowsCloseDelimited() const = 0;
    /// Fills in what a whole response says; sets another end than `answered` if it is not the
    /// response to this attempt.
    virtual void parseResponse(response_reader &reader, const start_attempt &command,
                               attempt_finished &outcome) const = 0;
    /// Fills in what a whole response to a probe says. No load means that it says nothing usable.
    virtual void parseProbeResponse(response_reader &reader, const start_probe &command,
                                    probe_finished &outcome) const = 0;
    /// True if the response's load report is not in the documented form.
    virtual bool isLoadMalformed(const response_reader &reader) const = 0;
};

/// The product's own dialect: `Almondnotch-*` fields and the load endpoint.
const worker_protocol &nativeWorkerProtocol();

} // namespace almondnotch
