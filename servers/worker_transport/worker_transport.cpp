#include "servers/worker_transport/worker_transport.h"

#include <algorithm>

#include "core/log_line.h"
#include "servers/worker_transport/worker_request.h"

namespace almondnotch {

namespace {

/// A request is not sent if less time than this is left, since its deadline is transmitted in whole
/// milliseconds.
constexpr duration timeLeftMin = milliseconds(1);

/// Minimum time between two log records about responses that are too large.
constexpr duration tooLargeLogInterval = seconds(1);

std::string endedCounterName(attempt_end end)
{
    return "worker_attempts_ended_total{end=\"" + std::string(toString(end)) + "\"}";
}

} // namespace

worker_transport::worker_transport(worker_transport_settings settings,
                                   const worker_protocol &protocol)
    : m_settings(settings), m_protocol(protocol), m_responseBytes(settings.heldResponseBytesMax),
      m_handles(settings.idleHandlesMax)
{ }

worker_transport::~worker_transport()
{
    stop();
}

result<void> worker_transport::start(service_manager &owner)
{
    const result<event_loop *> loop = owner.find<event_loop>("loop");
    if (!loop)
        return tl::unexpected(loop.error());
    const result<event_sink *> decision = owner.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    m_loop = *loop;
    m_decision = *decision;
    result<std::unique_ptr<curl_loop>> created = curl_loop::create(
        *m_loop, {m_settings.idleConnectionsMax, m_settings.largeReadsPerSecond},
        [this](CURL *transfer, CURLcode code) { onTransferEnded(transfer, code); });
    if (!created)
        return tl::unexpected(created.error());
    m_curl = std::move(*created);
    m_deferredTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { deliverDeferred(); });
    return {};
}

void worker_transport::stop()
{
    m_deferredTimer.reset();
    m_deferred.clear();
    // The multi handle is destroyed first, since easy handles must not return to the pool while
    // they are in it.
    m_curl.reset();
    m_attempts.clear();
    m_probes.clear();
    m_attemptByExchange.clear();
    m_probeByExchange.clear();
    m_workers.clear();
    m_waitingAttempts = 0;
}

void worker_transport::startAttempt(const start_attempt &command)
{
    m_counters.add("worker_attempts_total");
    if (m_attempts.contains(command.attempt)) {
        // No `attempt_finished` is delivered for the duplicate: it would be taken for the outcome
        // of the first attempt with this identifier.
        m_counters.add("worker_attempts_duplicate_total");
        return;
    }
    if (m_attempts.size() + m_probes.size() >= m_settings.exchangesMax) {
        m_counters.add("http_exchanges_rejected_total");
        finishAttempt({command.attempt, attempt_end::not_sent, nullptr, std::nullopt, false,
                       "too many exchanges with workers are in progress"},
                      true);
        return;
    }
    std::unique_ptr<attempt> added = std::make_unique<attempt>();
    added->command = command;
    added->deadline = m_loop->now() + command.timeLimit;
    attempt &started = *added;
    m_attempts.emplace(command.attempt, std::move(added));
    worker_attempts &worker = m_workers[command.workerAddress];
    worker.connectionsMax = std::max(command.connectionLimit, 1U);
    if (worker.activeCount >= worker.connectionsMax || !worker.queue.empty())
        enqueue(started, worker);
    else
        send(started);
    removeWorkerIfUnused(command.workerAddress);
    updateGauges();
}

void worker_transport::enqueue(attempt &queued, worker_attempts &worker)
{
    const attempt_id id = queued.command.attempt;
    if (worker.queue.size() >= m_settings.waitingPerWorkerMax
        || m_waitingAttempts >= m_settings.waitingMax) {
        m_counters.add("worker_waiting_rejected_total");
        m_attempts.erase(id);
        finishAttempt(
            {id, attempt_end::not_sent, nullptr, std::nullopt, false,
             "all connections to the worker are in use and the queue of waiting attempts is full"},
            true);
        return;
    }
    m_counters.add("worker_attempts_waited_total");
    queued.isWaiting = true;
    worker.queue.push_back(id);
    ++m_waitingAttempts;
    queued.waitTimer = std::make_unique<timer_watcher>(*m_loop, [this, id]() {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end())
            return;
        // Keeps the timer alive until this function, which is its callback, returns.
        const std::unique_ptr<attempt> ended = std::move(found->second);
        m_attempts.erase(found);
        removeFromQueue(*ended);
        updateGauges();
        finishAttempt({id, attempt_end::not_sent, nullptr, std::nullopt, false,
                       "the time limit passed while waiting for a connection"},
                      false);
    });
    queued.waitTimer->start(queued.deadline - m_loop->now());
}

