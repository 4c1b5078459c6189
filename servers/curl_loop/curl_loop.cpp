#include "servers/curl_loop/curl_loop.h"

namespace almondnotch {

namespace {

/// Number of reads of one response that happen at once.
constexpr unsigned promptReadsMax = 4;
/// Interval at which reads that wait for their turn are resumed.
constexpr duration deferredReadInterval = milliseconds(1);

/// Initialises libcurl's global state, which must be set up before any handle and outlive all of
/// them.
CURLcode initializeCurl()
{
    static const CURLcode started = curl_global_init(CURL_GLOBAL_NOTHING);
    return started;
}

} // namespace

result<std::unique_ptr<curl_loop>>
curl_loop::create(const event_loop &loop, const curl_loop_limits &limits, finished_handler finished)
{
    if (initializeCurl() != CURLE_OK)
        return fail(error_code::internal, "start libcurl", {}, "curl_global_init failed");
    CURLM *multi = curl_multi_init();
    if (multi == nullptr)
        return fail(error_code::internal, "start libcurl", {}, "curl_multi_init failed");
    std::unique_ptr<curl_loop> created(new curl_loop(loop, multi, limits, std::move(finished)));
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &curl_loop::onSocketChanged);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, created.get());
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &curl_loop::onTimeoutChanged);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, created.get());
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(limits.idleConnectionsMax));
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return created;
}

curl_loop::curl_loop(const event_loop &loop, CURLM *multi, const curl_loop_limits &limits,
                     finished_handler finished)
    : m_loop(loop), m_multi(multi), m_finished(std::move(finished)),
      m_timer(loop, [this]() { performSocketAction(CURL_SOCKET_TIMEOUT, 0); }),
      m_largeReads(limits.largeReadsPerSecond), m_deferredTimer(loop, [this]() { readDeferred(); })
{ }

curl_loop::~curl_loop()
{
    curl_multi_cleanup(m_multi);
}

result<void> curl_loop::add(CURL *transfer)
{
    const CURLMcode code = curl_multi_add_handle(m_multi, transfer);
    if (code != CURLM_OK)
        return fail(error_code::internal, "start transfer", {}, curl_multi_strerror(code));
    return {};
}

void curl_loop::remove(CURL *transfer)
{
    // libcurl itself closes the connection of an unfinished transfer. The option also closes the
    // connection of a transfer that has finished but was not reported yet.
    curl_easy_setopt(transfer, CURLOPT_FORBID_REUSE, 1L);
    curl_multi_remove_handle(m_multi, transfer);
}

int curl_loop::onSocketChanged(CURL * /*easy*/, curl_socket_t descriptor, int what, void *owner,
                               void * /*perSocket*/)
{
    curl_loop *self = static_cast<curl_loop *>(owner);
    if (what == CURL_POLL_REMOVE) {
        self->m_sockets.erase(descriptor);
        return 0;
    }
    watched_socket &socket = self->m_sockets[descriptor];
    if (!socket.watcher)
        socket.watcher = std::make_unique<io_watcher>(self->m_loop, [self, descriptor](int events) {
            self->onSocketReady(descriptor, events);
        });
    socket.eventMask = 0;
    if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
        socket.eventMask |= EV_READ;
    if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
        socket.eventMask |= EV_WRITE;
    if (!socket.isDeferred)
        socket.watcher->start(descriptor, socket.eventMask);
    return 0;
}

void curl_loop::onSocketReady(curl_socket_t descriptor, int events)
{
    watched_socket &socket = m_sockets.at(descriptor);
    const bool isLarge = (events & EV_READ) != 0 && ++socket.readCount > promptReadsMax;
    if (isLarge && (!m_deferredReads.empty() || !m_largeReads.take(m_loop.now())))
        deferRead(descriptor, socket);
    else
        performSocketAction(descriptor, events);
}

void curl_loop::deferRead(curl_socket_t descriptor, watched_socket &socket)
{
    socket.watcher->stop();
    socket.isDeferred = true;
    m_deferredReads.push_back(descriptor);
    ++m_deferredReadsTotal;
    if (!m_deferredTimer.isActive())
        m_deferredTimer.start(deferredReadInterval);
}

/// Reads from the sockets whose turn it is, one read each, as long as reads are allowed.
void curl_loop::readDeferred()
{
    const instant now = m_loop.now();
    while (!m_deferredReads.empty() && m_largeReads.take(now)) {
        const curl_socket_t descriptor = m_deferredReads.front();
        m_deferredReads.pop_front();
        const auto found = m_sockets.find(descriptor);
        if (found == m_sockets.end() || !found->second.isDeferred)
            continue;
        found->second.isDeferred = false;
        found->second.watcher->start(descriptor, found->second.eventMask);
        performSocketAction(descriptor, EV_READ);
    }
    if (!m_deferredReads.empty())
        m_deferredTimer.start(deferredReadInterval);
}

int curl_loop::onTimeoutChanged(CURLM * /*multi*/, long timeoutMs, void *owner)
{
    curl_loop *self = static_cast<curl_loop *>(owner);
    if (timeoutMs < 0)
        self->m_timer.stop();
    else
        self->m_timer.start(milliseconds(timeoutMs));
    return 0;
}

void curl_loop::performSocketAction(curl_socket_t descriptor, int events)
{
    int action = 0;
    if ((events & EV_READ) != 0)
        action |= CURL_CSELECT_IN;
    if ((events & EV_WRITE) != 0)
        action |= CURL_CSELECT_OUT;
    int running = 0;
    curl_multi_socket_action(m_multi, descriptor, action, &running);
    reportFinished();
}

void curl_loop::reportFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        // The message becomes invalid when the handle is removed.
        CURL *transfer = message->easy_handle;
        const CURLcode code = message->data.result;
        curl_multi_remove_handle(m_multi, transfer);
        m_finished(transfer, code);
    }
}

} // namespace almondnotch
