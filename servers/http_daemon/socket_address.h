#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <sys/socket.h>

#include "core/error.h"

namespace almondnotch {

/// An IP address with a port, as in "127.0.0.1:8080" or "[::1]:8080".
class socket_address
{
public:
    /// Accepts numeric addresses only, since name service could block the loop.
    static result<socket_address> parse(std::string_view text);

    /// True for 127.0.0.0/8 and ::1.
    bool isLoopback() const;

    /// Opens a non-blocking listening socket. The caller owns the descriptor.
    result<int> listen(int backlog) const;

private:
    std::string m_text;
    sockaddr_storage m_address {};
    socklen_t m_length = 0;
};

} // namespace almondnotch
