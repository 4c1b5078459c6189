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

/// Time limits of an exchange.
struct exchange_timeouts
{
    /// Time limit of the whole exchange, until the response is complete.
    duration timeLimit {0};
    duration connectTimeout {0};
    /// A connection that has been idle for longer is not reused.
    duration connectionIdleTimeMax {0};
    /// A connection that was opened longer ago is not reused. Rounded down to whole seconds.
    duration connectionAgeMax {seconds(86'400)};
};

/// One HTTP/1.1 request and its response, in one libcurl handle.
///
/// If a reused connection closes before the first byte of the response, libcurl automatically sends
/// the request again. The exchange counts the transmissions and aborts the transfer before a second
/// one, unless retransmission is allowed.
class http_exchange
{
public:
    /// \param address "ip:port".
    /// \param bodyBytesMax maximum size of the response body.
    /// \param isHeadRequest true if the method is HEAD, so that the response has no body.
    /// \param retransmissionAllowed true if the request may be transmitted more than once.
    http_exchange(std::string address, std::size_t bodyBytesMax, bool isHeadRequest,
                  bool retransmissionAllowed);
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;
    /// The handle must have been removed from its multi handle before.
    ~http_exchange();

    /// Request headers, to be filled before `prepare`.
    header_list &headers() { return m_headers; }

    /// Sets up a GET request.
    /// \return an error if the address or the target is malformed or libcurl cannot allocate a
    /// handle.
    result<void> prepare(easy_handle_pool &pool, connection_table &connections,
                         const std::string &target, const exchange_timeouts &timeouts);

    /// Changes the method and body of the prepared request. The body must outlive the exchange.
    /// \return an error if the method is empty or contains a space or control character.
    result<void> setMethodAndBody(const std::string &method, std::string_view body);

    CURL *handle() const { return m_handle; }
    response_reader &reader() { return m_reader; }
    const std::string &address() const { return m_address; }

    /// Number of transmissions that began. 0 proves that no byte of the request was sent.
    unsigned transmissions() const { return m_transmissions; }
    /// True if the transfer was aborted because libcurl was about to send the request again.
    bool wasRetransmissionRefused() const { return m_retransmissionRefused; }
    /// True if the transfer was aborted because its reused connection was stale, as defined by
    /// `connection_table`.
    bool hadStaleConnection() const { return m_staleConnection; }
    /// True if a connection was opened for the transfer. To be called after it has ended.
    bool usedNewConnection() const;

    /// Makes the prepared request use a new connection, which is closed afterwards.
    void useDedicatedConnection();

    /// Prepares the handle for a retry on a new connection. To be called only if
    /// `hadStaleConnection` is true.
    /// \param timeLeft time limit of the retry.
    void prepareNewConnection(duration timeLeft);

    /// Bytes sent and received by the exchange, headers included.
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
    connection_table::unrecorded_socket m_unrecordedSocket;
    unsigned m_transmissions = 0;
    bool m_retransmissionRefused = false;
    bool m_staleConnection = false;
};

} // namespace almondnotch
