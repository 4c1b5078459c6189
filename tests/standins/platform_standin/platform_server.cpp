#include "tests/standins/platform_standin/platform_server.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondnotch {

namespace {

const char *const valuePrefix = "/v1/values/";
const char *const vmListPath = "/v1/vms";
const char *const controlPrefix = "/control/";
const char *const controlValuePrefix = "/control/value/";
/// Key of the VM list. No value can have it, since the keys of values are not empty.
const char *const vmListKey = "";
/// Limit of the duration of a watch, so that a faulty client cannot hold a connection indefinitely.
constexpr std::int64_t waitMsMax = 600'000;

std::string jsonResponse(int status, const nlohmann::json &document)
{
    return framedResponse(status, {{"Content-Type", "application/json"}}, document.dump() + "\n");
}

std::string errorResponse(int status, const std::string &message)
{
    return jsonResponse(status, {{"error", message}});
}

} // namespace

result<std::unique_ptr<platform_server>> platform_server::create(ev::loop_ref loop,
                                                                 const std::string &address)
{
    std::unique_ptr<platform_server> created(new platform_server(loop));
    platform_server *server = created.get();
    result<std::unique_ptr<http_fake>> http = http_fake::create(
        loop, address, [server](connection_id connection, const received_request &request) {
            server->handleRequest(connection, request);
        });
    if (!http)
        return tl::unexpected(http.error());
    created->m_http = std::move(*http);
    created->m_http->setCloseHandler(
        [server](connection_id connection) { server->connectionClosed(connection); });
    return created;
}

platform_server::platform_server(ev::loop_ref loop) : m_loop(loop) { }

void platform_server::handleRequest(connection_id connection, const received_request &request)
{
    if (request.path.starts_with(controlPrefix)) {
        handleControl(connection, request);
        return;
    }
    if (request.method != "GET") {
        m_http->respond(connection, errorResponse(405, "only GET is supported"));
        return;
    }
    if (request.path == vmListPath)
        handleRead(connection, request, vmListKey);
    else if (request.path.starts_with(valuePrefix) && request.path.size() > 11)
        handleRead(connection, request, request.path.substr(11));
    else
        m_http->respond(connection, errorResponse(404, "no such path"));
}

void platform_server::handleRead(connection_id connection, const received_request &request,
                                 const std::string &key)
{
    const std::int64_t wait = std::min(request.number("wait_ms", 0), waitMsMax);
    const std::uint64_t afterVersion = static_cast<std::uint64_t>(request.number("after", 0));
    const bool watching = request.query.contains("after");
    const std::string kind = key == vmListKey           ? "vms"
                             : key.starts_with("part/") ? "part"
                             : key == "manifest"        ? "manifest"
                                                        : "other";
    countCall(kind + (watching ? "_watch" : "_read"));
    if (m_mode == service_mode::down) {
        m_http->close(connection);
        return;
    }
    const std::optional<stored_value> value = m_store.read(key);
    if (!watching || (value && value->version > afterVersion)) {
        sendValue(connection, key);
        return;
    }
    if (wait == 0) {
        sendReadResponse(connection, framedResponse(304, {}, {}));
        return;
    }
    std::unique_ptr<watch> added = std::make_unique<watch>();
    added->key = key;
    added->afterVersion = afterVersion;
    added->connection = connection;
    added->expiryTimer.set(m_loop);
    added->expiryTimer.set<platform_server, &platform_server::watchExpired>(this);
    added->expiryTimer.start(static_cast<double>(wait) / 1000.0);
    m_watches[connection] = std::move(added);
}

void platform_server::sendValue(connection_id connection, const std::string &key)
{
    const std::optional<stored_value> value = m_store.read(key);
    if (!value) {
        sendReadResponse(connection, errorResponse(404, "no such key"));
        return;
    }
    if (key == vmListKey) {
        const nlohmann::json document
            = {{"version", value->version}, {"vms", nlohmann::json::parse(value->text)}};
        sendReadResponse(connection, jsonResponse(200, document));
        return;
    }
    sendReadResponse(connection,
                     framedResponse(200,
                                    {{"Content-Type", "application/toml"},
                                     {"Platform-Version", std::to_string(value->version)}},
                                    value->text));
}

void platform_server::sendReadResponse(connection_id connection, std::string bytes)
{
    if (m_mode != service_mode::slow || m_delaySeconds <= 0) {
        m_http->respond(connection, bytes);
        return;
    }
    std::unique_ptr<delayed_response> added = std::make_unique<delayed_response>();
    added->connection = connection;
    added->bytes = std::move(bytes);
    added->dueTimer.set(m_loop);
    added->dueTimer.set<platform_server, &platform_server::delayEnded>(this);
    added->dueTimer.start(m_delaySeconds);
    m_delayed[connection] = std::move(added);
}

void platform_server::watchExpired(ev::timer &timer, int /*events*/)
{
    const auto found = std::find_if(
        m_watches.begin(), m_watches.end(),
        [&timer](const std::pair<const connection_id, std::unique_ptr<watch>> &item) {
            return &item.second->expiryTimer == &timer;
        });
    if (found == m_watches.end())
        return;
    const connection_id connection = found->first;
    m_watches.erase(found);
    sendReadResponse(connection, framedResponse(304, {}, {}));
}

