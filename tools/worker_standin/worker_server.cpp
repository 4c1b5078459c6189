#include "tools/worker_standin/worker_server.h"

#include <algorithm>

#include <unistd.h>

namespace almondnotch {

namespace {

/// Age up to which load samples are kept, which limits the effect of `lagMs`.
constexpr double lagSecondsMax = 60;

std::string jsonResponse(int status, const nlohmann::json &document)
{
    return framedResponse(status, {{"Content-Type", "application/json"}},
                          document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                              + "\n");
}

std::string encodeChunk(std::string_view data)
{
    static const char *const digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = data.size(); rest != 0; rest /= 16)
        size.insert(size.begin(), digits[rest % 16]);
    return size + "\r\n" + std::string(data) + "\r\n";
}

std::string formatHead(int status, const std::vector<header_field> &headers)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " OK\r\n";
    for (const header_field &field : headers)
        out += field.name + ": " + field.value + "\r\n";
    return out + "\r\n";
}

} // namespace

result<std::unique_ptr<worker_server>>
worker_server::create(ev::loop_ref loop, const std::string &address, std::string name,
                      worker_behaviour behaviour, std::uint64_t seed,
                      const std::vector<std::unique_ptr<worker_server>> &workers)
{
    std::unique_ptr<worker_server> server(
        new worker_server(loop, std::move(name), std::move(behaviour), seed, workers));
    const result<void> listening = server->listen(address);
    if (!listening)
        return tl::unexpected(listening.error());
    return server;
}

worker_server::worker_server(ev::loop_ref loop, std::string name, worker_behaviour behaviour,
                             std::uint64_t seed,
                             const std::vector<std::unique_ptr<worker_server>> &workers)
    : m_loop(loop), m_name(std::move(name)), m_behaviour(std::move(behaviour)), m_random(seed),
      m_workers(workers), m_restartTimer(loop)
{
    m_restartTimer.set<worker_server, &worker_server::restartTimerExpired>(this);
}

result<void> worker_server::listen(const std::string &address)
{
    result<std::unique_ptr<http_fake>> http = http_fake::create(
        m_loop, address, [this](connection_id connection, const received_request &request) {
            handleRequest(connection, request);
        });
    if (!http)
        return tl::unexpected(http.error());
    m_http = std::move(*http);
    m_http->setCloseHandler([this](connection_id connection) { connectionClosed(connection); });
    m_address = m_http->address();
    return {};
}

void worker_server::handleRequest(connection_id connection, const received_request &request)
{
    m_peakConnections = std::max(m_peakConnections, m_http->openConnections());
    if (request.path.starts_with("/control/"))
        handleControl(connection, request);
    else if (request.path == "/almondnotch/load")
        handleLoad(connection);
    else
        handleCall(connection, request);
}

void worker_server::handleLoad(connection_id connection)
{
    m_counters.add("load_reads");
    if (m_behaviour.loadFault == "hang")
        return;
    if (m_behaviour.loadFault == "close") {
        m_http->close(connection);
        return;
    }
    if (m_behaviour.loadFault == "garbage") {
        m_http->respond(connection, framedResponse(200, {}, "{\"running\":-1,\"slots\":\"x\"}"));
        return;
    }
    const load_sample load = reportedLoad();
    m_http->respond(connection, jsonResponse(200, {{"running", load.running},
                                                   {"queued", load.queued},
                                                   {"slots", m_behaviour.slots},
                                                   {"state", load.state}}));
}

