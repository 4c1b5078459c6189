#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include <curl/curl.h>

#include "core/error.h"
#include "servers/curl_loop/read_allowance.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/io_watcher.h"
#include "servers/event_loop/timer_watcher.h"

namespace almondnotch {

/// Bounds of a `curl_loop`.
struct curl_loop_limits
{
    /// Maximum number of connections kept open for reuse, over all hosts.
    std::size_t idleConnectionsMax = 1;
    /// Rate of the reads of large responses after the first ones, reads of at most 16 KiB per
    /// second.
    double largeReadsPerSecond = 10'000;
};

/// Drives a libcurl multi handle with the event loop.
///
/// Connections are read by turns: the first reads of a response happen at once, further ones take
/// turns at a bounded rate, so that peers that send much do not keep others from theirs.
///
/// `add` performs no socket action, so the finished handler is only called from the event loop.
/// Transfers that are still in progress when the object is destroyed are removed from the multi
/// handle, but their easy handles are not freed.
class curl_loop
{
public:
    /// Called once for each transfer that ended without a call of `remove`, after it was removed
    /// from the multi handle. May call `add` and `remove`.
    using finished_handler = std::function<void(CURL *transfer, CURLcode code)>;

    static result<std::unique_ptr<curl_loop>>
    create(const event_loop &loop, const curl_loop_limits &limits, finished_handler finished);
    curl_loop(const curl_loop &) = delete;
    curl_loop &operator=(const curl_loop &) = delete;
    ~curl_loop();

    /// Starts a transfer.
    result<void> add(CURL *transfer);

    /// Aborts a transfer. Its connection is closed and not reused, since a late response could
    /// otherwise be read as the response to the next request. Must not be called from within a
    /// libcurl callback.
    void remove(CURL *transfer);

    /// Number of reads that had to wait for their turn.
    std::uint64_t deferredReadsTotal() const { return m_deferredReadsTotal; }

private:
    /// A socket of a transfer in progress.
    struct watched_socket
    {
        std::unique_ptr<io_watcher> watcher;
        /// EV_READ, EV_WRITE or both.
        int eventMask = 0;
        unsigned readCount = 0;
        /// The socket is readable and waits for its turn. It is not watched meanwhile.
        bool isDeferred = false;
    };

    curl_loop(const event_loop &loop, CURLM *multi, const curl_loop_limits &limits,
              finished_handler finished);

    static int onSocketChanged(CURL *easy, curl_socket_t descriptor, int what, void *owner,
                               void *perSocket);
    static int onTimeoutChanged(CURLM *multi, long timeoutMs, void *owner);
    void onSocketReady(curl_socket_t descriptor, int events);
    void deferRead(curl_socket_t descriptor, watched_socket &socket);
    void readDeferred();
    void performSocketAction(curl_socket_t descriptor, int events);
    void reportFinished();

    const event_loop &m_loop;
    CURLM *m_multi;
    finished_handler m_finished;
    timer_watcher m_timer;
    std::map<curl_socket_t, watched_socket> m_sockets;
    read_allowance m_largeReads;
    /// Sockets whose reads wait, in the order of their turns. May hold some that were closed since.
    std::deque<curl_socket_t> m_deferredReads;
    timer_watcher m_deferredTimer;
    std::uint64_t m_deferredReadsTotal = 0;
};

} // namespace almondnotch