void platform_server::delayEnded(ev::timer &timer, int /*events*/)
{
    const auto found = std::find_if(
        m_delayed.begin(), m_delayed.end(),
        [&timer](const std::pair<const connection_id, std::unique_ptr<delayed_response>> &item) {
            return &item.second->dueTimer == &timer;
        });
    if (found == m_delayed.end())
        return;
    const std::unique_ptr<delayed_response> ended = std::move(found->second);
    m_delayed.erase(found);
    m_http->respond(ended->connection, ended->bytes);
}

void platform_server::connectionClosed(connection_id connection)
{
    m_watches.erase(connection);
    m_delayed.erase(connection);
}

void platform_server::notifyWatches()
{
    for (auto position = m_watches.begin(); position != m_watches.end();) {
        const std::optional<stored_value> value = m_store.read(position->second->key);
        if (!value || value->version <= position->second->afterVersion) {
            ++position;
            continue;
        }
        const std::unique_ptr<watch> ended = std::move(position->second);
        position = m_watches.erase(position);
        sendValue(ended->connection, ended->key);
    }
}

void platform_server::handleControl(connection_id connection, const received_request &request)
{
    if (request.method == "PUT" && request.path.starts_with(controlValuePrefix)
        && request.path.size() > 15) {
        publish(connection, request, request.path.substr(15));
    } else if (request.method == "PUT" && request.path == "/control/vms") {
        publish(connection, request, vmListKey);
    } else if (request.method == "POST" && request.path == "/control/mode") {
        setMode(connection, request);
    } else if (request.method == "POST" && request.path == "/control/rollback") {
        const std::uint64_t version = static_cast<std::uint64_t>(request.number("version", 0));
        const result<void> done = m_store.rollBack(request.parameter("key", "manifest"), version);
        m_http->respond(connection, done ? jsonResponse(200, {{"version", version}})
                                         : errorResponse(404, done.error().message));
    } else if (request.method == "GET" && request.path == "/control/stats") {
        m_http->respond(connection, stats());
    } else {
        m_http->respond(connection, errorResponse(404, "unknown control request"));
    }
}

void platform_server::publish(connection_id connection, const received_request &request,
                              const std::string &key)
{
    std::string text = request.body;
    if (key == vmListKey) {
        // Accepts the list alone or the document that readers receive.
        nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
        if (document.is_object() && document.contains("vms"))
            document = nlohmann::json(document["vms"]);
        if (!document.is_array()) {
            m_http->respond(connection, errorResponse(400, "expected a JSON array of VMs"));
            return;
        }
        text = document.dump();
    }
    const result<std::uint64_t> version = m_store.publish(
        key, std::move(text), static_cast<std::uint64_t>(request.number("version", 0)));
    if (!version) {
        m_http->respond(connection, errorResponse(413, version.error().message));
        return;
    }
    m_http->respond(connection, jsonResponse(200, {{"version", *version}}));
    notifyWatches();
}

void platform_server::setMode(connection_id connection, const received_request &request)
{
    static const std::map<std::string, service_mode, std::less<>> modes {
        {"normal", service_mode::normal},
        {"down", service_mode::down},
        {"slow", service_mode::slow},
        {"stale", service_mode::stale},
    };
    const auto found = modes.find(request.parameter("mode"));
    if (found == modes.end()) {
        m_http->respond(connection,
                        errorResponse(400, "expected mode=normal, down, slow or stale"));
        return;
    }
    m_mode = found->second;
    m_delaySeconds = static_cast<double>(request.number("delay_ms", 0)) / 1000.0;
    m_store.setStale(m_mode == service_mode::stale);
    m_http->respond(connection, jsonResponse(200, {{"mode", found->first}}));
    if (m_mode == service_mode::down) {
        for (const std::pair<const connection_id, std::unique_ptr<watch>> &item : m_watches)
            m_http->close(item.first);
        for (const std::pair<const connection_id, std::unique_ptr<delayed_response>> &item :
             m_delayed)
            m_http->close(item.first);
        m_watches.clear();
        m_delayed.clear();
    }
    notifyWatches();
}

void platform_server::countCall(const std::string &kind)
{
    ++m_calls[kind];
    const std::int64_t second = static_cast<std::int64_t>(m_loop.now());
    if (second != m_currentSecond) {
        m_currentSecond = second;
        m_callsThisSecond = 0;
    }
    m_peakCallsPerSecond = std::max(m_peakCallsPerSecond, ++m_callsThisSecond);
}

std::string platform_server::stats() const
{
    std::uint64_t total = 0;
    for (const std::pair<const std::string, std::uint64_t> &kind : m_calls)
        total += kind.second;
    return jsonResponse(200, {{"calls", m_calls},
                              {"calls_total", total},
                              {"calls_per_second_max", m_peakCallsPerSecond},
                              {"waiting_watches", m_watches.size()},
                              {"connections", m_http->openConnections()}});
}

} // namespace almondnotch
