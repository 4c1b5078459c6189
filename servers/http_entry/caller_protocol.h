#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "decision/types.h"
#include "servers/http_entry/request_head.h"

namespace almondnotch {

/// The header fields and reserved paths that callers and the gateway use in HTTP. Stateless.
class caller_protocol
{
public:
    caller_protocol() = default;
    caller_protocol(const caller_protocol &) = delete;
    caller_protocol &operator=(const caller_protocol &) = delete;
    virtual ~caller_protocol() = default;

    /// Builds a call, still without its body, from the request line and the header fields.
    /// \param generatedRequestId request identifier to use if the caller sent no usable one.
    /// \return the reason if the request is rejected.
    virtual tl::expected<call_request, request_rejection>
    parseHead(const request_head &head, std::string generatedRequestId) const = 0;
    /// Request identifier for logs and responses: the caller's if it is well-formed, otherwise
    /// `generatedId`.
    virtual std::string selectRequestId(const std::vector<header_field> &fields,
                                        std::string generatedId) const = 0;
    /// Prefix of the paths that the gateway answers itself; empty if there is none.
    virtual std::string_view reservedPathPrefix() const = 0;
    /// Header fields that the gateway adds to a response.
    virtual std::vector<header_field> addedFields(const call_response &response,
                                                  const std::string &requestId) const = 0;
};

/// The native protocol of almondnotch: `Almondnotch-*` fields and idempotency keys.
const caller_protocol &nativeCallerProtocol();

} // namespace almondnotch
