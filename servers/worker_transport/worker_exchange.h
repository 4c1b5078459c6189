#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <curl/curl.h>

#include "core/error.h"
#include "core/time.h"
#include "decision/actions.h"
#include "servers/curl_loop/connection_table.h"
#include "servers/curl_loop/easy_pool.h"
#include "servers/curl_loop/header_list.h"
#include "servers/worker_transport/response_reader.h"
#include "servers/worker_transport/worker_transport_settings.h"

namespace almondnotch {

/// One request to a worker and its response, in one libcurl handle.
///
/// libcurl sends a request again by itself if a reused connection closed before the first byte of
/// the response. The exchange counts the transmissions and stops a second one of a request that
/// must not run twice.
class worker_exchange
{
public:
    /// \param bodyBytesMax bound of the response body.
    /// \param repeatable a second transmission is allowed.
    worker_exchange(std::string workerAddress, std::size_t bodyBytesMax, bool headRequest,
                    bool repeatable);
    worker_exchange(const worker_exchange &) = delete;
    worker_exchange &operator=(const worker_exchange &) = delete;
    /// The handle must have been removed from its multi handle.
    ~worker_exchange();

    /// Sets up the request of an attempt.
    /// \return an error if the address, method, target or a header cannot be sent as they are.
    result<void> prepareAttempt(easy_pool &pool, connection_table &connections,
                                const worker_transport_settings &bounds, const start_attempt &order,
                                duration timeLeft);

    /// Sets up the request of a probe.
    result<void> prepareProbe(easy_pool &pool, connection_table &connections,
                              const worker_transport_settings &bounds, duration timeLeft);

    CURL *handle() const { return m_handle; }
    response_reader &reader() { return m_reader; }
    const std::string &workerAddress() const { return m_workerAddress; }

    /// Transmissions that began. 0 proves that no byte of the request was sent.
    unsigned transmissions() const { return m_transmissions; }
    bool repeatRefused() const { return m_repeatRefused; }
    /// The transfer was given up, since its reused connection was closed or had bytes to read.
    bool staleConnection() const { return m_staleConnection; }

    /// Sets the handle up for another try on a new connection, after `staleConnection`.
    void prepareFreshConnection(duration timeLeft);

    /// Bytes of requests and responses on the connection.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    result<void> prepare(easy_pool &pool, connection_table &connections,
                         const worker_transport_settings &bounds, const std::string &target,
                         duration timeLeft);

    static int beforeRequest(void *self, char *peerIp, char *localIp, int peerPort, int localPort);
    static std::size_t headerArrived(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t bodyArrived(char *data, std::size_t size, std::size_t count, void *self);

    std::string m_workerAddress;
    bool m_repeatable;
    response_reader m_reader;
    header_list m_headers;
    easy_pool *m_pool = nullptr;
    CURL *m_handle = nullptr;
    /// Keeps the body that libcurl reads from.
    shared_request m_request;
    connection_table::opened_socket m_opened;
    unsigned m_transmissions = 0;
    bool m_repeatRefused = false;
    bool m_staleConnection = false;
};

} // namespace almondnotch
