#pragma once

#include <string>
#include <string_view>

#include "decision/decision_core.h"

namespace almondnotch {

/// Kind of a request to the directory endpoint.
enum class directory_request {
    /// A check whether the gateway can serve callers.
    readiness,
    /// A lookup of the gateway addresses that callers should use.
    address_lookup,
    /// Any other request.
    unknown
};

/// The paths, query parameters and response bodies of the directory endpoint. Stateless.
class directory_protocol
{
public:
    directory_protocol() = default;
    directory_protocol(const directory_protocol &) = delete;
    directory_protocol &operator=(const directory_protocol &) = delete;
    virtual ~directory_protocol() = default;

    /// Kind of the request with this path (without the query).
    virtual directory_request classify(std::string_view path) const = 0;
    /// Names of the query parameters of an address lookup.
    virtual const char *hostParameter() const = 0;
    virtual const char *regionParameter() const = 0;
    virtual const char *failureDomainParameter() const = 0;
    /// JSON body of a response that contains addresses.
    virtual std::string encode(const entry_addresses &answer) const = 0;
};

} // namespace almondnotch