void worker_transport::send(attempt &started)
{
    const attempt_id id = started.command.attempt;
    const std::string address = started.command.workerAddress;
    const duration timeLeft = started.deadline - m_loop->now();
    started.isWaiting = false;
    started.waitTimer.reset();
    ++m_workers[address].activeCount;
    std::string sendFailure;
    if (timeLeft < timeLeftMin) {
        sendFailure = "the time limit passed before the request was sent";
    } else {
        // Retries are decided and counted by the decision package, so libcurl must not retransmit.
        constexpr bool retransmissionAllowed = false;
        started.exchange = std::make_unique<http_exchange>(
            address, m_settings.responseBytesMax, started.command.request->method == "HEAD",
            retransmissionAllowed);
        started.exchange->reader().shareBudget(m_responseBytes);
        if (m_protocol.allowsCloseDelimited())
            started.exchange->reader().allowCloseDelimited();
        result<void> sent
            = prepareAttempt(*started.exchange, {m_handles, m_connections, m_settings, m_protocol},
                             started.command, timeLeft);
        if (sent)
            sent = m_curl->add(started.exchange->handle());
        if (!sent)
            sendFailure = toString(sent.error());
    }
    if (sendFailure.empty()) {
        m_attemptByExchange[started.exchange.get()] = id;
        return;
    }
    m_attempts.erase(id);
    --m_workers[address].activeCount;
    finishAttempt({id, attempt_end::not_sent, nullptr, std::nullopt, false, sendFailure}, true);
}

void worker_transport::removeFromQueue(const attempt &dequeued)
{
    const auto found = m_workers.find(dequeued.command.workerAddress);
    if (found == m_workers.end())
        return;
    m_waitingAttempts -= std::erase(found->second.queue, dequeued.command.attempt);
    removeWorkerIfUnused(dequeued.command.workerAddress);
}

void worker_transport::releaseConnectionSlot(const std::string &workerAddress)
{
    const auto found = m_workers.find(workerAddress);
    if (found == m_workers.end())
        return;
    --found->second.activeCount;
    startWaitingAttempts(found->second);
    removeWorkerIfUnused(workerAddress);
}

void worker_transport::removeWorkerIfUnused(const std::string &workerAddress)
{
    const auto found = m_workers.find(workerAddress);
    if (found != m_workers.end() && found->second.activeCount == 0 && found->second.queue.empty())
        m_workers.erase(found);
}

void worker_transport::startWaitingAttempts(worker_attempts &worker)
{
    while (!worker.queue.empty() && worker.activeCount < worker.connectionsMax) {
        const attempt_id id = worker.queue.front();
        worker.queue.pop_front();
        --m_waitingAttempts;
        const auto next = m_attempts.find(id);
        if (next != m_attempts.end())
            send(*next->second);
    }
}

/// True if no byte of the attempt's request was sent.
bool worker_transport::isUnsent(const attempt &started)
{
    return started.isWaiting || started.exchange->transmissions() == 0;
}

void worker_transport::abort(attempt_finished outcome)
{
    const auto found = m_attempts.find(outcome.attempt);
    const std::unique_ptr<attempt> aborted = std::move(found->second);
    m_attempts.erase(found);
    outcome.end = isUnsent(*aborted) ? attempt_end::not_sent : attempt_end::cancelled;
    if (aborted->isWaiting) {
        removeFromQueue(*aborted);
    } else {
        m_curl->remove(aborted->exchange->handle());
        m_attemptByExchange.erase(aborted->exchange.get());
        countExchange(*aborted->exchange);
        releaseConnectionSlot(aborted->command.workerAddress);
    }
    updateGauges();
    finishAttempt(std::move(outcome), true);
}

void worker_transport::cancelAttempt(const cancel_attempt &command)
{
    if (!m_attempts.contains(command.attempt))
        return;
    m_counters.add("worker_attempts_cancelled_total");
    attempt_finished outcome;
    outcome.attempt = command.attempt;
    outcome.detail = "the attempt was cancelled";
    abort(std::move(outcome));
}

