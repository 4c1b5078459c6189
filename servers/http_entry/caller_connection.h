#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"
#include "servers/event_loop/io_watcher.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/http_entry/caller_exchange.h"
#include "servers/http_entry/entry_context.h"
#include "servers/http_entry/output_queue.h"
#include "servers/http_entry/request_parser.h"

namespace almondnotch {

/// What a `caller_connection` reports.
class connection_observer
{
public:
    connection_observer() = default;
    connection_observer(const connection_observer &) = delete;
    connection_observer &operator=(const connection_observer &) = delete;
    virtual ~connection_observer() = default;

    /// A request is complete and may be passed on or be answered, also from within this call.
    virtual void onRequest(caller_exchange &exchange) = 0;
    /// The caller of an exchange in `phase::waiting` has disconnected. The exchange is destroyed
    /// after this call.
    virtual void onCallerGone(caller_exchange &exchange) = 0;
    /// The number of responses that wait to be written has changed.
    virtual void onUnsentChanged(std::ptrdiff_t change) = 0;
    /// The connection has ended. The observer may destroy it.
    virtual void onConnectionEnded(caller_connection &connection) = 0;
};

/// A connection of a caller: turns received bytes into requests, and responses into sent bytes in
/// the order of their requests.
///
/// Independent requests (`caller_exchange::isIndependent`) run side by side. Any other request is
/// passed on only when all requests before it have been answered, and no request behind it is
/// received before it has been answered itself.
///
/// A response that closes the connection is the last one: requests that were not passed on before
/// it was known are not read, and if there are requests behind it that were passed on, the close
/// moves behind their responses.
class caller_connection
{
public:
    /// \param descriptor connected non-blocking socket, which the connection owns.
    caller_connection(entry_context &context, connection_observer &observer, int descriptor);
    caller_connection(const caller_connection &) = delete;
    caller_connection &operator=(const caller_connection &) = delete;
    ~caller_connection();

    /// Sets the response of an exchange of this connection, which may be destroyed by this call.
    /// \param close true if the connection must be closed as soon as that is possible.
    void respond(caller_exchange &exchange, shared_response response, bool close);

    /// Enforces the time limits.
    /// \return true if the connection has ended. The observer is not told.
    bool checkTime(instant now);

private:
    using phase = caller_exchange::phase;

    void onReady(int events);
    void readInput();
    void onCallerLeft(bool isOrderly);
    void processInput(std::string_view input);
    bool mayReceive() const;
    bool processStep(std::string_view &input);
    void beginRequest();
    void onHead(bool hasMoreInput);
    void onRequestReceived();
    void startHeldRequest();
    void rejectRest(const request_rejection &reason);
    void endInput();

    void sendContinue();
    void queueResponses();
    void writeOutput();

    void update();
    void updateWatcher();
    void checkHangUp();
    void beginLinger();
    void dropExchanges();
    void end();

    entry_context &m_context;
    connection_observer &m_observer;
    int m_descriptor;
    io_watcher m_watcher;
    /// Detects that the caller disconnects while no input is read, since the unread bytes hide the
    /// end of the connection.
    timer_watcher m_hangUpTimer;

    /// Received bytes that could not be processed yet.
    std::string m_input;
    /// Set while a request is received.
    std::optional<request_parser> m_parser;
    std::unique_ptr<caller_exchange> m_receiving;
    /// Complete requests whose response has not been passed to `m_output`, in the order of arrival.
    std::deque<std::unique_ptr<caller_exchange>> m_exchanges;
    output_queue m_output;
    /// Number of responses that are ready or in `m_output`.
    std::size_t m_unsent = 0;
    /// Bytes of the bodies of responses that are ready but not in `m_output`.
    std::size_t m_readyBytes = 0;

    /// Time by which the request that is being received must be complete.
    instant m_receiveDeadline = instant::never();
    /// Time by which the caller must have read a further byte of the output.
    instant m_writeDeadline = instant::never();
    /// Time at which the connection is closed unless a request arrives, or the end of the linger.
    instant m_idleDeadline = instant::never();
    std::size_t m_discardedBytes = 0;

    bool m_isProcessing = false;
    /// True while the caller is to be told to send the body that it holds back.
    bool m_isContinueDue = false;
    /// No further request is received. The connection is closed after the last response.
    bool m_isInputEnded = false;
    /// The caller has closed its side; only responses that are queued already are written.
    bool m_isCallerGone = false;
    /// The last response has been written. Input is discarded until the caller closes its side, so
    /// that the kernel does not reset the connection before the response has been read.
    bool m_isLingering = false;
    bool m_isBroken = false;
    bool m_isEnded = false;
};

} // namespace almondnotch