void worker_server::handleControl(connection_id connection, const received_request &request)
{
    const bool all = request.parameter("all") == "1";
    if (request.method == "POST" && request.path == "/control/set") {
        std::map<std::string, std::string, std::less<>> parameters = request.query;
        parameters.erase("all");
        result<void> done = setParameters(parameters);
        for (const std::unique_ptr<worker_server> &worker : m_workers) {
            if (done && all)
                done = worker->setParameters(parameters);
        }
        m_http->respond(connection, done ? jsonResponse(200, stats())
                                         : jsonResponse(400, {{"error", toString(done.error())}}));
    } else if (request.method == "GET" && request.path == "/control/stats") {
        nlohmann::json document = stats();
        if (all) {
            document = nlohmann::json::array();
            for (const std::unique_ptr<worker_server> &worker : m_workers)
                document.push_back(worker->stats());
        }
        m_http->respond(connection, jsonResponse(200, document));
    } else if (request.method == "GET" && request.path == "/control/log") {
        m_http->respond(connection, jsonResponse(200, executionLog(request)));
    } else {
        m_http->respond(connection, jsonResponse(404, {{"error", "unknown control request"}}));
    }
}

result<void>
worker_server::setParameters(const std::map<std::string, std::string, std::less<>> &parameters)
{
    const result<void> done = m_behaviour.apply(parameters);
    if (done) {
        recordLoad();
        startQueued();
    }
    return done;
}

worker_fault worker_server::selectFault(const received_request &request)
{
    if (!m_behaviour.crashText.empty()
        && request.body.find(m_behaviour.crashText) != std::string::npos)
        return worker_fault::crash;
    const std::string wanted = request.header("X-Fault");
    if (!wanted.empty())
        return parseWorkerFault(wanted).value_or(worker_fault::none);
    if (m_behaviour.fault != "none" && m_random.uniform() < m_behaviour.faultRate)
        return parseWorkerFault(m_behaviour.fault).value_or(worker_fault::none);
    return worker_fault::none;
}

void worker_server::handleCall(connection_id connection, const received_request &request)
{
    m_counters.add("received");
    const worker_fault fault = selectFault(request);
    if (fault == worker_fault::fast_fail) {
        m_counters.add("fast_failed");
        m_http->respond(connection, framedResponse(500, loadHeaders(), {}));
        return;
    }
    if (m_behaviour.state == "draining") {
        reject(connection, "draining");
        return;
    }
    std::unique_ptr<call> arrived = std::make_unique<call>();
    arrived->connection = connection;
    arrived->request = request;
    arrived->fault = fault;
    const std::string deadline = request.header("Almondnotch-Deadline-Ms");
    if (!deadline.empty())
        arrived->deadline = m_loop.now() + std::strtod(deadline.c_str(), nullptr) / 1000.0;
    if (static_cast<std::int64_t>(m_running.size()) < m_behaviour.slots) {
        startCall(std::move(arrived));
    } else if (static_cast<std::int64_t>(m_queue.size()) < m_behaviour.queueMax) {
        m_queue.push_back(std::move(arrived));
        recordLoad();
    } else {
        reject(connection, "shed");
    }
}

void worker_server::reject(connection_id connection, const char *reason)
{
    m_counters.add(std::string("refused_") + reason);
    std::vector<header_field> headers = loadHeaders();
    headers.push_back({"Almondnotch-Outcome", "not-run"});
    headers.push_back({"X-Refused", reason});
    // Without a body, so that the response is valid for HEAD as well.
    m_http->respond(connection, framedResponse(503, headers, {}));
}

void worker_server::startQueued()
{
    while (!m_queue.empty() && static_cast<std::int64_t>(m_running.size()) < m_behaviour.slots) {
        std::unique_ptr<call> next = std::move(m_queue.front());
        m_queue.pop_front();
        if (next->deadline > 0 && next->deadline < m_loop.now())
            reject(next->connection, "expired");
        else
            startCall(std::move(next));
    }
}

void worker_server::startCall(std::unique_ptr<call> started)
{
    m_counters.add("started");
    std::string identity = started->request.header("Idempotency-Key");
    if (identity.empty())
        identity = started->request.header("X-Call-Id");
    if (!identity.empty()) {
        if (m_executions.size() < logEntriesMax || m_executions.contains(identity))
            ++m_executions[identity];
        else
            m_counters.add("log_overflow");
    }
    if (started->fault == worker_fault::crash) {
        crash();
        return;
    }
    double mean = m_behaviour.serviceMs / 1000.0 * m_behaviour.slowFactor;
    if (m_behaviour.state == "cold")
        mean *= m_behaviour.coldFactor;
    const double serviceSeconds
        = m_behaviour.distribution == "exponential" ? m_random.exponential(mean) : mean;
    started->finishTimer.set(m_loop);
    started->finishTimer.set<worker_server, &worker_server::callFinished>(this);
    if (started->fault != worker_fault::hang)
        started->finishTimer.start(serviceSeconds);
    const connection_id connection = started->connection;
    m_running[connection] = std::move(started);
    recordLoad();
}

