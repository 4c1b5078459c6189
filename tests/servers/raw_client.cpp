#include "tests/servers/raw_client.h"

#include <cerrno>
#include <cstdlib>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondnotch {

raw_client::raw_client(std::uint16_t port) : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot connect to the loopback port");
}

raw_client::~raw_client()
{
    close();
}

void raw_client::send(std::string_view bytes)
{
    if (::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
        != static_cast<ssize_t>(bytes.size()))
        throw std::runtime_error("cannot send to the loopback port");
}

void raw_client::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

const std::string &raw_client::received()
{
    char buffer[65536];
    while (m_descriptor >= 0 && !m_closed) {
        const ssize_t count = ::recv(m_descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0) {
            m_received.append(buffer, static_cast<std::size_t>(count));
            continue;
        }
        m_closed = count == 0 || (errno != EAGAIN && errno != EINTR);
        break;
    }
    return m_received;
}

bool raw_client::isClosed()
{
    received();
    return m_closed;
}

bool raw_client::hasResponse(bool isHeadRequest)
{
    const std::string &text = received();
    const std::size_t headEnd = text.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return false;
    constexpr std::string_view lengthField = "Content-Length: ";
    const std::size_t length = text.find(lengthField);
    if (isHeadRequest || length == std::string::npos || length > headEnd)
        return true;
    return text.size()
           >= headEnd + 4 + std::strtoul(&text[length + lengthField.size()], nullptr, 10);
}

int raw_client::status()
{
    const std::string &text = received();
    return text.size() < 12 ? 0 : std::atoi(&text[9]);
}

} // namespace almondnotch
