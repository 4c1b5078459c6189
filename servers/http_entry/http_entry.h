#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "core/counters.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/flush_wait.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/http_entry/caller_connection.h"
#include "servers/http_entry/caller_exchange.h"
#include "servers/http_entry/caller_protocol.h"
#include "servers/http_entry/connection_listener.h"
#include "servers/http_entry/entry_context.h"
#include "servers/http_entry/entry_settings.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

/// Service "http_entry": receives calls and entry queries from callers over HTTP/1.1 and sends the
/// responses. An entry query asks which gateway addresses to use for a service.
///
/// A request is delivered as an event only after it has been received completely and is within the
/// limits. Requests of one connection may be delivered side by side, see `caller_connection`. The
/// service answers health checks itself, and answers rejected requests with a problem document
/// (RFC 9457) that has the outcome `not-run`. The connection is closed without a response if a
/// request is not received in time, after the responses to the requests before it.
class http_entry : public http_entry_interface, private connection_observer
{
public:
    /// \param protocol must outlive the service.
    explicit http_entry(entry_settings settings,
                        const caller_protocol &protocol = nativeCallerProtocol());
    ~http_entry() override;

    /// Looks up the services "loop" and "decision" and starts listening.
    result<void> start(service_manager &owner) override;
    /// Closes all connections, including those with pending responses.
    void stop() override;

    void sendResponse(const send_response &command) override;
    void sendEntryResponse(const send_entry_response &command) override;
    void flush(duration timeLimit, std::function<void()> done) override;
    const counter_set &counters() const override { return m_context.counters; }

    /// TCP port that callers connect to.
    std::uint16_t port() const { return m_listener->port(); }

private:
    void onRequest(caller_exchange &exchange) override;
    void onCallerGone(caller_exchange &exchange) override;
    void onUnsentChanged(std::ptrdiff_t change) override;
    void onConnectionEnded(caller_connection &connection) override;

    void openConnection(int descriptor);
    void answerReservedPath(caller_exchange &exchange, std::string_view path);
    void receiveEntryQuery(caller_exchange &exchange);
    void await(caller_exchange &exchange, bool isQuery);
    void reject(caller_exchange &exchange, const request_rejection &reason);
    void answerWaiting(std::uint64_t id, bool isQuery, shared_response response, bool close);
    void checkConnections();

    entry_context m_context;
    event_sink *m_decision = nullptr;
    std::unique_ptr<connection_listener> m_listener;
    std::unique_ptr<timer_watcher> m_checkTimer;
    std::unique_ptr<flush_wait> m_flush;
    std::unique_ptr<timer_watcher> m_lingerTimer;
    /// The only mapping from calls and entry queries to their connections. Contains an exchange
    /// exactly while its response is awaited, so a late response cannot reach another caller.
    std::unordered_map<std::uint64_t, caller_exchange *> m_waiting;
    std::unordered_map<caller_connection *, std::unique_ptr<caller_connection>> m_connections;
    std::uint64_t m_lastId = 0;
    /// Number of responses that have not been written completely.
    std::size_t m_unsent = 0;
    bool m_stopping = false;
};

} // namespace almondnotch
