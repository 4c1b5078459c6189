#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

#include <curl/curl.h>

#include "core/error.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/io_watcher.h"
#include "servers/event_loop/timer_watcher.h"

namespace almondnotch {

/// Drives a libcurl multi handle with the event loop.
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

    /// \param idleConnectionsMax maximum number of connections kept open for reuse, over all hosts.
    static result<std::unique_ptr<curl_loop>>
    create(const event_loop &loop, std::size_t idleConnectionsMax, finished_handler finished);
    curl_loop(const curl_loop &) = delete;
    curl_loop &operator=(const curl_loop &) = delete;
    ~curl_loop();

    /// Starts a transfer.
    result<void> add(CURL *transfer);

    /// Aborts a transfer. Its connection is closed and not reused, since a late response could
    /// otherwise be read as the response to the next request. Must not be called from within a
    /// libcurl callback.
    void remove(CURL *transfer);

private:
    curl_loop(const event_loop &loop, CURLM *multi, finished_handler finished);

    static int onSocketChanged(CURL *easy, curl_socket_t descriptor, int what, void *owner,
                               void *perSocket);
    static int onTimeoutChanged(CURLM *multi, long timeoutMs, void *owner);
    void performSocketAction(curl_socket_t descriptor, int events);
    void reportFinished();

    const event_loop &m_loop;
    CURLM *m_multi;
    finished_handler m_finished;
    timer_watcher m_timer;
    std::map<curl_socket_t, std::unique_ptr<io_watcher>> m_sockets;
};

} // namespace almondnotch
