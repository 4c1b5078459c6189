#include "servers/http_entry/http_entry.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "servers/http_entry/request_target.h"
#include "servers/http_entry/response_writer.h"

namespace almondnotch {

namespace {

constexpr std::size_t serviceNameBytesMax = 256;
/// How long requests and connections that are already on their way are still answered before the
/// listener closes.
constexpr duration lingerTime = milliseconds(50);

} // namespace

http_entry::http_entry(entry_settings settings, const caller_protocol &protocol)
    : m_context(std::move(settings), protocol)
{ }

http_entry::~http_entry()
{
    stop();
}

result<void> http_entry::start(service_manager &owner)
{
    const result<event_loop *> loop = owner.find<event_loop>("loop");
    if (!loop)
        return tl::unexpected(loop.error());
    const result<event_sink *> decision = owner.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    m_context.loop = *loop;
    m_decision = *decision;
    m_stopping = false;

    result<std::unique_ptr<connection_listener>> listener = connection_listener::create(
        **loop, m_context.settings.address, [this](int descriptor) { openConnection(descriptor); });
    if (!listener)
        return tl::unexpected(listener.error());
    m_listener = std::move(*listener);

    m_flush = std::make_unique<flush_wait>(**loop);
    m_checkTimer = std::make_unique<timer_watcher>(**loop, [this] { checkConnections(); });
    m_checkTimer->startRepeating(
        std::clamp<duration>(m_context.settings.receiveTimeMax / 4, milliseconds(50), seconds(1)));
    return {};
}

void http_entry::stop()
{
    m_stopping = true;
    m_checkTimer.reset();
    m_lingerTimer.reset();
    m_flush.reset();
    m_waiting.clear();
    m_connections.clear();
    m_listener.reset();
}

void http_entry::openConnection(int descriptor)
{
    connection_observer &observer = *this;
    std::unique_ptr<caller_connection> created
        = std::make_unique<caller_connection>(m_context, observer, descriptor);
    caller_connection *const borrowed = created.get();
    m_connections.emplace(borrowed, std::move(created));
    m_context.counters.add("entry_connections_total");
    m_context.counters.set("entry_connections", static_cast<double>(m_connections.size()));
    if (m_connections.size() >= m_context.settings.connectionsMax)
        m_listener->pause();
}

void http_entry::onConnectionEnded(caller_connection &connection)
{
    m_connections.erase(&connection);
    m_context.counters.set("entry_connections", static_cast<double>(m_connections.size()));
    if (m_connections.size() < m_context.settings.connectionsMax)
        m_listener->resume();
}

void http_entry::onRequest(caller_exchange &exchange)
{
    if (exchange.rejection) {
        exchange.connection->respond(exchange, makeProblemResponse(*exchange.rejection), false);
        return;
    }
    const std::string_view path = pathOf(exchange.request->target);
    const std::string_view reservedPrefix = m_context.protocol.reservedPathPrefix();
    if (!reservedPrefix.empty() && path.starts_with(reservedPrefix)) {
        answerReservedPath(exchange, path.substr(reservedPrefix.size()));
        return;
    }
    m_context.counters.add("entry_calls_total");
    await(exchange, false);
    m_decision->deliver(call_received {call_id {exchange.id}, exchange.request});
}

void http_entry::answerReservedPath(caller_exchange &exchange, std::string_view path)
{
    const std::string &method = exchange.request->method;
    if (path != "entry" && path != "health") {
        reject(exchange,
               {404, "not-found", "No such resource", "expected \"entry\" or \"health\""});
        return;
    }
    if (method != "GET" && method != "HEAD") {
        reject(exchange, {405, "method-not-allowed", "Method not allowed", "expected GET or HEAD"});
        return;
    }
    if (path == "entry") {
        receiveEntryQuery(exchange);
        return;
    }
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = 200;
    response->headers.push_back({"Content-Type", "text/plain"});
    response->body = "ok\n";
    exchange.connection->respond(exchange, std::move(response), false);
}

void http_entry::receiveEntryQuery(caller_exchange &exchange)
{
    const std::string serviceName
        = queryParameter(exchange.request->target, "service").value_or("");
    if (serviceName.empty() || serviceName.size() > serviceNameBytesMax) {
        reject(exchange, {400, "service-invalid", "Invalid service name",
                          "expected the query parameter service with 1 to "
                              + std::to_string(serviceNameBytesMax) + " bytes"});
        return;
    }
    m_context.counters.add("entry_queries_total");
    exchange.service = serviceName;
    await(exchange, true);
    m_decision->deliver(entry_query {query_id {exchange.id}, serviceName});
}

void http_entry::reject(caller_exchange &exchange, const request_rejection &reason)
{
    rejectExchange(m_context, reason, exchange);
    exchange.connection->respond(exchange, makeProblemResponse(*exchange.rejection), false);
}

/// Must be called before the event is delivered, since the response may be sent from within the
/// delivery.
void http_entry::await(caller_exchange &exchange, bool isQuery)
{
    exchange.id = ++m_lastId;
    exchange.isQuery = isQuery;
    m_waiting.emplace(exchange.id, &exchange);
}

void http_entry::onCallerGone(caller_exchange &exchange)
{
    m_waiting.erase(exchange.id);
    if (m_stopping)
        return;
    m_context.counters.add("entry_callers_disconnected_total");
    if (!exchange.isQuery)
        m_decision->deliver(caller_disconnected {call_id {exchange.id}});
}

void http_entry::sendResponse(const send_response &command)
{
    answerWaiting(static_cast<std::uint64_t>(command.call), false, command.response,
                  command.closeConnection);
}

void http_entry::sendEntryResponse(const send_entry_response &command)
{
    const std::uint64_t id = static_cast<std::uint64_t>(command.query);
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end() || !found->second->isQuery) {
        m_context.counters.add("entry_responses_dropped_total");
        return;
    }
    const caller_exchange &exchange = *found->second;
    if (command.addresses.empty()) {
        const problem problemDocument = makeRejectionProblem(
            m_context,
            {503, "entry-unavailable", "No entry address",
             command.refusalReason.empty() ? "no address is known" : command.refusalReason},
            exchange);
        answerWaiting(id, true, makeProblemResponse(problemDocument), false);
        return;
    }
    answerWaiting(id, true, makeEntryResponse(exchange.service, command), false);
}

void http_entry::answerWaiting(std::uint64_t id, bool isQuery, shared_response response, bool close)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end() || found->second->isQuery != isQuery) {
        m_context.counters.add("entry_responses_dropped_total");
        return;
    }
    caller_exchange &exchange = *found->second;
    m_waiting.erase(found);
    exchange.connection->respond(exchange, std::move(response), close);
}

void http_entry::onUnsentChanged(std::ptrdiff_t change)
{
    m_unsent += static_cast<std::size_t>(change);
    if (m_unsent == 0 && m_flush)
        m_flush->notifyFlushed();
}

void http_entry::flush(duration timeLimit, std::function<void()> done)
{
    m_lingerTimer = std::make_unique<timer_watcher>(
        *m_context.loop, [this, timeLimit, done = std::move(done)] {
            m_listener->close();
            m_flush->begin(m_unsent == 0, timeLimit, done);
        });
    m_lingerTimer->start(lingerTime);
}

/// Enforces the time limits of the connections.
void http_entry::checkConnections()
{
    const instant now = m_context.loop->now();
    std::vector<caller_connection *> ended;
    for (const auto &[connection, owner] : m_connections) {
        if (connection->checkTime(now))
            ended.push_back(connection);
    }
    for (caller_connection *const connection : ended)
        onConnectionEnded(*connection);
}

} // namespace almondnotch
