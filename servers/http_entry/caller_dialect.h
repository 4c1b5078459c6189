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
class caller_dialect
{
public:
    caller_dialect() = default;
    caller_dialect(const caller_dialect &) = delete;
    caller_dialect &operator=(const caller_dialect &) = delete;
    virtual ~caller_dialect() = default;

    /// Makes a call without a body of a request's line and header fields.
    virtual tl::expected<call_request, request_refusal> parseHead(const request_head &head,
                                                                  std::string freshId) const = 0;
    /// Identifier of the request in logs: the caller's if it is well-formed, or else `fresh`.
    virtual std::string chooseId(const std::vector<header_field> &fields,
                                 std::string fresh) const = 0;
    /// Path prefix that the gateway answers itself; empty if there is none.
    virtual std::string_view ownPathPrefix() const = 0;
    /// Fields that the gateway adds to a response.
    virtual std::vector<header_field> ownFields(const call_response &response,
                                                const std::string &requestId) const = 0;
};

/// The product's own dialect: `Almondnotch-*` fields and idempotency keys.
const caller_dialect &nativeCallerDialect();

} // namespace almondnotch
