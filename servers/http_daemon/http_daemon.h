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
    /// "ip:port"; with port 0 the operating system chooses one.
    std::string address;
    /// Maximum number of open connections. Further ones wait in the listen queue.
    unsigned connectionsMax = 1000;
    /// A connection without traffic in either direction is closed after this time, except while its
    /// response is pending. Whole seconds.
    seconds idleTimeout {60};
    /// Memory of one connection for request and response headers together, bytes.
    std::size_t connectionMemory = std::size_t {32} * 1024;
    /// Length of the listen queue.
    int backlog = 1024;
};

/// Handles the requests of an `http_daemon`. All functions are called on the loop's thread.
class http_request_handler
{
public:
    http_request_handler() = default;
    http_request_handler(const http_request_handler &) = delete;
    http_request_handler &operator=(const http_request_handler &) = delete;
    virtual ~http_request_handler() = default;

    /// Called when a request line has been received.
    /// \param target path with query, as received.
    /// \return state of the request, which is passed to `handleRequest` and `onRequestEnded`.
    virtual void *onRequestStarted(MHD_Connection *connection, const char *target) = 0;

    /// Called after the headers, for each received part of the body, at the end of the request, and
    /// after a suspended connection was resumed, like libmicrohttpd's access handler
    /// (MHD_AccessHandlerCallback).
    virtual MHD_Result handleRequest(MHD_Connection *connection, void *request, const char *method,
                                     const char *version, const char *data, std::size_t *size)
        = 0;

    /// Called when the response has been sent or the connection was closed before. Must free the
    /// state that `onRequestStarted` returned.
    virtual void onRequestEnded(void *request) = 0;

    /// Called when a connection has been accepted.
    /// \return state of the connection, available as MHD_CONNECTION_INFO_SOCKET_CONTEXT.
    virtual void *onConnectionOpened(MHD_Connection *connection) = 0;
    /// Called when a connection has been closed, unless `onConnectionOpened` returned null. Must
    /// free the state that it returned.
    virtual void onConnectionClosed(void *connectionState) = 0;

    /// Called for each error that libmicrohttpd reports, for example when it rejects a request
    /// itself or when a socket error occurs before the request reaches `handleRequest`.
    virtual void reportLibraryError(std::string_view message) = 0;
};

/// A libmicrohttpd daemon without a thread of its own. The event loop watches its epoll descriptor
/// and its timeouts.
class http_daemon
{
public:
    /// Starts listening.
    /// \param loop must outlive the daemon.
    /// \param handler must outlive the daemon.
    /// \return an error if the address is not numeric or cannot be listened on, or if libmicrohttpd
    /// cannot start.
    static result<std::unique_ptr<http_daemon>> create(const event_loop &loop,
                                                       const http_daemon_options &options,
                                                       http_request_handler &handler);
    http_daemon(const http_daemon &) = delete;
    http_daemon &operator=(const http_daemon &) = delete;

    /// Closes all connections. Suspended connections must have been resumed before.
    ~http_daemon();

    std::uint16_t port() const;

    /// Stops accepting connections. Open connections stay usable.
    void stopAccepting();

    /// Resumes a suspended connection in the next iteration of the loop.
    void resume(MHD_Connection *connection);

private:
    explicit http_daemon(const event_loop &loop);

    void run();

    MHD_Daemon *m_daemon = nullptr;
    io_watcher m_epollWatcher;
    timer_watcher m_timeout;
    /// True if a connection was resumed since the last call of `run` began.
    bool m_hasResumed = false;
};

} // namespace almondnotch