void worker_transport::withdrawAttempt(const withdraw_attempt &command)
{
    const auto found = m_attempts.find(command.attempt);
    if (found == m_attempts.end() || !isUnsent(*found->second))
        return;
    m_counters.add("worker_attempts_withdrawn_total");
    attempt_finished outcome;
    outcome.attempt = command.attempt;
    outcome.detail = "the worker takes no new requests";
    outcome.wasWithdrawn = true;
    abort(std::move(outcome));
}

void worker_transport::startProbe(const start_probe &command)
{
    m_counters.add("worker_probes_total");
    std::unique_ptr<probe> started = std::make_unique<probe>();
    started->command = command;
    started->deadline = m_loop->now() + command.timeLimit;
    started->exchange = std::make_unique<http_exchange>(command.workerAddress,
                                                        m_settings.probeBytesMax, false, true);
    result<void> sent;
    if (m_attempts.size() + m_probes.size() >= m_settings.exchangesMax
        || m_probes.contains(command.probe))
        sent = fail(error_code::out_of_bounds, "probe", command.workerAddress,
                    "too many exchanges with workers are in progress");
    if (sent)
        sent = prepareProbe(*started->exchange, {m_handles, m_connections, m_settings, m_protocol},
                            command);
    if (sent) {
        const auto worker = m_workers.find(command.workerAddress);
        // If attempts use all connections within the limit, the probe opens one beyond it, which is
        // closed after use.
        if (worker != m_workers.end()
            && worker->second.activeCount >= worker->second.connectionsMax)
            curl_easy_setopt(started->exchange->handle(), CURLOPT_FORBID_REUSE, 1L);
        sent = m_curl->add(started->exchange->handle());
    }
    if (!sent) {
        m_counters.add("worker_probes_failed_total");
        defer(probe_finished {command.probe, std::nullopt, 0});
        return;
    }
    m_probeByExchange[started->exchange.get()] = command.probe;
    m_probes.emplace(command.probe, std::move(started));
    updateGauges();
}

void worker_transport::onTransferEnded(CURL *transfer, CURLcode code)
{
    char *owner = nullptr;
    curl_easy_getinfo(transfer, CURLINFO_PRIVATE, &owner);
    const http_exchange *exchange = reinterpret_cast<const http_exchange *>(owner);
    const auto attemptEntry = m_attemptByExchange.find(exchange);
    if (attemptEntry != m_attemptByExchange.end()) {
        onAttemptEnded(attemptEntry->second, code);
        return;
    }
    const auto probeEntry = m_probeByExchange.find(exchange);
    if (probeEntry != m_probeByExchange.end())
        onProbeEnded(probeEntry->second, code);
}

bool worker_transport::retryOnNewConnection(http_exchange &exchange, instant deadline,
                                            bool &retried)
{
    const duration timeLeft = deadline - m_loop->now();
    if (!exchange.hadStaleConnection() || exchange.transmissions() > 0 || retried
        || timeLeft < timeLeftMin)
        return false;
    m_counters.add("worker_stale_connections_total");
    retried = true;
    exchange.prepareNewConnection(timeLeft);
    return m_curl->add(exchange.handle()).has_value();
}

void worker_transport::onAttemptEnded(attempt_id id, CURLcode code)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    if (retryOnNewConnection(*found->second->exchange, found->second->deadline,
                             found->second->retriedOnNewConnection))
        return;
    const std::unique_ptr<attempt> ended = std::move(found->second);
    m_attempts.erase(found);
    http_exchange &exchange = *ended->exchange;
    m_attemptByExchange.erase(&exchange);
    countExchange(exchange);
    response_reader &reader = exchange.reader();
    attempt_finished outcome;
    outcome.attempt = id;
    if (code == CURLE_OK && reader.validate()) {
        outcome.end = attempt_end::answered;
        if (m_protocol.isLoadMalformed(reader))
            m_counters.add("worker_load_headers_malformed_total");
        m_protocol.parseResponse(reader, ended->command, outcome);
    } else if (exchange.transmissions() == 0) {
        outcome.end = attempt_end::not_sent;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        outcome.end = attempt_end::timed_out;
    } else {
        outcome.end = attempt_end::broken;
    }
    if (outcome.end != attempt_end::answered && outcome.detail.empty()) {
        outcome.detail = exchange.wasRetransmissionRefused()
                             ? "the connection was lost before a response and "
                               "the request is not sent twice"
                         : !reader.failure().empty() ? reader.failure()
                                                     : curl_easy_strerror(code);
    }
    if (exchange.wasRetransmissionRefused())
        m_counters.add("worker_retransmissions_refused_total");
    if (reader.hasInvalidFraming())
        m_counters.add("worker_responses_badly_framed_total");
    reportTooLarge(exchange);
    // Waiting attempts get the free connection before attempts that the report may start.
    releaseConnectionSlot(ended->command.workerAddress);
    updateGauges();
    finishAttempt(std::move(outcome), false);
}

