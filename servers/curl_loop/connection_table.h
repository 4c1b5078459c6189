#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include <curl/curl.h>

namespace almondnotch {

/// Tracks the open sockets of a curl multi handle by their addresses and detects stale connections.
///
/// libcurl may reuse an idle connection on which unexpected bytes are waiting, for example a late
/// or duplicate response. They would be read as the response to the next request. The table finds
/// the socket of a reused connection, so that it can be checked before the request is sent.
class connection_table
{
public:
    /// The socket that a transfer has opened and `isReusedConnectionStale` has not recorded yet
    /// (`CURL_SOCKET_BAD` if there is none), and the table that tracks it. Must stay valid as long
    /// as the transfer is in its multi handle.
    struct unrecorded_socket
    {
        connection_table *table = nullptr;
        curl_socket_t descriptor = CURL_SOCKET_BAD;
    };

    /// \param usesKeepAlive enables TCP keep-alive, so that connections to an unreachable peer fail
    /// within seconds. Meant for transfers that wait long, such as watches; other transfers are
    /// ended by their time limit.
    explicit connection_table(bool usesKeepAlive = false) : m_usesKeepAlive(usesKeepAlive) { }
    connection_table(const connection_table &) = delete;
    connection_table &operator=(const connection_table &) = delete;

    /// Registers the socket callbacks of a transfer, so that it opens and closes its sockets
    /// through this table. The table must outlive the multi handle.
    void installSocketCallbacks(CURL *transfer, unrecorded_socket &unrecorded);

    /// Checks the connection of a transfer if it is a reused one. Records the socket of a new
    /// connection. To be called from `CURLOPT_PREREQFUNCTION`.
    /// \return true if the connection is a reused one that the peer has closed, that is not in the
    /// table, or on which bytes are waiting before the request has been sent; false for a new
    /// connection.
    bool isReusedConnectionStale(unrecorded_socket &unrecorded, const char *peerIp, int peerPort,
                                 int localPort);

    /// Number of open sockets, including those that are still connecting.
    std::size_t openSocketCount() const { return m_openSocketCount; }
    std::uint64_t socketsOpenedTotal() const { return m_socketsOpenedTotal; }

private:
    static curl_socket_t openSocket(void *unrecorded, curlsocktype purpose, curl_sockaddr *address);
    static int closeSocket(void *table, curl_socket_t descriptor);

    bool m_usesKeepAlive;
    std::unordered_map<std::string, curl_socket_t> m_descriptorByAddresses;
    std::unordered_map<curl_socket_t, std::string> m_addressesByDescriptor;
    std::size_t m_openSocketCount = 0;
    std::uint64_t m_socketsOpenedTotal = 0;
};

} // namespace almondnotch
