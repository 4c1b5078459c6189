#include "config/address.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

#include "config/fault_list.h"

namespace almondnotch {

namespace {

tl::unexpected<error> reject(std::string_view text, std::string_view expected)
{
    return fail(error_code::invalid_argument, "parse address", "",
                "expected " + std::string(expected) + ", found " + quotedValue(text));
}

result<std::uint16_t> parsePort(std::string_view text, std::string_view digits)
{
    unsigned port = 0;
    const std::from_chars_result parsed
        = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port < 1
        || port > 65535 || digits.front() == '0')
        return reject(text, "a port from 1 to 65535 after the IP address");
    return static_cast<std::uint16_t>(port);
}

/// False for the unspecified address, on which nothing listens, for multicast addresses, which
/// accept no connections, and for the reserved IPv4 ranges 0.0.0.0/8 and 240.0.0.0/4.
bool isConnectable(int family, const std::array<unsigned char, 16> &bytes)
{
    if (family == AF_INET)
        return bytes[0] != 0 && bytes[0] < 224;
    return bytes != std::array<unsigned char, 16> {} && bytes[0] != 0xff;
}

} // namespace

result<ip_endpoint> parseAddress(std::string_view text)
{
    constexpr std::string_view form = "an IP address and a port, as in \"192.0.2.1:8080\" or "
                                      "\"[2001:db8::1]:8080\"";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon + 1 == text.size()
        || text.size() > 64)
        return reject(text, form);
    std::string host(text.substr(0, colon));
    const bool bracketed = host.front() == '[' && host.back() == ']';
    const int family = bracketed ? AF_INET6 : AF_INET;
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    std::array<unsigned char, 16> bytes {};
    if (host.find('\0') != std::string::npos || inet_pton(family, host.c_str(), bytes.data()) != 1)
        return reject(text, form);
    if (!isConnectable(family, bytes))
        return reject(text, "a unicast IP address other than 0.0.0.0 and ::");
    const result<std::uint16_t> port = parsePort(text, text.substr(colon + 1));
    if (!port)
        return tl::unexpected(port.error());
    std::array<char, INET6_ADDRSTRLEN> canonical {};
    inet_ntop(family, bytes.data(), canonical.data(), canonical.size());
    return ip_endpoint {canonical.data(), *port};
}

std::string toString(const ip_endpoint &address)
{
    const std::string port = ":" + std::to_string(address.port);
    if (address.ip.find(':') != std::string::npos)
        return "[" + address.ip + "]" + port;
    return address.ip + port;
}

} // namespace almondnotch
