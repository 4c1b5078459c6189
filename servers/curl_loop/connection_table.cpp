#include "servers/curl_loop/connection_table.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondnotch {

namespace {

/// A connection to an unreachable peer fails about two seconds after the last packet from it: after
/// one second without traffic, a keep-alive probe is sent, which must be answered within another
/// second. What the connection was to deliver must be read on a new one within three seconds.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 1;
/// Sent bytes that stay unacknowledged for this time end the connection (`TCP_USER_TIMEOUT`), in
/// milliseconds.
constexpr int userTimeoutMs = 2000;

/// Makes a connection to an unreachable peer fail within seconds. With the defaults of the kernel,
/// the loss would stay undetected for minutes, or forever while no data is sent.
void enableKeepAlive(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds,
               sizeof keepAliveIdleSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds,
               sizeof keepAliveIntervalSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
}

} // namespace

void connection_table::installSocketCallbacks(CURL *transfer, unrecorded_socket &unrecorded)
{
    unrecorded.table = this;
    unrecorded.descriptor = CURL_SOCKET_BAD;
    curl_easy_setopt(transfer, CURLOPT_OPENSOCKETFUNCTION, &connection_table::openSocket);
    curl_easy_setopt(transfer, CURLOPT_OPENSOCKETDATA, &unrecorded);
    curl_easy_setopt(transfer, CURLOPT_CLOSESOCKETFUNCTION, &connection_table::closeSocket);
    curl_easy_setopt(transfer, CURLOPT_CLOSESOCKETDATA, this);
}

bool connection_table::isReusedConnectionStale(unrecorded_socket &unrecorded, const char *peerIp,
                                               int peerPort, int localPort)
{
    // One local port may be used for several peers, so the key contains both ends of the
    // connection.
    const std::string addresses
        = std::string(peerIp) + ":" + std::to_string(peerPort) + "/" + std::to_string(localPort);
    if (unrecorded.descriptor != CURL_SOCKET_BAD) {
        m_descriptorByAddresses[addresses] = unrecorded.descriptor;
        m_addressesByDescriptor[unrecorded.descriptor] = addresses;
        unrecorded.descriptor = CURL_SOCKET_BAD;
        return false;
    }
    const auto found = m_descriptorByAddresses.find(addresses);
    if (found == m_descriptorByAddresses.end())
        return true;
    pollfd state = {found->second, POLLIN, 0};
    return poll(&state, 1, 0) != 0;
}

curl_socket_t connection_table::openSocket(void *unrecorded, curlsocktype /*purpose*/,
                                           curl_sockaddr *address)
{
    unrecorded_socket *self = static_cast<unrecorded_socket *>(unrecorded);
    const curl_socket_t descriptor
        = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (descriptor == CURL_SOCKET_BAD)
        return CURL_SOCKET_BAD;
    if (self->table->m_usesKeepAlive)
        enableKeepAlive(descriptor);
    self->descriptor = descriptor;
    ++self->table->m_openSocketCount;
    ++self->table->m_socketsOpenedTotal;
    return descriptor;
}

int connection_table::closeSocket(void *table, curl_socket_t descriptor)
{
    connection_table *self = static_cast<connection_table *>(table);
    const auto found = self->m_addressesByDescriptor.find(descriptor);
    if (found != self->m_addressesByDescriptor.end()) {
        self->m_descriptorByAddresses.erase(found->second);
        self->m_addressesByDescriptor.erase(found);
    }
    --self->m_openSocketCount;
    return close(descriptor);
}

} // namespace almondnotch
