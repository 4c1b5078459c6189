#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <ev++.h>

#include "core/error.h"
#include "tests/standins/http_fake/http_fake.h"
#include "tests/standins/platform_standin/platform_store.h"

namespace almondnotch {

/// Stand-in for the platform's configuration service: serves reads and watches of values and of the
/// VM list (section 3.3 of the design), and has a control interface that changes values and injects
/// faults.
class platform_server
{
public:
    static result<std::unique_ptr<platform_server>> create(ev::loop_ref loop,
                                                           const std::string &address);
    platform_server(const platform_server &) = delete;
    platform_server &operator=(const platform_server &) = delete;

    const std::string &address() const { return m_http->address(); }
    platform_store &store() { return m_store; }

    /// Responds to the watches whose value is newer than the client's.
    void notifyWatches();

private:
    /// `down` closes the connection of every read, `slow` delays responses, and `stale` serves the
    /// values as of the change of the mode.
    enum class service_mode { normal, down, slow, stale };
    using connection_id = http_fake::connection_id;

    struct watch
    {
        ev::timer expiryTimer;
        std::string key;
        /// Version that the client has; the watch ends when the value is newer.
        std::uint64_t afterVersion = 0;
        connection_id connection = 0;
    };
    struct delayed_response
    {
        ev::timer dueTimer;
        connection_id connection = 0;
        std::string bytes;
    };

    explicit platform_server(ev::loop_ref loop);

    void handleRequest(connection_id connection, const received_request &request);
    void handleRead(connection_id connection, const received_request &request,
                    const std::string &key);
    void handleControl(connection_id connection, const received_request &request);
    void setMode(connection_id connection, const received_request &request);
    void publish(connection_id connection, const received_request &request, const std::string &key);
    void connectionClosed(connection_id connection);
    void watchExpired(ev::timer &timer, int events);
    void delayEnded(ev::timer &timer, int events);
    void sendValue(connection_id connection, const std::string &key);
    void sendReadResponse(connection_id connection, std::string bytes);
    void countCall(const std::string &kind);
    std::string stats() const;

    ev::loop_ref m_loop;
    platform_store m_store;
    std::unique_ptr<http_fake> m_http;
    service_mode m_mode = service_mode::normal;
    double m_delaySeconds = 0;
    std::map<connection_id, std::unique_ptr<watch>> m_watches;
    std::map<connection_id, std::unique_ptr<delayed_response>> m_delayed;
    std::map<std::string, std::uint64_t> m_calls;
    /// Second of the event loop's time in which the last call was received, and the calls received
    /// in it.
    std::int64_t m_currentSecond = 0;
    std::uint64_t m_callsThisSecond = 0;
    /// Most calls received in any second.
    std::uint64_t m_peakCallsPerSecond = 0;
};

} // namespace almondnotch