void worker_transport::onProbeEnded(probe_id id, CURLcode code)
{
    const auto found = m_probes.find(id);
    if (found == m_probes.end())
        return;
    if (retryOnNewConnection(*found->second->exchange, found->second->deadline,
                             found->second->retriedOnNewConnection))
        return;
    const std::unique_ptr<probe> ended = std::move(found->second);
    m_probes.erase(found);
    http_exchange &exchange = *ended->exchange;
    m_probeByExchange.erase(&exchange);
    countExchange(exchange);
    reportTooLarge(exchange);
    probe_finished outcome;
    outcome.probe = id;
    const std::uint64_t bytes = exchange.bytesSent() + exchange.bytesReceived();
    outcome.bytes = static_cast<std::uint32_t>(bytes);
    m_counters.add("worker_probe_bytes_total", bytes);
    if (code == CURLE_OK && exchange.reader().validate()) {
        m_protocol.parseProbeResponse(exchange.reader(), ended->command, outcome);
        if (!outcome.load && exchange.reader().status() == 200)
            m_counters.add("worker_load_documents_malformed_total");
    }
    if (!outcome.load)
        m_counters.add("worker_probes_failed_total");
    updateGauges();
    m_decision->deliver(outcome);
}

void worker_transport::countExchange(const http_exchange &exchange)
{
    m_counters.add("worker_bytes_sent_total", exchange.bytesSent());
    m_counters.add("worker_bytes_received_total", exchange.bytesReceived());
    if (exchange.transmissions() > 1)
        m_counters.add("worker_retransmissions_total", exchange.transmissions() - 1);
}

/// Counts and logs a response that exceeded a bound.
void worker_transport::reportTooLarge(http_exchange &exchange)
{
    if (!exchange.reader().isTooLarge())
        return;
    m_counters.add("worker_responses_too_large_total");
    const instant now = m_loop->now();
    if (now - m_tooLargeLoggedAt < tooLargeLogInterval)
        return;
    m_tooLargeLoggedAt = now;
    log_line(log_level::warning, "workers", "A response was larger than allowed.")
        .field("worker", exchange.address())
        .field("cause", exchange.reader().failure());
}

void worker_transport::finishAttempt(attempt_finished outcome, bool deferred)
{
    m_counters.add(endedCounterName(outcome.end));
    if (deferred)
        defer(std::move(outcome));
    else
        m_decision->deliver(std::move(outcome));
}

void worker_transport::defer(event input)
{
    m_deferred.push_back(std::move(input));
    if (!m_deferredTimer->isActive())
        m_deferredTimer->start(duration(0));
}

void worker_transport::deliverDeferred()
{
    // Commands that follow from these events may defer further events, which are delivered in the
    // next iteration of the loop.
    std::vector<event> due;
    due.swap(m_deferred);
    for (event &input : due)
        m_decision->deliver(std::move(input));
}

void worker_transport::updateGauges()
{
    m_counters.set("worker_attempts_in_progress", static_cast<double>(m_attempts.size()));
    m_counters.set("worker_attempts_waiting", static_cast<double>(m_waitingAttempts));
    m_counters.set("worker_probes_in_progress", static_cast<double>(m_probes.size()));
    m_counters.set("worker_response_bytes_held", static_cast<double>(m_responseBytes.held()));
    m_counters.set("worker_connections_open", static_cast<double>(m_connections.openSocketCount()));
    m_counters.add("worker_connections_opened_total",
                   m_connections.socketsOpenedTotal() - m_socketsOpenedReported);
    m_socketsOpenedReported = m_connections.socketsOpenedTotal();
    m_counters.set("worker_reads_deferred_total",
                   static_cast<double>(m_curl->deferredReadsTotal()));
}

} // namespace almondnotch
