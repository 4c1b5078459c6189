#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "decision/types.h"

namespace almondnotch {

/// Why the entry port refuses a request before it becomes a call.
struct request_refusal
{
    int status = 400;
    /// Last part of the problem's type and value of the counter's `reason` label.
    std::string type;
    std::string title;
    std::string detail;

    bool operator==(const request_refusal &) const = default;
};

/// Longest `Idempotency-Key`, bytes.
constexpr std::size_t idempotencyKeyBytesMax = 256;

/// Request line and header fields as received.
struct request_head
{
    std::string method;
    std::string target;
    std::string version;
    std::vector<header_field> fields;
};

/// Checks a request's line and header fields and makes a call without a body of them.
/// `Almondnotch-*` fields, `Idempotency-Key` and connection fields are read and left out.
/// \param generatedRequestId used unless the caller sent a well-formed `Almondnotch-Request-Id`.
tl::expected<call_request, request_refusal> parseRequestHead(const request_head &head,
                                                             std::string generatedRequestId);

/// The caller's request identifier if it sent one that is well-formed, or else `fresh`.
std::string chooseRequestId(const std::vector<header_field> &fields, std::string generatedId);

} // namespace almondnotch
