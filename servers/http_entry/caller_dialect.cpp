#include "servers/http_entry/caller_dialect.h"

#include <utility>

namespace almondnotch {

namespace {

class native_caller_dialect : public caller_dialect
{
public:
    tl::expected<call_request, request_refusal> parseHead(const request_head &head,
                                                          std::string freshId) const override
    {
        return parseRequestHead(head, std::move(freshId));
    }

    std::string chooseId(const std::vector<header_field> &fields, std::string fresh) const override
    {
        return chooseRequestId(fields, std::move(fresh));
    }

    std::string_view ownPathPrefix() const override { return "/.well-known/almondnotch/"; }

    std::vector<header_field> ownFields(const call_response &response,
                                        const std::string &requestId) const override
    {
        return {{"Almondnotch-Request-Id", requestId},
                {"Almondnotch-Outcome", std::string(toString(response.outcome))}};
    }
};

} // namespace

const caller_dialect &nativeCallerDialect()
{
    static const native_caller_dialect dialect;
    return dialect;
}

} // namespace almondnotch