void worker_server::callFinished(ev::timer &timer, int /*events*/)
{
    const auto found
        = std::find_if(m_running.begin(), m_running.end(),
                       [&timer](const std::pair<const connection_id, std::unique_ptr<call>> &item) {
                           return &item.second->finishTimer == &timer;
                       });
    if (found == m_running.end())
        return;
    const std::unique_ptr<call> ended = std::move(found->second);
    m_running.erase(found);
    m_counters.add("finished");
    startQueued();
    recordLoad();
    sendResult(*ended);
}

void worker_server::sendResult(const call &ended)
{
    const received_request &request = ended.request;
    nlohmann::json document = {{"worker", m_name},
                               {"method", request.method},
                               {"target", request.target},
                               {"body", request.body},
                               {"key", request.header("Idempotency-Key")},
                               {"call_id", request.header("X-Call-Id")},
                               {"request_id", request.header("Almondnotch-Request-Id")},
                               {"deadline_ms", request.header("Almondnotch-Deadline-Ms")},
                               {"depth", request.header("Almondnotch-Depth")},
                               {"attempt", request.header("Almondnotch-Attempt")}};
    if (m_behaviour.padBytes > 0)
        document["pad"] = std::string(static_cast<std::size_t>(m_behaviour.padBytes), 'x');
    const std::string body
        = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    const std::string_view firstHalf = std::string_view(body).substr(0, body.size() / 2);
    std::vector<header_field> headers = loadHeaders();
    headers.push_back({"Content-Type", "application/json"});
    std::vector<header_field> chunkedHeaders = headers;
    chunkedHeaders.push_back({"Transfer-Encoding", "chunked"});
    const std::string response = framedResponse(200, headers, body);
    switch (ended.fault) {
    case worker_fault::close_before:
        m_http->close(ended.connection);
        return;
    case worker_fault::close_mid_length:
        m_http->respond(ended.connection, response.substr(0, response.size() - firstHalf.size()),
                        true);
        return;
    case worker_fault::close_mid_unframed:
        m_http->respond(ended.connection, formatHead(200, headers) + std::string(firstHalf), true);
        return;
    case worker_fault::unframed:
        m_http->respond(ended.connection, formatHead(200, headers) + body, true);
        return;
    case worker_fault::chunked_cut:
        m_http->respond(ended.connection, formatHead(200, chunkedHeaders) + encodeChunk(firstHalf),
                        true);
        return;
    case worker_fault::chunked:
        m_http->respond(ended.connection,
                        formatHead(200, chunkedHeaders) + encodeChunk(firstHalf)
                            + encodeChunk(std::string_view(body).substr(firstHalf.size()))
                            + "0\r\n\r\n");
        return;
    default:
        break;
    }
    if (request.method == "HEAD")
        m_http->respond(ended.connection,
                        std::string_view(response).substr(0, response.size() - body.size()));
    else
        m_http->respond(ended.connection, response);
}

void worker_server::connectionClosed(connection_id connection)
{
    const auto running = m_running.find(connection);
    if (running != m_running.end()) {
        m_running.erase(running);
        m_counters.add("cancelled_running");
        startQueued();
    }
    const std::size_t removed
        = std::erase_if(m_queue, [connection](const std::unique_ptr<call> &waiting) {
              return waiting->connection == connection;
          });
    if (removed > 0)
        m_counters.add("cancelled_queued", removed);
    recordLoad();
}

