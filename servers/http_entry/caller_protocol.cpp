#include "servers/http_entry/caller_protocol.h"

#include <utility>

namespace almondnotch {

namespace {

class native_caller_protocol : public caller_protocol
{
public:
    tl::expected<call_request, request_rejection>
    parseHead(const request_head &head, std::string generatedRequestId) const override
    {
        return parseRequestHead(head, std::move(generatedRequestId));
    }

    std::string selectRequestId(const std::vector<header_field> &fields,
                                std::string generatedId) const override
    {
        return selectNativeRequestId(fields, std::move(generatedId));
    }

    std::string_view reservedPathPrefix() const override { return "/.well-known/almondnotch/"; }

    std::vector<header_field> addedFields(const call_response &response,
                                          const std::string &requestId) const override
    {
        return {{"Almondnotch-Request-Id", requestId},
                {"Almondnotch-Outcome", std::string(toString(response.outcome))}};
    }
};

} // namespace

const caller_protocol &nativeCallerProtocol()
{
    static const native_caller_protocol protocol;
    return protocol;
}

} // namespace almondnotch
