#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <curl/curl.h>

#include "core/error.h"
#include "core/time.h"
#include "servers/curl_loop/connection_table.h"
#include "servers/curl_loop/easy_handle_pool.h"
#include "servers/curl_loop/header_list.h"
#include "servers/curl_loop/response_reader.h"

namespace almondnotch {

/// Times that bound an exchange.
struct exchange_timeouts
{
    /// Until the end of the response.
    duration timeLeft {0};
    duration connectTimeout {0};
    /// Longest idle time of a connection that is reused.
    duration connectionIdleTimeMax {0};
};

/// One HTTP/1.1 request and its response, in one libcurl handle.
///
/// libcurl sends a request again by itself if a reused connection closed before the first byte of
/// the response. The exchange counts the transmissions and stops a second one of a request that
/// must not run twice.
class http_exchange
{
public:
    /// \param address "ip:port".
    /// \param bodyBytesMax bound of the response body.
    /// \param repeatable a second transmission is allowed.
    http_exchange(std::string address, std::size_t bodyBytesMax, bool headRequest,
                  bool retransmissionAllowed);
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;
    /// The handle must have been removed from its multi handle.
    ~http_exchange();

    /// Request headers, to be filled before `prepare`.
    header_list &headers() { return m_headers; }

    /// Sets up a GET request.
    /// \return an error if the address or target cannot be used as they are.
    result<void> prepare(easy_handle_pool &pool, connection_table &connections,
                         const std::string &target, const exchange_timeouts &timeouts);

    /// Changes the prepared request's method and body. The body must outlive the exchange.
    /// \return an error if the method is not a token.
    result<void> setMethod(const std::string &method, std::string_view body);

    CURL *handle() const { return m_handle; }
    response_reader &reader() { return m_reader; }
    const std::string &address() const { return m_address; }

    /// Transmissions that began. 0 proves that no byte of the request was sent.
    unsigned transmissions() const { return m_transmissions; }
    bool retransmissionRefused() const { return m_retransmissionRefused; }
    /// The transfer was given up, since its reused connection was closed or had bytes to read.
    bool staleConnection() const { return m_staleConnection; }

    /// Keeps the prepared request off connections that were used before, and closes its connection
    /// afterwards.
    void useDedicatedConnection();

    /// Sets the handle up for another try on a new connection, after `staleConnection`.
    void prepareNewConnection(duration timeLeft);

    /// Bytes of requests and responses on the connection.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    static int beforeRequest(void *self, char *peerIp, char *localIp, int peerPort, int localPort);
    static std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBodyData(char *data, std::size_t size, std::size_t count, void *self);

    std::string m_address;
    bool m_retransmissionAllowed;
    response_reader m_reader;
    header_list m_headers;
    easy_handle_pool *m_pool = nullptr;
    CURL *m_handle = nullptr;
    connection_table::opened_socket m_opened;
    unsigned m_transmissions = 0;
    bool m_retransmissionRefused = false;
    bool m_staleConnection = false;
};

} // namespace almondnotch
