#include "tests/servers/silent_relay.h"

#include <array>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondnotch {

namespace {

constexpr int pollIntervalMs = 5;
constexpr int backlog = 16;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in out = {};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    out.sin_port = htons(port);
    return out;
}

} // namespace

silent_relay::silent_relay(const std::string &targetAddress) : m_targetAddress(targetAddress)
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local = loopbackAddress(0);
    socklen_t size = sizeof local;
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&local), size) != 0
        || listen(m_listener, backlog) != 0
        || getsockname(m_listener, reinterpret_cast<sockaddr *>(&local), &size) != 0)
        throw std::runtime_error("the relay could not listen");
    m_address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    m_thread = std::thread([this]() { run(); });
}

silent_relay::~silent_relay()
{
    m_stopRequested.store(true);
    m_thread.join();
    close(m_listener);
    for (const relayed_connection &connection : m_connections) {
        close(connection.accepted);
        close(connection.connected);
    }
}

void silent_relay::run()
{
    while (!m_stopRequested.load()) {
        std::vector<pollfd> watched {{m_listener, POLLIN, 0}};
        for (const relayed_connection &connection : m_connections) {
            // A negative descriptor is ignored.
            watched.push_back({connection.isClosed ? -1 : connection.accepted, POLLIN, 0});
            watched.push_back({connection.isClosed ? -1 : connection.connected, POLLIN, 0});
        }
        poll(watched.data(), watched.size(), pollIntervalMs);
        if (m_silenceRequested.exchange(false)) {
            for (relayed_connection &connection : m_connections)
                connection.isSilent = true;
        }
        for (std::size_t index = 0; index < m_connections.size(); ++index) {
            relayed_connection &connection = m_connections[index];
            const bool isOpen
                = (watched[2 * index + 1].revents == 0
                   || copyBytes(connection.accepted, connection.connected, connection.isSilent))
                  && (watched[2 * index + 2].revents == 0
                      || copyBytes(connection.connected, connection.accepted, connection.isSilent));
            if (isOpen || connection.isClosed)
                continue;
            connection.isClosed = true;
            if (connection.isSilent)
                continue;
            shutdown(connection.accepted, SHUT_RDWR);
            shutdown(connection.connected, SHUT_RDWR);
        }
        if (watched.front().revents != 0)
            acceptConnection();
    }
}

void silent_relay::acceptConnection()
{
    const int accepted = accept(m_listener, nullptr, nullptr);
    if (accepted < 0)
        return;
    const std::string port = m_targetAddress.substr(m_targetAddress.rfind(':') + 1);
    const sockaddr_in target = loopbackAddress(static_cast<std::uint16_t>(std::stoul(port)));
    const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(connected, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        close(accepted);
        close(connected);
        return;
    }
    m_connections.push_back({accepted, connected});
    m_acceptedCount.fetch_add(1);
}

/// Passes on the bytes that can be read, or drops them if the connection is silent.
/// \return false if the connection was closed.
bool silent_relay::copyBytes(int from, int to, bool isSilent)
{
    std::array<char, 65'536> buffer {};
    const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
    if (received <= 0)
        return false;
    return isSilent
           || send(to, buffer.data(), static_cast<std::size_t>(received), MSG_NOSIGNAL) >= 0;
}

} // namespace almondnotch
