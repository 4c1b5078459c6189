#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include <curl/curl.h>

namespace almondnotch {

/// The open sockets of a multi handle by their addresses.
///
/// libcurl may reuse a connection on which unexpected bytes wait. Such bytes, as of a response that
/// comes late or twice, would be read as the response to the next request. The table finds the
/// socket of a reused connection, so that it can be checked before the request is sent.
class connection_table
{
public:
    /// Last socket that a transfer opened; must live as long as the transfer is in its multi
    /// handle.
    struct opened_socket
    {
        connection_table *table = nullptr;
        curl_socket_t descriptor = CURL_SOCKET_BAD;
    };

    /// \param usesKeepAlive connections whose peer is cut off fail within some seconds. For
    /// transfers that wait long; the others end by their time limit.
    explicit connection_table(bool usesKeepAlive = false) : m_usesKeepAlive(usesKeepAlive) { }
    connection_table(const connection_table &) = delete;
    connection_table &operator=(const connection_table &) = delete;

    /// Makes a transfer open and close its sockets through this table, which must outlive the multi
    /// handle.
    void install(CURL *transfer, opened_socket &opened);

    /// To be called from `CURLOPT_PREREQFUNCTION`.
    /// \return true if the transfer reuses a connection that was closed by the peer or that has
    /// bytes to read before a request was sent.
    bool isStale(opened_socket &opened, const char *peerIp, int peerPort, int localPort);

    /// Sockets that are open, connecting ones included.
    std::size_t openSockets() const { return m_openSockets; }
    std::uint64_t openedTotal() const { return m_openedTotal; }

private:
    static curl_socket_t openSocket(void *opened, curlsocktype purpose, curl_sockaddr *address);
    static int closeSocket(void *table, curl_socket_t descriptor);

    bool m_usesKeepAlive;
    std::unordered_map<std::string, curl_socket_t> m_descriptorByAddresses;
    std::unordered_map<curl_socket_t, std::string> m_addressesByDescriptor;
    std::size_t m_openSockets = 0;
    std::uint64_t m_openedTotal = 0;
};

} // namespace almondnotch
