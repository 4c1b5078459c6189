#include "servers/http_daemon/http_daemon.h"

#include <cstdarg>
#include <cstdio>

#include <unistd.h>

#include "servers/http_daemon/socket_address.h"

namespace almondnotch {

namespace {

http_request_handler &handlerOf(void *closure)
{
    return *static_cast<http_request_handler *>(closure);
}

void *onRequestLine(void *closure, const char *target, MHD_Connection *connection)
{
    return handlerOf(closure).onRequestStarted(connection, target);
}

// The URL argument is not used: libmicrohttpd has removed the query from it and decoded its
// percent-encoding. Handlers use the target that `onRequestLine` received.
MHD_Result onRequest(void *closure, MHD_Connection *connection, const char * /*url*/,
                     const char *method, const char *version, const char *data, std::size_t *size,
                     void **request)
{
    return handlerOf(closure).handleRequest(connection, *request, method, version, data, size);
}

void onCompleted(void *closure, MHD_Connection * /*connection*/, void **request,
                 MHD_RequestTerminationCode /*reason*/)
{
    if (*request != nullptr)
        handlerOf(closure).onRequestEnded(*request);
    *request = nullptr;
}

void onConnection(void *closure, MHD_Connection *connection, void **state,
                  MHD_ConnectionNotificationCode change)
{
    if (change == MHD_CONNECTION_NOTIFY_STARTED) {
        *state = handlerOf(closure).onConnectionOpened(connection);
    } else if (*state != nullptr) {
        handlerOf(closure).onConnectionClosed(*state);
        *state = nullptr;
    }
}

void onLibraryError(void *closure, const char *format, va_list arguments)
{
    char text[512];
    if (std::vsnprintf(text, sizeof text, format, arguments) < 0)
        return;
    std::string_view message = text;
    while (!message.empty() && message.back() == '\n')
        message.remove_suffix(1);
    handlerOf(closure).reportLibraryError(message);
}

} // namespace

http_daemon::http_daemon(const event_loop &loop)
    : m_epollWatcher(loop, [this](int /*events*/) { run(); }), m_timeout(loop, [this] { run(); })
{ }

result<std::unique_ptr<http_daemon>> http_daemon::create(const event_loop &loop,
                                                         const http_daemon_options &options,
                                                         http_request_handler &handler)
{
    const result<socket_address> address = socket_address::parse(options.address);
    if (!address)
        return tl::unexpected(address.error());
    const result<int> listening = address->listen(options.backlog);
    if (!listening)
        return tl::unexpected(listening.error());

    std::unique_ptr<http_daemon> created(new http_daemon(loop));
    created->m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, nullptr, nullptr,
        &onRequest, &handler,
        // The logger must come first, so that errors in later options reach it.
        MHD_OPTION_EXTERNAL_LOGGER, &onLibraryError, &handler, MHD_OPTION_LISTEN_SOCKET, *listening,
        MHD_OPTION_CONNECTION_LIMIT, options.connectionsMax, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(options.idleTimeout.count()), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options.connectionMemory, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
        &onRequestLine, &handler, MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, &handler,
        MHD_OPTION_NOTIFY_CONNECTION, &onConnection, &handler, MHD_OPTION_END);
    if (created->m_daemon == nullptr) {
        ::close(*listening);
        return fail(error_code::unavailable, "start HTTP daemon", options.address,
                    "libmicrohttpd could not start its daemon");
    }
    const MHD_DaemonInfo *epoll = MHD_get_daemon_info(created->m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
    created->m_epollWatcher.start(epoll->epoll_fd, EV_READ);
    return created;
}

http_daemon::~http_daemon()
{
    m_epollWatcher.stop();
    m_timeout.stop();
    if (m_daemon == nullptr)
        return;
    // libmicrohttpd must process connections resumed since the last run before it is stopped.
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
}

std::uint16_t http_daemon::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void http_daemon::stopAccepting()
{
    const MHD_socket listening = MHD_quiesce_daemon(m_daemon);
    if (listening != MHD_INVALID_SOCKET)
        ::close(listening);
}

void http_daemon::resume(MHD_Connection *connection)
{
    MHD_resume_connection(connection);
    m_hasResumed = true;
    m_timeout.start(duration(0));
}

void http_daemon::run()
{
    m_hasResumed = false;
    MHD_run(m_daemon);
    // libmicrohttpd does not signal all of its pending work through the epoll descriptor; a timeout
    // of 0 means that work is ready now. If it runs without a thread of its own, version 0.9.75
    // signals a resumed connection in neither way, even if the connection was resumed during this
    // run. `m_hasResumed` covers that case.
    MHD_UNSIGNED_LONG_LONG wait = 0;
    if (m_hasResumed)
        m_timeout.start(duration(0));
    else if (MHD_get_timeout(m_daemon, &wait) == MHD_YES)
        m_timeout.start(milliseconds(wait));
    else
        m_timeout.stop();
}

} // namespace almondnotch
