#include "servers/http_entry/connection_listener.h"

#include <cerrno>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "servers/http_daemon/socket_address.h"

namespace almondnotch {

namespace {

constexpr int listenQueueLength = 1024;
/// Number of connections that are accepted before other sockets get their turn.
constexpr int acceptsPerWake = 64;
constexpr duration retryTime = milliseconds(100);

std::uint16_t portOf(int descriptor)
{
    sockaddr_storage address {};
    socklen_t length = sizeof address;
    if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return 0;
    // The port is at the same place in both address families.
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

} // namespace

connection_listener::connection_listener(const event_loop &loop, int descriptor,
                                         callback onAccepted)
    : m_descriptor(descriptor), m_port(portOf(descriptor)), m_onAccepted(std::move(onAccepted)),
      m_watcher(loop, [this](int /*events*/) { acceptAll(); }),
      m_retryTimer(loop, [this] { resume(); })
{
    resume();
}

result<std::unique_ptr<connection_listener>>
connection_listener::create(const event_loop &loop, const std::string &address, callback onAccepted)
{
    const result<socket_address> parsed = socket_address::parse(address);
    if (!parsed)
        return tl::unexpected(parsed.error());
    const result<int> descriptor = parsed->listen(listenQueueLength);
    if (!descriptor)
        return tl::unexpected(descriptor.error());
    return std::unique_ptr<connection_listener>(
        new connection_listener(loop, *descriptor, std::move(onAccepted)));
}

connection_listener::~connection_listener()
{
    close();
}

void connection_listener::pause()
{
    m_watcher.stop();
}

void connection_listener::resume()
{
    if (m_descriptor >= 0)
        m_watcher.start(m_descriptor, EV_READ);
}

void connection_listener::close()
{
    m_watcher.stop();
    m_retryTimer.stop();
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

void connection_listener::acceptAll()
{
    // The callback may pause or close the listener.
    for (int i = 0; i < acceptsPerWake && m_watcher.isActive(); ++i) {
        const int accepted
            = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            // Responses are written whole, so waiting for more bytes would only delay them.
            const int enabled = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            m_onAccepted(accepted);
            continue;
        }
        if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)
            return;
        // The connection stays in the queue, so the listener would be ready again at once.
        pause();
        m_retryTimer.start(retryTime);
        return;
    }
}

} // namespace almondnotch
