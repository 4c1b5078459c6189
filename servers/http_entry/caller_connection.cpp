#include "servers/http_entry/caller_connection.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/log_line.h"
#include "servers/http_entry/response_message.h"
#include "servers/http_entry/response_writer.h"

namespace almondnotch {

namespace {

const char *const logPrefix = "entry";
/// No further request of a connection is received while its caller leaves this many bytes of
/// responses unread.
constexpr std::size_t unreadResponseBytesMax = std::size_t {1024} * 1024;
/// How long the caller has after the last response to close its side.
constexpr duration lingerTime = seconds(1);
constexpr duration hangUpCheckInterval = milliseconds(100);
/// Largest framing of a chunked body that sends each byte in a chunk of its own.
constexpr std::uint64_t framingBytesPerBodyByte = 6;

bool isDue(instant deadline, instant now)
{
    return (now - deadline).count() >= 0;
}

request_parser makeParser(const entry_settings &settings)
{
    return {settings.headerBytesMax,
            framingBytesPerBodyByte * settings.bodyBytesMax + settings.headerBytesMax};
}

/// Bytes of unprocessed input that a connection may hold. More than a head, so that a further
/// request's head or the end of the connection is noticed while other requests are at work.
std::size_t inputBytesMax(const entry_settings &settings)
{
    return 2 * settings.headerBytesMax;
}

} // namespace

caller_connection::caller_connection(entry_context &context, connection_observer &observer,
                                     int descriptor)
    : m_context(context), m_observer(observer), m_descriptor(descriptor),
      m_watcher(*context.loop, [this](int events) { onReady(events); }),
      m_hangUpTimer(*context.loop, [this] { checkHangUp(); }),
      m_idleDeadline(context.loop->now() + context.settings.idleTimeout)
{
    updateWatcher();
}

caller_connection::~caller_connection()
{
    m_watcher.stop();
    if (m_unsent > 0)
        m_observer.onUnsentChanged(-static_cast<std::ptrdiff_t>(m_unsent));
    ::close(m_descriptor);
}

void caller_connection::onReady(int events)
{
    if (m_isBroken)
        onCallerLeft(false);
    else if ((events & EV_READ) != 0)
        readInput();
    update();
    if (m_isEnded)
        m_observer.onConnectionEnded(*this);
}

void caller_connection::readInput()
{
    const std::size_t room = inputBytesMax(m_context.settings) - m_input.size();
    const ssize_t count = ::recv(m_descriptor, m_context.readBuffer.data(),
                                 std::min(room, m_context.readBuffer.size()), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count <= 0) {
        onCallerLeft(count == 0);
        return;
    }
    const std::size_t received = static_cast<std::size_t>(count);
    if (m_isInputEnded) {
        m_discardedBytes += received;
        return;
    }
    if (!m_input.empty() || !mayReceive()) {
        m_input.append(m_context.readBuffer.data(), received);
        processInput(std::exchange(m_input, {}));
        return;
    }
    processInput({m_context.readBuffer.data(), received});
}

/// \param isOrderly true if the caller closed its side. Responses that are on their way are still
/// written then.
void caller_connection::onCallerLeft(bool isOrderly)
{
    m_isCallerGone = true;
    endInput();
    dropExchanges();
    if (!isOrderly || m_output.isEmpty())
        end();
}

/// True if the bytes of a further request, or of the one being received, may be processed.
bool caller_connection::mayReceive() const
{
    if (m_isInputEnded || m_isEnded)
        return false;
    if (m_receiving || m_exchanges.empty())
        return m_receiving || m_output.bytes() < unreadResponseBytesMax;
    return m_exchanges.size() < m_context.settings.pipelinedRequestsMax
           && m_exchanges.back()->isIndependent && !m_exchanges.back()->needsKeepAliveField
           && m_output.bytes() + m_readyBytes < unreadResponseBytesMax;
}

/// Processes as much of the input as the order of the requests allows and keeps the rest.
void caller_connection::processInput(std::string_view input)
{
    // A request may be answered while it is passed on, which must not process the input again.
    m_isProcessing = true;
    do {
        queueResponses();
        startHeldRequest();
        queueResponses();
    } while (mayReceive() && processStep(input));
    m_isProcessing = false;
    if (m_isInputEnded) {
        if (!input.empty())
            m_context.counters.add("entry_requests_unread_total");
        return;
    }
    m_input.assign(input);
    if (m_input.empty())
        m_input.shrink_to_fit();
}

/// \return false if more input is needed.
bool caller_connection::processStep(std::string_view &input)
{
    if (!m_receiving) {
        // Empty lines before a request are ignored (RFC 9112 section 2.2).
        while (input.starts_with("\r\n"))
            input.remove_prefix(2);
        if (input.empty() || input == "\r")
            return false;
        beginRequest();
    }
    switch (m_parser->next(input)) {
    case parse_step::need_more:
        return false;
    case parse_step::head:
        onHead(!input.empty());
        return true;
    case parse_step::body:
        receiveBody(m_context, m_parser->bodyPart(), *m_receiving);
        if (m_receiving->endsInput && m_receiving->rejection)
            onRequestReceived();
        return true;
    case parse_step::complete:
        onRequestReceived();
        return true;
    case parse_step::failed:
        m_context.counters.add("entry_http_errors_total");
        rejectRest(m_parser->fault());
        return true;
    }
    return false;
}

void caller_connection::beginRequest()
{
    m_receiving = std::make_unique<caller_exchange>();
    m_receiving->connection = this;
    m_parser.emplace(makeParser(m_context.settings));
    m_receiveDeadline = m_context.loop->now() + m_context.settings.receiveTimeMax;
}

void caller_connection::onHead(bool hasMoreInput)
{
    receiveHead(m_context, m_parser->head(), m_parser->keepsConnection(), *m_receiving);
    if (m_receiving->rejection && m_receiving->endsInput) {
        onRequestReceived();
        return;
    }
    if (m_receiving->expectsContinue && !hasMoreInput) {
        m_isContinueDue = true;
        // The caller waits for the responses before this request.
        m_receiveDeadline = instant::never();
        sendContinue();
    }
}

void caller_connection::sendContinue()
{
    if (!m_isContinueDue || !m_exchanges.empty())
        return;
    m_isContinueDue = false;
    output_message interim;
    interim.head = "HTTP/1.1 100 Continue\r\n\r\n";
    interim.isFinal = false;
    m_output.push(std::move(interim));
    m_receiveDeadline = m_context.loop->now() + m_context.settings.receiveTimeMax;
}

/// Moves the received request to those that await their response, and passes it on if its turn has
/// come.
void caller_connection::onRequestReceived()
{
    m_receiveDeadline = instant::never();
    m_isContinueDue = false;
    m_parser.reset();
    std::unique_ptr<caller_exchange> exchange = std::move(m_receiving);
    const bool endsInputNow = exchange->endsInput;
    const bool isHeld = !m_exchanges.empty() && !exchange->isIndependent && !exchange->rejection;
    exchange->currentPhase = isHeld ? phase::held : phase::waiting;
    if (isHeld)
        m_context.counters.add("entry_requests_held_total");
    else if (!m_exchanges.empty())
        m_context.counters.add("entry_requests_pipelined_total");
    m_exchanges.push_back(std::move(exchange));
    if (isHeld)
        return;
    m_observer.onRequest(*m_exchanges.back());
    if (endsInputNow)
        endInput();
}

/// Passes the held request on if all requests before it have been answered.
void caller_connection::startHeldRequest()
{
    if (m_isBroken || m_exchanges.size() != 1 || m_exchanges.front()->currentPhase != phase::held)
        return;
    caller_exchange &exchange = *m_exchanges.front();
    const bool endsInputNow = exchange.endsInput;
    exchange.currentPhase = phase::waiting;
    m_observer.onRequest(exchange);
    if (endsInputNow)
        endInput();
}

/// Rejects the request that is being received and reads nothing behind it.
void caller_connection::rejectRest(const request_rejection &reason)
{
    rejectExchange(m_context, reason, *m_receiving);
    m_receiving->endsInput = true;
    onRequestReceived();
}

/// Receives no further request. Requests that were not passed on count as not read.
void caller_connection::endInput()
{
    m_isInputEnded = true;
    m_isContinueDue = false;
    m_receiveDeadline = instant::never();
    const bool isHeld = !m_exchanges.empty() && m_exchanges.back()->currentPhase == phase::held;
    if (isHeld)
        m_exchanges.pop_back();
    if (isHeld || m_receiving || !m_input.empty())
        m_context.counters.add("entry_requests_unread_total");
    m_parser.reset();
    m_receiving.reset();
    m_input.clear();
    m_input.shrink_to_fit();
}

void caller_connection::respond(caller_exchange &exchange, shared_response response, bool close)
{
    exchange.response = std::move(response);
    exchange.currentPhase = phase::ready;
    holdResponse(m_context, exchange, m_output.isEmpty() && m_exchanges.front().get() == &exchange);
    m_readyBytes += exchange.response->body.size();
    ++m_unsent;
    m_observer.onUnsentChanged(1);
    if (close || isLengthUnknown(*exchange.response, exchange.isHeadRequest))
        endInput();
    if (m_isProcessing)
        return;
    processInput(std::exchange(m_input, {}));
    update();
}

/// Passes the responses that are next in the order of the requests to the writer.
void caller_connection::queueResponses()
{
    while (!m_exchanges.empty() && m_exchanges.front()->currentPhase == phase::ready) {
        const std::unique_ptr<caller_exchange> exchange = std::move(m_exchanges.front());
        m_exchanges.pop_front();
        m_readyBytes -= exchange->response->body.size();
        const bool closesConnection
            = m_exchanges.empty() && (m_isInputEnded || exchange->endsInput);
        m_output.push(makeResponseMessage(m_context, *exchange, closesConnection));
    }
    sendContinue();
}

void caller_connection::writeOutput()
{
    if (m_output.isEmpty())
        return;
    std::size_t finished = 0;
    const output_queue::write_result result = m_output.write(m_descriptor, finished);
    m_isBroken = result == output_queue::write_result::failed;
    const instant now = m_context.loop->now();
    if (m_output.isEmpty())
        m_writeDeadline = instant::never();
    else if (result == output_queue::write_result::progress || m_writeDeadline == instant::never())
        m_writeDeadline = now + m_context.settings.unreadTimeMax;
    m_idleDeadline = now + m_context.settings.idleTimeout;
    if (finished == 0)
        return;
    m_unsent -= finished;
    m_observer.onUnsentChanged(-static_cast<std::ptrdiff_t>(finished));
}

/// Writes what is ready, resumes the input where that has made room, and decides what to wait for.
void caller_connection::update()
{
    if (m_isEnded)
        return;
    writeOutput();
    if (!m_isBroken && !m_input.empty() && mayReceive()) {
        processInput(std::exchange(m_input, {}));
        writeOutput();
    }
    if (m_isInputEnded && m_exchanges.empty() && m_output.isEmpty() && !m_isLingering)
        beginLinger();
    updateWatcher();
}

void caller_connection::updateWatcher()
{
    if (m_isEnded)
        return;
    // A broken socket is always ready, so that the next wake ends the connection.
    const bool isReading = m_isBroken
                           || (!m_isCallerGone && m_input.size() < inputBytesMax(m_context.settings)
                               && m_discardedBytes < 4 * m_context.settings.bodyBytesMax);
    const int events = (isReading ? EV_READ : 0) | (m_output.isEmpty() ? 0 : EV_WRITE);
    if (events == 0)
        m_watcher.stop();
    else
        m_watcher.start(m_descriptor, events);
    if (isReading || m_isCallerGone)
        m_hangUpTimer.stop();
    else if (!m_hangUpTimer.isActive())
        m_hangUpTimer.startRepeating(hangUpCheckInterval);
}

void caller_connection::checkHangUp()
{
    pollfd status {m_descriptor, POLLRDHUP, 0};
    if (::poll(&status, 1, 0) != 1)
        return;
    onCallerLeft((status.revents & (POLLERR | POLLHUP)) == 0);
    updateWatcher();
    if (m_isEnded)
        m_observer.onConnectionEnded(*this);
}

void caller_connection::beginLinger()
{
    m_isLingering = true;
    m_idleDeadline = m_context.loop->now() + lingerTime;
    if (m_isCallerGone)
        end();
    else
        ::shutdown(m_descriptor, SHUT_WR);
}

/// Drops the requests whose responses can no longer be delivered and reports those at work.
void caller_connection::dropExchanges()
{
    // A report may bring responses to other requests of this connection.
    m_isProcessing = true;
    for (const std::unique_ptr<caller_exchange> &exchange : m_exchanges) {
        if (exchange->currentPhase == phase::waiting)
            m_observer.onCallerGone(*exchange);
    }
    m_isProcessing = false;
    std::size_t ready = 0;
    for (const std::unique_ptr<caller_exchange> &exchange : m_exchanges)
        ready += exchange->currentPhase == phase::ready ? 1 : 0;
    m_exchanges.clear();
    m_readyBytes = 0;
    m_unsent -= ready;
    if (ready > 0)
        m_observer.onUnsentChanged(-static_cast<std::ptrdiff_t>(ready));
}

void caller_connection::end()
{
    m_isEnded = true;
    m_watcher.stop();
    m_hangUpTimer.stop();
}

bool caller_connection::checkTime(instant now)
{
    if (m_isLingering)
        return isDue(m_idleDeadline, now);
    if (!m_output.isEmpty() && isDue(m_writeDeadline, now)) {
        m_context.counters.add("entry_unread_timeouts_total");
        log_line(log_level::debug, logPrefix, "closed a connection whose caller does not read")
            .field("unread_bytes", static_cast<std::int64_t>(m_output.bytes()));
        onCallerLeft(false);
        return true;
    }
    if (m_receiving && isDue(m_receiveDeadline, now)) {
        m_context.counters.add("entry_receive_timeouts_total");
        endInput();
        // Requests before the incomplete one are still answered.
        if (m_exchanges.empty() && m_output.isEmpty())
            return true;
        updateWatcher();
        return false;
    }
    if (!m_receiving && m_exchanges.empty() && m_output.isEmpty())
        return isDue(m_idleDeadline, now);
    return false;
}

} // namespace almondnotch
