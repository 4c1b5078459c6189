#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <ev++.h>

#include "core/error.h"
#include "decision/types.h"

namespace almondnotch {

/// A request received by `http_fake`.
struct received_request
{
    std::string method;
    /// Path with query, as sent.
    std::string target;
    std::string path;
    /// Query parameters, not percent-decoded.
    std::map<std::string, std::string, std::less<>> query;
    std::vector<header_field> headers;
    std::string body;

    /// Value of the first header with this name, compared case-insensitively; empty if absent.
    std::string header(std::string_view name) const;

    /// Value of a query parameter, or `fallback` if it is absent.
    std::string parameter(std::string_view name, std::string_view fallback = {}) const;

    /// Non-negative integer value of a query parameter; `fallback` if absent or malformed.
    std::int64_t number(std::string_view name, std::int64_t fallback) const;
};

/// HTTP/1.1 server for stand-ins and tests. The code that uses it writes every byte of a response,
/// so that truncated and badly framed responses can be sent. Single-threaded on one libev loop.
///
/// Handles one request at a time per connection; the next one is read after `respond`. Supports
/// `Content-Length` bodies of up to 4 MiB; the connection is closed after other bodies and
/// malformed requests.
class http_fake
{
public:
    using connection_id = std::uint64_t;
    using request_handler = std::function<void(connection_id, const received_request &)>;
    using close_handler = std::function<void(connection_id)>;

    /// \param address "ip:port"; port 0 lets the kernel choose.
    static result<std::unique_ptr<http_fake>> create(ev::loop_ref loop, const std::string &address,
                                                     request_handler onRequest);
    http_fake(const http_fake &) = delete;
    http_fake &operator=(const http_fake &) = delete;
    ~http_fake();

    /// "ip:port" of the listening socket.
    const std::string &address() const { return m_address; }

    /// Sets the handler that is called when a connection is closed by the client, by an I/O error
    /// or because of an invalid request. Not called for connections closed with `close` or
    /// `respond`.
    void setCloseHandler(close_handler handler) { m_onClosed = std::move(handler); }

    /// Writes raw bytes as the response to the connection's request, or as its end after `write`.
    /// Ignored if the connection is closed. With `closeAfter`, the connection is closed once all
    /// bytes are written.
    void respond(connection_id connection, std::string_view bytes, bool closeAfter = false);

    /// Writes bytes without ending the response.
    void write(connection_id connection, std::string_view bytes);

    /// Closes a connection immediately and discards output that is not yet written.
    void close(connection_id connection);

    bool isOpen(connection_id connection) const { return m_connections.contains(connection); }
    std::size_t openConnections() const { return m_connections.size(); }
    std::uint64_t acceptedConnections() const { return m_accepted; }

private:
    struct client_connection
    {
        int descriptor = -1;
        ev::io watcher;
        std::string input;
        std::string output;
        bool awaitsResponse = false;
        bool closeAfter = false;
    };

    http_fake(ev::loop_ref loop, int listener, std::string address, request_handler onRequest);

    void acceptConnections(ev::io &watcher, int events);
    void connectionReady(ev::io &watcher, int events);
    bool readInput(connection_id id, client_connection &from);
    void handleInput(connection_id id);
    void flush(connection_id id);
    void closeAndNotify(connection_id id);

    ev::loop_ref m_loop;
    int m_listener;
    std::string m_address;
    request_handler m_onRequest;
    close_handler m_onClosed;
    ev::io m_acceptWatcher;
    std::map<connection_id, std::unique_ptr<client_connection>> m_connections;
    std::map<int, connection_id> m_byDescriptor;
    connection_id m_nextId = 1;
    std::uint64_t m_accepted = 0;
};

/// Formats a complete response, with `Content-Length` unless the status is 304.
std::string framedResponse(int status, const std::vector<header_field> &headers,
                           std::string_view body);

} // namespace almondnotch
