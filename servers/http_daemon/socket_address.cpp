#include "servers/http_daemon/socket_address.h"

#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

namespace almondnotch {

namespace {

tl::unexpected<error> invalidAddress(std::string_view text)
{
    return fail(error_code::invalid_argument, "parse address", text,
                "expected a numeric address and port, as in 127.0.0.1:8080");
}

} // namespace

result<socket_address> socket_address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidAddress(text);
    std::string host(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const std::from_chars_result parsed
        = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size())
        return invalidAddress(text);

    socket_address address;
    address.m_text = text;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        sockaddr_in6 v6 {};
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(port);
        if (inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6.sin6_addr) != 1)
            return invalidAddress(text);
        std::memcpy(&address.m_address, &v6, sizeof v6);
        address.m_length = sizeof v6;
        return address;
    }
    sockaddr_in v4 {};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &v4.sin_addr) != 1)
        return invalidAddress(text);
    std::memcpy(&address.m_address, &v4, sizeof v4);
    address.m_length = sizeof v4;
    return address;
}

bool socket_address::isLoopback() const
{
    if (m_address.ss_family == AF_INET)
        return (ntohl(asV4().sin_addr.s_addr) >> 24) == 127;
    const sockaddr_in6 v6 = asV6();
    return IN6_IS_ADDR_LOOPBACK(&v6.sin6_addr) != 0;
}

bool socket_address::isWildcard() const
{
    if (m_address.ss_family == AF_INET)
        return asV4().sin_addr.s_addr == htonl(INADDR_ANY);
    const sockaddr_in6 v6 = asV6();
    return IN6_IS_ADDR_UNSPECIFIED(&v6.sin6_addr) != 0;
}

std::uint16_t socket_address::port() const
{
    return ntohs(m_address.ss_family == AF_INET ? asV4().sin_port : asV6().sin6_port);
}

sockaddr_in socket_address::asV4() const
{
    sockaddr_in v4 {};
    std::memcpy(&v4, &m_address, sizeof v4);
    return v4;
}

sockaddr_in6 socket_address::asV6() const
{
    sockaddr_in6 v6 {};
    std::memcpy(&v6, &m_address, sizeof v6);
    return v6;
}

result<int> socket_address::listen(int backlog) const
{
    const int descriptor
        = ::socket(m_address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return fail(error_code::unavailable, "open listening socket", m_text,
                    std::generic_category().message(errno));
    // Without this option, connections that an earlier process left in TIME_WAIT would block the
    // port for a minute.
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_storage address = m_address;
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), m_length) == 0
        && ::listen(descriptor, backlog) == 0)
        return descriptor;
    const int reason = errno;
    ::close(descriptor);
    return fail(error_code::unavailable, "listen", m_text, std::generic_category().message(reason));
}

} // namespace almondnotch
