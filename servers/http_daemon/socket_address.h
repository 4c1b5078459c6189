#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <netinet/in.h>
#include <sys/socket.h>

#include "core/error.h"

namespace almondnotch {

/// An IP address with a port, as in "127.0.0.1:8080" or "[::1]:8080".
class socket_address
{
public:
    /// Accepts numeric addresses only, since a DNS lookup could block the event loop.
    static result<socket_address> parse(std::string_view text);

    /// True for 127.0.0.0/8 and ::1.
    bool isLoopback() const;

    /// True for 0.0.0.0 and ::, which stand for all local addresses and are not valid destinations.
    bool isWildcard() const;
    std::uint16_t port() const;

    /// Opens a non-blocking listening socket. The calling code owns the descriptor.
    /// \return an error if the socket cannot be created, bound or listened on.
    result<int> listen(int backlog) const;

private:
    sockaddr_in asV4() const;
    sockaddr_in6 asV6() const;

    std::string m_text;
    sockaddr_storage m_address {};
    socklen_t m_length = 0;
};

} // namespace almondnotch