void worker_server::crash()
{
    m_counters.add("crashes");
    if (m_behaviour.restartMs <= 0)
        _exit(1);
    // The HTTP server is on the call stack, so it is destroyed in the next loop iteration.
    m_restartTimer.stop();
    m_restartTimer.start(0.0);
}

void worker_server::restartTimerExpired(ev::timer & /*timer*/, int /*events*/)
{
    if (m_http) {
        m_http.reset();
        m_running.clear();
        m_queue.clear();
        m_restartTimer.start(static_cast<double>(m_behaviour.restartMs) / 1000.0);
        return;
    }
    const std::string address = m_address;
    if (!listen(address))
        m_restartTimer.start(0.1);
}

void worker_server::recordLoad()
{
    if (m_behaviour.lagMs == 0) {
        m_samples.clear();
        return;
    }
    const double now = m_loop.now();
    m_samples.push_back({now, static_cast<std::int64_t>(m_running.size()),
                         static_cast<std::int64_t>(m_queue.size()), m_behaviour.state});
    while (m_samples.size() > 1 && m_samples[1].time < now - lagSecondsMax)
        m_samples.pop_front();
}

worker_server::load_sample worker_server::reportedLoad() const
{
    load_sample load {m_loop.now(), static_cast<std::int64_t>(m_running.size()),
                      static_cast<std::int64_t>(m_queue.size()), m_behaviour.state};
    if (m_behaviour.lagMs > 0 && !m_samples.empty()) {
        const double wanted = load.time - static_cast<double>(m_behaviour.lagMs) / 1000.0;
        const auto next = std::upper_bound(
            m_samples.begin(), m_samples.end(), wanted,
            [](double time, const load_sample &sample) { return time < sample.time; });
        load = next == m_samples.begin() ? m_samples.front() : *std::prev(next);
    }
    if (m_behaviour.loadOverride == "idle") {
        load.running = 0;
        load.queued = 0;
    } else if (m_behaviour.loadOverride == "full") {
        load.running = m_behaviour.slots;
        load.queued = m_behaviour.queueMax;
    }
    return load;
}

std::vector<header_field> worker_server::loadHeaders() const
{
    if (m_behaviour.loadHeaders == 0)
        return {};
    const load_sample load = reportedLoad();
    return {{"Almondnotch-Load", "running=" + std::to_string(load.running)
                                     + ";queued=" + std::to_string(load.queued)
                                     + ";slots=" + std::to_string(m_behaviour.slots)},
            {"Almondnotch-State", load.state}};
}

nlohmann::json worker_server::stats() const
{
    nlohmann::json document = m_counters.dump();
    document["worker"] = m_name;
    document["address"] = m_address;
    document["running"] = m_running.size();
    document["queued"] = m_queue.size();
    document["slots"] = m_behaviour.slots;
    document["state"] = m_behaviour.state;
    document["connections"] = m_http ? m_http->openConnections() : 0;
    document["connections_accepted"] = m_http ? m_http->acceptedConnections() : 0;
    document["connections_max"] = m_peakConnections;
    return document;
}

nlohmann::json worker_server::executionLog(const received_request &request) const
{
    const bool all = request.parameter("all") == "1";
    const bool repeatedOnly = request.parameter("repeated") == "1";
    const std::string key = request.parameter("key");
    std::map<std::string, std::uint64_t> counts;
    const auto collect = [&](const worker_server &from) {
        for (const std::pair<const std::string, std::uint32_t> &item : from.executions()) {
            if (key.empty() || key == item.first)
                counts[item.first] += item.second;
        }
    };
    if (all) {
        for (const std::unique_ptr<worker_server> &worker : m_workers)
            collect(*worker);
    } else {
        collect(*this);
    }
    const std::size_t identities = counts.size();
    if (repeatedOnly)
        std::erase_if(counts, [](const std::pair<const std::string, std::uint64_t> &item) {
            return item.second <= 1;
        });
    return {{"executions", counts},
            {"identities", identities},
            {"overflow", m_counters.value("log_overflow")}};
}

} // namespace almondnotch
