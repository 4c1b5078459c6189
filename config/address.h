#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace almondnotch {

/// IP address and port.
struct ip_endpoint
{
    /// Canonical text form of the address, without brackets.
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const ip_endpoint &) const = default;
};

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80". Host names are rejected, because resolving them
/// would make the gateways depend on a name service.
result<ip_endpoint> parseAddress(std::string_view text);

/// "ip:port", with brackets around an IPv6 address. Equal addresses give equal texts.
std::string toString(const ip_endpoint &address);

} // namespace almondnotch
