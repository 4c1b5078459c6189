#include "servers/directory_endpoint/directory_endpoint.h"

#include <utility>

#include "core/log_line.h"

namespace almondnotch {

namespace {

const char *const logPrefix = "directory";

std::string parameter(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace

directory_endpoint::directory_endpoint(directory_endpoint_settings settings,
                                       const directory_protocol &protocol)
    : m_settings(std::move(settings)), m_protocol(protocol)
{ }

directory_endpoint::~directory_endpoint()
{
    stop();
}

result<void> directory_endpoint::start(service_manager &owner)
{
    const result<event_loop *> loop = owner.find<event_loop>("loop");
    if (!loop)
        return tl::unexpected(loop.error());
    const result<entry_directory *> directory = owner.find<entry_directory>("decision");
    if (!directory)
        return tl::unexpected(directory.error());
    m_directory = *directory;
    for (const std::string &address : m_settings.addresses) {
        http_daemon_options options;
        options.address = address;
        options.connectionsMax = m_settings.connectionsMax;
        options.idleTimeout = m_settings.idleTimeout;
        options.connectionMemory = std::size_t {8} * 1024;
        result<std::unique_ptr<http_daemon>> daemon = http_daemon::create(**loop, options, *this);
        if (!daemon)
            return tl::unexpected(daemon.error());
        m_daemons.push_back(std::move(*daemon));
    }
    return {};
}

void directory_endpoint::stop()
{
    m_daemons.clear();
}

void *directory_endpoint::onRequestStarted(MHD_Connection * /*connection*/, const char *target)
{
    std::unique_ptr<request_state> state = std::make_unique<request_state>();
    state->target = target;
    return state.release();
}

MHD_Result directory_endpoint::handleRequest(MHD_Connection *connection, void *request,
                                             const char *method, const char * /*version*/,
                                             const char * /*data*/, std::size_t *size)
{
    request_state &state = *static_cast<request_state *>(request);
    if (!state.headersReceived) {
        state.headersReceived = true;
        return MHD_YES;
    }
    if (*size > 0) {
        *size = 0;
        return MHD_YES;
    }
    if (std::string_view(method) != "GET")
        return answer(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "{}");
    switch (m_protocol.classify(state.target.substr(0, state.target.find('?')))) {
    case directory_request::readiness:
        return answerReadiness(connection);
    case directory_request::address_lookup:
        return answerAddressLookup(connection);
    case directory_request::unknown:
        break;
    }
    return answer(connection, MHD_HTTP_NOT_FOUND, "{}");
}

MHD_Result directory_endpoint::answerReadiness(MHD_Connection *connection)
{
    return answer(connection, m_directory->isReady() ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                  "{}");
}

MHD_Result directory_endpoint::answerAddressLookup(MHD_Connection *connection)
{
    m_counters.add("directory_queries_total");
    const entry_lookup lookup {parameter(connection, m_protocol.hostParameter()),
                               parameter(connection, m_protocol.regionParameter()),
                               parameter(connection, m_protocol.failureDomainParameter())};
    const entry_addresses found = m_directory->selectEntryAddresses(lookup);
    if (found.addresses.empty())
        return answer(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "{}");
    return answer(connection, MHD_HTTP_OK, m_protocol.encode(found));
}

MHD_Result directory_endpoint::answer(MHD_Connection *connection, unsigned status,
                                      const std::string &body)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result queued = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queued;
}

void directory_endpoint::onRequestEnded(void *request)
{
    const std::unique_ptr<request_state> state(static_cast<request_state *>(request));
}

void *directory_endpoint::onConnectionOpened(MHD_Connection * /*connection*/)
{
    return nullptr;
}

void directory_endpoint::onConnectionClosed(void * /*connectionState*/) { }

void directory_endpoint::reportLibraryError(std::string_view message)
{
    m_counters.add("directory_http_errors_total");
    log_line(log_level::debug, logPrefix, "libmicrohttpd reported an error")
        .field("message", message);
}

} // namespace almondnotch
