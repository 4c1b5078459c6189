#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/byte_budget.h"
#include "core/counters.h"
#include "servers/curl_loop/connection_table.h"
#include "servers/curl_loop/curl_loop.h"
#include "servers/curl_loop/easy_handle_pool.h"
#include "servers/curl_loop/http_exchange.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/service_interfaces.h"
#include "servers/worker_transport/worker_protocol.h"
#include "servers/worker_transport/worker_transport_settings.h"

namespace almondnotch {

/// Sends attempts and probes to workers with libcurl (docs/design.md, section 3.2).
///
/// Guarantees:
/// - `answered` is reported only for a complete response. Its end is determined by its framing or,
///   if the protocol allows it, by an orderly close of the connection.
/// - `not_sent` is reported only if no byte of the request was sent.
/// - The request of an attempt is transmitted at most once.
/// - A connection on which a response may still arrive is closed, never reused.
///
/// The bytes of a response are bounded, and those of all responses together
/// (`worker_transport_settings::heldResponseBytesMax`). A response beyond a bound ends its attempt
/// as broken.
///
/// Attempts at one worker never use more connections than their `connectionLimit`. Further attempts
/// wait in a bounded queue while their time limit runs. A probe does not wait: it may open one
/// connection beyond the limit, which is closed after use.
class worker_transport : public worker_transport_interface
{
public:
    /// \param protocol must outlive the service.
    explicit worker_transport(worker_transport_settings settings,
                              const worker_protocol &protocol = nativeWorkerProtocol());
    ~worker_transport() override;

    result<void> start(service_manager &owner) override;
    /// Aborts all exchanges without reporting them.
    void stop() override;

    void startAttempt(const start_attempt &command) override;
    void cancelAttempt(const cancel_attempt &command) override;
    void withdrawAttempt(const withdraw_attempt &command) override;
    void startProbe(const start_probe &command) override;
    const counter_set &counters() const override { return m_counters; }

private:
    struct attempt
    {
        start_attempt command;
        instant deadline;
        bool isWaiting = false;
        bool retriedOnNewConnection = false;
        std::unique_ptr<http_exchange> exchange;
        std::unique_ptr<timer_watcher> waitTimer;
    };
    struct probe
    {
        start_probe command;
        instant deadline;
        bool retriedOnNewConnection = false;
        std::unique_ptr<http_exchange> exchange;
    };
    /// Attempts at one worker: the number of those that use a connection, the maximum of that
    /// number (`start_attempt::connectionLimit`), and the queue of those that wait for a
    /// connection.
    struct worker_attempts
    {
        unsigned activeCount = 0;
        unsigned connectionsMax = 1;
        std::deque<attempt_id> queue;
    };

    static bool isUnsent(const attempt &started);
    /// Ends an attempt that is waiting or in progress and reports `outcome`, whose `end` is set to
    /// `not_sent` or `cancelled`.
    void abort(attempt_finished outcome);
    void enqueue(attempt &queued, worker_attempts &worker);
    void send(attempt &started);
    void removeFromQueue(const attempt &dequeued);
    void releaseConnectionSlot(const std::string &workerAddress);
    void startWaitingAttempts(worker_attempts &worker);
    void removeWorkerIfUnused(const std::string &workerAddress);
    void onTransferEnded(CURL *transfer, CURLcode code);
    void onAttemptEnded(attempt_id id, CURLcode code);
    void onProbeEnded(probe_id id, CURLcode code);
    /// Retries an exchange, once, if its reused connection was stale.
    /// \return false if no retry was started.
    bool retryOnNewConnection(http_exchange &exchange, instant deadline, bool &retried);
    void countExchange(const http_exchange &exchange);
    void reportTooLarge(http_exchange &exchange);
    /// Counts the end of an attempt and reports it.
    /// \param deferred true to deliver the event in the next iteration of the loop. Required while
    /// `startAttempt` or `cancelAttempt` runs, since both must return before the event is
    /// delivered.
    void finishAttempt(attempt_finished outcome, bool deferred);
    /// Delivers an event in the next iteration of the loop.
    void defer(event input);
    void deliverDeferred();
    void updateGauges();

    worker_transport_settings m_settings;
    const worker_protocol &m_protocol;
    event_loop *m_loop = nullptr;
    event_sink *m_decision = nullptr;
    counter_set m_counters;
    /// Holds the bodies of the responses that are being received.
    byte_budget m_responseBytes;
    /// When a response that was too large was last logged.
    instant m_tooLargeLoggedAt;
    connection_table m_connections;
    easy_handle_pool m_handles;
    std::unique_ptr<curl_loop> m_curl;
    std::unordered_map<attempt_id, std::unique_ptr<attempt>> m_attempts;
    std::unordered_map<probe_id, std::unique_ptr<probe>> m_probes;
    /// The attempt or probe to which an exchange in the multi handle belongs.
    std::unordered_map<const http_exchange *, attempt_id> m_attemptByExchange;
    std::unordered_map<const http_exchange *, probe_id> m_probeByExchange;
    std::unordered_map<std::string, worker_attempts> m_workers;
    std::size_t m_waitingAttempts = 0;
    /// Value of `connection_table::socketsOpenedTotal` at the last update of the counters.
    std::uint64_t m_socketsOpenedReported = 0;
    std::vector<event> m_deferred;
    std::unique_ptr<timer_watcher> m_deferredTimer;
};

} // namespace almondnotch
