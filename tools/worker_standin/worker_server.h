#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <ev++.h>
#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/error.h"
#include "core/random_source.h"
#include "tests/standins/http_fake/http_fake.h"
#include "tools/worker_standin/worker_behaviour.h"

namespace almondnotch {

/// One worker of the stand-in: executes calls in slots, queues or rejects further ones, reports its
/// load in response headers and at `/almondnotch/load` (section 3.2 of the design), and injects the
/// configured faults.
///
/// The response echoes the request, so that a caller can check that they belong together. The
/// execution log counts how often the call with a given identity was started; the identity is the
/// value of `Idempotency-Key`, or of `X-Call-Id` if the call has no key. The log survives a
/// simulated crash, since tests check it and it is not part of the simulated worker.
class worker_server
{
public:
    /// Maximum number of identities in the execution log; further ones are counted as overflow.
    static constexpr std::size_t logEntriesMax = 1'000'000;

    /// \param workers all workers of the process, for control requests with `all=1`.
    static result<std::unique_ptr<worker_server>>
    create(ev::loop_ref loop, const std::string &address, std::string name,
           worker_behaviour behaviour, std::uint64_t seed,
           const std::vector<std::unique_ptr<worker_server>> &workers);
    worker_server(const worker_server &) = delete;
    worker_server &operator=(const worker_server &) = delete;

    const std::string &address() const { return m_address; }
    result<void> setParameters(const std::map<std::string, std::string, std::less<>> &parameters);
    nlohmann::json stats() const;
    const std::unordered_map<std::string, std::uint32_t> &executions() const
    {
        return m_executions;
    }

private:
    using connection_id = http_fake::connection_id;

    struct call
    {
        connection_id connection = 0;
        received_request request;
        worker_fault fault = worker_fault::none;
        /// Event loop time in seconds after which the call is not started; 0 without a deadline.
        double deadline = 0;
        ev::timer finishTimer;
    };
    struct load_sample
    {
        /// Event loop time in seconds.
        double time = 0;
        std::int64_t running = 0;
        std::int64_t queued = 0;
        std::string state;
    };

    worker_server(ev::loop_ref loop, std::string name, worker_behaviour behaviour,
                  std::uint64_t seed, const std::vector<std::unique_ptr<worker_server>> &workers);

    result<void> listen(const std::string &address);
    void handleRequest(connection_id connection, const received_request &request);
    void handleLoad(connection_id connection);
    void handleControl(connection_id connection, const received_request &request);
    void handleCall(connection_id connection, const received_request &request);
    void startQueued();
    void startCall(std::unique_ptr<call> started);
    void callFinished(ev::timer &timer, int events);
    void sendResult(const call &ended);
    void reject(connection_id connection, const char *reason);
    void connectionClosed(connection_id connection);
    void crash();
    /// Shuts the HTTP server down on the first call after a crash, and listens again on the next
    /// one, `restartMs` later. Retries every 100 ms if listening fails.
    void restartTimerExpired(ev::timer &timer, int events);
    void recordLoad();
    load_sample reportedLoad() const;
    std::vector<header_field> loadHeaders() const;
    nlohmann::json executionLog(const received_request &request) const;
    worker_fault selectFault(const received_request &request);

    ev::loop_ref m_loop;
    std::string m_name;
    std::string m_address;
    worker_behaviour m_behaviour;
    random_source m_random;
    const std::vector<std::unique_ptr<worker_server>> &m_workers;
    std::unique_ptr<http_fake> m_http;
    std::map<connection_id, std::unique_ptr<call>> m_running;
    std::deque<std::unique_ptr<call>> m_queue;
    std::deque<load_sample> m_samples;
    std::unordered_map<std::string, std::uint32_t> m_executions;
    counter_set m_counters;
    /// Most connections that were open at the arrival of a request.
    std::size_t m_peakConnections = 0;
    ev::timer m_restartTimer;
};

} // namespace almondnotch
