#include "servers/operator_endpoint/operator_endpoint.h"

#include <algorithm>
#include <array>
#include <utility>

#include <strings.h>

#include "core/digest.h"
#include "core/log_line.h"
#include "core/version.h"
#include "servers/http_daemon/socket_address.h"
#include "servers/operator_endpoint/process_gauges.h"

namespace almondnotch {

namespace {

const char *const logPrefix = "operator";
/// Maximum size of a request body, which no operator function reads. A connection that sends a
/// longer one is closed.
constexpr std::uint64_t bodyBytesMax = 65536;
constexpr unsigned connectionsMax = 64;

shared_response makeResponse(int status, std::string_view contentType, std::string body)
{
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = status;
    response->headers.push_back({"Content-Type", std::string(contentType)});
    response->body = std::move(body);
    return response;
}

shared_response makeJson(int status, const nlohmann::json &document)
{
    // Names in the document come from callers and workers and may be invalid UTF-8.
    return makeResponse(status, "application/json",
                        document.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
                            + "\n");
}

MHD_Result queueResponse(MHD_Connection *connection, const call_response &source)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        source.body.size(), const_cast<char *>(source.body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    for (const header_field &field : source.headers)
        MHD_add_response_header(response, field.name.c_str(), field.value.c_str());
    MHD_add_response_header(response, "Cache-Control", "no-store");
    if (source.status == 401)
        MHD_add_response_header(response, "WWW-Authenticate", "Bearer");
    const MHD_Result queued
        = MHD_queue_response(connection, static_cast<unsigned>(source.status), response);
    MHD_destroy_response(response);
    return queued;
}

/// Appends the counters of the service that is registered under this name.
template <typename Service>
result<void> addCounters(const service_manager &owner, std::string_view name,
                         std::vector<const counter_set *> &counters)
{
    const result<Service *> provider = owner.find<Service>(name);
    if (!provider)
        return tl::unexpected(provider.error());
    counters.push_back(&(*provider)->counters());
    return {};
}

} // namespace

result<void> checkOperatorSettings(const operator_settings &settings)
{
    const result<socket_address> address = socket_address::parse(settings.address);
    if (!address)
        return tl::unexpected(address.error());
    if (settings.token.empty() && !address->isLoopback())
        return fail(error_code::invalid_settings, "check operator settings", settings.address,
                    "expected a token, since the address is not a loopback address");
    return {};
}

operator_endpoint::operator_endpoint(operator_settings settings) : m_settings(std::move(settings))
{ }

operator_endpoint::~operator_endpoint()
{
    stop();
}

result<void> operator_endpoint::start(service_manager &owner)
{
    const result<void> checked = checkOperatorSettings(m_settings);
    if (!checked)
        return checked;
    const result<event_loop *> loop = owner.find<event_loop>("loop");
    if (!loop)
        return tl::unexpected(loop.error());
    const result<event_sink *> decision = owner.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    const result<decision_inspection *> inspection = owner.find<decision_inspection>("decision");
    if (!inspection)
        return tl::unexpected(inspection.error());
    m_loop = *loop;
    m_decision = *decision;
    m_inspection = *inspection;

    m_serviceCounters.clear();
    const std::array<result<void>, 4> addedAll {
        addCounters<worker_transport_interface>(owner, "worker_transport", m_serviceCounters),
        addCounters<platform_client_interface>(owner, "platform_client", m_serviceCounters),
        addCounters<peer_link_interface>(owner, "peer_link", m_serviceCounters),
        addCounters<http_entry_interface>(owner, "http_entry", m_serviceCounters)};
    for (const result<void> &added : addedAll) {
        if (!added)
            return added;
    }

    http_daemon_options options;
    options.address = m_settings.address;
    options.connectionsMax = connectionsMax;
    result<std::unique_ptr<http_daemon>> daemon = http_daemon::create(*m_loop, options, *this);
    if (!daemon)
        return tl::unexpected(daemon.error());
    m_daemon = std::move(*daemon);
    return {};
}

void operator_endpoint::stop()
{
    m_daemon.reset();
}

void *operator_endpoint::onRequestStarted(MHD_Connection * /*connection*/, const char *target)
{
    std::unique_ptr<request_state> state = std::make_unique<request_state>();
    state->target = target;
    return state.release();
}

MHD_Result operator_endpoint::handleRequest(MHD_Connection *connection, void *request,
                                            const char *method, const char * /*version*/,
                                            const char * /*data*/, std::size_t *size)
{
    request_state &state = *static_cast<request_state *>(request);
    if (!state.headersReceived) {
        state.headersReceived = true;
        return MHD_YES;
    }
    if (*size != 0) {
        state.bodyBytes += *size;
        *size = 0;
        return state.bodyBytes > bodyBytesMax ? MHD_NO : MHD_YES;
    }
    const std::string_view target = state.target;
    const shared_response response = answer(connection, method, target.substr(0, target.find('?')));
    return queueResponse(connection, *response);
}

void operator_endpoint::onRequestEnded(void *request)
{
    const std::unique_ptr<request_state> state(static_cast<request_state *>(request));
}

void *operator_endpoint::onConnectionOpened(MHD_Connection * /*connection*/)
{
    return nullptr;
}

void operator_endpoint::onConnectionClosed(void * /*connectionState*/) { }

void operator_endpoint::reportLibraryError(std::string_view message)
{
    m_counters.add("operator_http_errors_total");
    log_line(log_level::debug, logPrefix, "libmicrohttpd reported an error")
        .field("message", message);
}

shared_response operator_endpoint::answer(MHD_Connection *connection, std::string_view method,
                                          std::string_view path)
{
    static const std::array<operator_function, 5> functions {{
        {"GET", "/dump", &operator_endpoint::dump},
        {"GET", "/metrics", &operator_endpoint::metrics},
        {"GET", "/explain", &operator_endpoint::explain},
        {"GET", "/version", &operator_endpoint::version},
        {"POST", "/drain", &operator_endpoint::drain},
    }};
    m_counters.add("operator_requests_total");
    if (!isAuthorized(connection))
        return reject(401, "unauthorized", "Unauthorized", "expected the operator token");
    const auto found = std::find_if(
        functions.begin(), functions.end(),
        [path](const operator_function &candidate) { return candidate.path == path; });
    if (found == functions.end())
        return reject(404, "not-found", "No such resource",
                      "expected /dump, /metrics, /explain, /version or /drain");
    if (found->method != (method == "HEAD" ? "GET" : method))
        return reject(405, "method-not-allowed", "Method not allowed",
                      "expected " + std::string(found->method));
    return (this->*found->run)(connection);
}

bool operator_endpoint::isAuthorized(MHD_Connection *connection) const
{
    if (m_settings.token.empty())
        return true;
    const char *field
        = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
    constexpr std::string_view scheme = "Bearer ";
    if (field == nullptr || strncasecmp(field, scheme.data(), scheme.size()) != 0)
        return false;
    return equalConstantTime(field + scheme.size(), m_settings.token);
}

shared_response operator_endpoint::reject(int status, std::string_view type, std::string_view title,
                                          std::string_view detail)
{
    m_counters.add("operator_refused_total{reason=\"" + std::string(type) + "\"}");
    problem problemDocument;
    problemDocument.status = status;
    problemDocument.type = type;
    problemDocument.title = title;
    problemDocument.outcome = call_outcome::not_run;
    problemDocument.step = "operator request";
    problemDocument.detail = detail;
    return makeProblemResponse(problemDocument);
}

shared_response operator_endpoint::dump(MHD_Connection * /*connection*/)
{
    return makeJson(200, m_inspection->dump());
}

shared_response operator_endpoint::metrics(MHD_Connection * /*connection*/)
{
    counter_set all;
    all.merge(m_inspection->counters());
    for (const counter_set *counterSet : m_serviceCounters)
        all.merge(*counterSet);
    all.merge(m_counters);
    addProcessGauges(all);
    all.set("process_start_time_seconds", static_cast<double>(m_loop->unixMsAtOrigin()) / 1000.0);
    return makeResponse(200, "text/plain; version=0.0.4; charset=utf-8", all.toPrometheus());
}

shared_response operator_endpoint::explain(MHD_Connection *connection)
{
    const char *path = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "path");
    if (path == nullptr || *path != '/')
        return reject(400, "path-invalid", "Invalid path",
                      "expected the query parameter path with a path that begins with \"/\"");
    const char *method = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "method");
    return makeJson(200, m_inspection->explain(method == nullptr ? "GET" : method, path));
}

shared_response operator_endpoint::version(MHD_Connection * /*connection*/)
{
    return makeJson(
        200, {{"version", ALMONDNOTCH_VERSION}, {"decision_interface", decisionInterfaceVersion}});
}

shared_response operator_endpoint::drain(MHD_Connection * /*connection*/)
{
    const log_line record(log_level::info, logPrefix, "drain requested");
    // The event is delivered in a later iteration of the loop, so that this response does not wait
    // until it has been handled.
    m_loop->post([decision = m_decision] { decision->deliver(drain_requested {}); });
    return makeJson(202, {{"draining", true}});
}

} // namespace almondnotch
