#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "decision/types.h"
#include "servers/http_entry/request_head.h"

namespace almondnotch {

/// How callers and the gateway speak about a call in HTTP headers. Stateless.
class caller_protocol
{
public:
    caller_protocol() = default;
    caller_protocol(const caller_protocol &) = delete;
    caller_protocol &operator=(const caller_protocol &) = delete;
    virtual ~caller_protocol() = default;

    /// Makes a call without a body of a request's line and header fields.
    virtual tl::expected<call_request, request_refusal>
    parseHead(const request_head &head, std::string generatedRequestId) const = 0;
    /// Identifier of the request in logs: the caller's if it is well-formed, or else `fresh`.
    virtual std::string chooseId(const std::vector<header_field> &fields,
                                 std::string generatedId) const = 0;
    /// Path prefix that the gateway answers itself; empty if there is none.
    virtual std::string_view reservedPathPrefix() const = 0;
    /// Fields that the gateway adds to a response.
    virtual std::vector<header_field> addedFields(const call_response &response,
                                                  const std::string &requestId) const = 0;
};

/// The product's own dialect: `Almondnotch-*` fields and idempotency keys.
const caller_protocol &nativeCallerProtocol();

} // namespace almondnotch
