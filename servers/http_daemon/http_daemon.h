#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <microhttpd.h>

#include "core/error.h"
#include "core/time.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/io_watcher.h"
#include "servers/event_loop/timer_watcher.h"

namespace almondnotch {

struct http_daemon_options
{
    /// "ip:port"; port 0 lets the system choose.
    std::string address;
    /// Further connections wait in the listen queue.
    unsigned connectionsMax = 1000;
    /// Connections without a byte in either direction are closed after this time, except while the
    /// response is pending. Whole seconds.
    seconds idleTimeout {60};
    /// Memory of one connection for the headers in both directions, bytes.
    std::size_t connectionMemory = std::size_t {32} * 1024;
    int backlog = 1024;
};

/// What a server does with requests. Called on the loop's thread.
class http_request_handler
{
public:
    http_request_handler() = default;
    http_request_handler(const http_request_handler &) = delete;
    http_request_handler &operator=(const http_request_handler &) = delete;
    virtual ~http_request_handler() = default;

    /// A request line arrived.
    /// \param target path with query, as received.
    /// \return state of the request, passed to the functions below.
    virtual void *beginRequest(MHD_Connection *connection, const char *target) = 0;

    /// Called once with the headers, once for each piece of the body, and once at the end; as
    /// libmicrohttpd's access handler.
    virtual MHD_Result handleRequest(MHD_Connection *connection, void *request, const char *method,
                                     const char *version, const char *data, std::size_t *size)
        = 0;

    /// The request's response was sent, or its connection lost. Frees the state.
    virtual void endRequest(void *request) = 0;

    /// \return state of the connection, available as MHD_CONNECTION_INFO_SOCKET_CONTEXT.
    virtual void *openConnection(MHD_Connection *connection) = 0;
    virtual void closeConnection(void *connectionState) = 0;

    /// libmicrohttpd refused a request or met a socket error before it reached `handleRequest`.
    virtual void reportLibraryError(std::string_view message) = 0;
};

/// A libmicrohttpd daemon without a thread of its own: its epoll descriptor and its timeouts are
/// watched by the loop.
class http_daemon
{
public:
    /// \param loop, handler outlive the daemon.
    static result<std::unique_ptr<http_daemon>> create(const event_loop &loop,
                                                       const http_daemon_options &options,
                                                       http_request_handler &handler);
    http_daemon(const http_daemon &) = delete;
    http_daemon &operator=(const http_daemon &) = delete;

    /// Closes all connections. The owner must have resumed the suspended ones.
    ~http_daemon();

    /// Port that the daemon listens on.
    std::uint16_t port() const;

    /// Stops accepting connections; those that are open go on.
    void stopAccepting();

    /// Lets a suspended connection go on in the loop's next round.
    void resume(MHD_Connection *connection);

private:
    explicit http_daemon(const event_loop &loop);

    void run();

    MHD_Daemon *m_daemon = nullptr;
    io_watcher m_epollWatcher;
    timer_watcher m_timeout;
};

} // namespace almondnotch
