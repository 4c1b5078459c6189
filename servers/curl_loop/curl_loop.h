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

/// A libcurl multi handle driven by the event loop.
///
/// Transfers are never advanced from within `add`, so `finished` is only called from the loop.
/// Handles that are still added when the object is destroyed are removed and not cleaned up.
class curl_loop
{
public:
    /// Called once for each transfer that ended by itself, after it was removed. May call `add` and
    /// `remove`.
    using finished_handler = std::function<void(CURL *transfer, CURLcode code)>;

    /// \param idleConnectionsMax connections kept open for reuse, over all hosts.
    static result<std::unique_ptr<curl_loop>>
    create(const event_loop &loop, std::size_t idleConnectionsMax, finished_handler finished);
    curl_loop(const curl_loop &) = delete;
    curl_loop &operator=(const curl_loop &) = delete;
    ~curl_loop();

    /// Starts a transfer.
    result<void> add(CURL *transfer);

    /// Ends a transfer early. Its connection is closed and not reused, since a late response could
    /// otherwise reach the next request. Must not be called from within a libcurl callback.
    void remove(CURL *transfer);

private:
    curl_loop(const event_loop &loop, CURLM *multi, finished_handler finished);

    static int onSocketChanged(CURL *easy, curl_socket_t descriptor, int what, void *owner,
                               void *perSocket);
    static int onTimeoutChanged(CURLM *multi, long timeoutMs, void *owner);
    void advance(curl_socket_t descriptor, int events);
    void reportFinished();

    const event_loop &m_loop;
    CURLM *m_multi;
    finished_handler m_finished;
    timer_watcher m_timer;
    std::map<curl_socket_t, std::unique_ptr<io_watcher>> m_sockets;
};

} // namespace almondnotch
