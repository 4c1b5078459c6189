#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "decision/types.h"

namespace almondnotch {

/// Why a request is rejected before it becomes a call.
struct request_rejection
{
    int status = 400;
    /// Last segment of the problem's type, also the `reason` label of `entry_refused_total`.
    std::string type;
    std::string title;
    std::string detail;

    bool operator==(const request_rejection &) const = default;
};

/// Maximum length of an `Idempotency-Key`, bytes.
constexpr std::size_t idempotencyKeyBytesMax = 256;

/// Request line and header fields as received.
struct request_head
{
    std::string method;
    std::string target;
    std::string version;
    std::vector<header_field> fields;
};

/// Validates the request line and the header fields and builds a call, still without its body. The
/// deadline, the depth, the number of prior retries, the request identifier and the idempotency key
/// are parsed into members of the call. Its headers contain only the fields that
/// `forwardableFields` returns, without `Idempotency-Key`.
/// \param generatedRequestId used unless the caller sent a well-formed `Almondnotch-Request-Id`.
tl::expected<call_request, request_rejection> parseRequestHead(const request_head &head,
                                                               std::string generatedRequestId);

/// The value of `Almondnotch-Request-Id` if the caller sent a well-formed one, otherwise
/// `generatedId`.
std::string selectNativeRequestId(const std::vector<header_field> &fields, std::string generatedId);

} // namespace almondnotch
