#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/counters.h"
#include "core/service_manager.h"
#include "servers/directory_endpoint/directory_protocol.h"
#include "servers/event_loop/event_loop.h"
#include "servers/http_daemon/http_daemon.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

struct directory_endpoint_settings
{
    /// Addresses to listen on, as "ip:port". Readiness checks and address lookups are served on
    /// each of them.
    std::vector<std::string> addresses;
    /// Maximum number of connections per address.
    unsigned connectionsMax = 1000;
    seconds idleTimeout {20};
};

/// Service "directory_port": an HTTP server that answers lookups of the gateway addresses that
/// callers should use, and readiness checks.
class directory_endpoint : public service, private http_request_handler
{
public:
    /// \param protocol must outlive the service.
    directory_endpoint(directory_endpoint_settings settings, const directory_protocol &protocol);
    ~directory_endpoint() override;

    /// Looks up the services "loop" and "decision" and starts listening.
    result<void> start(service_manager &owner) override;
    void stop() override;

    const counter_set &counters() const { return m_counters; }

private:
    struct request_state
    {
        std::string target;
        bool headersReceived = false;
    };

    void *onRequestStarted(MHD_Connection *connection, const char *target) override;
    MHD_Result handleRequest(MHD_Connection *connection, void *request, const char *method,
                             const char *version, const char *data, std::size_t *size) override;
    void onRequestEnded(void *request) override;
    void *onConnectionOpened(MHD_Connection *connection) override;
    void onConnectionClosed(void *connectionState) override;
    void reportLibraryError(std::string_view message) override;

    MHD_Result answerReadiness(MHD_Connection *connection);
    MHD_Result answerAddressLookup(MHD_Connection *connection);
    static MHD_Result answer(MHD_Connection *connection, unsigned status, const std::string &body);

    directory_endpoint_settings m_settings;
    const directory_protocol &m_protocol;
    counter_set m_counters;
    entry_directory *m_directory = nullptr;
    std::vector<std::unique_ptr<http_daemon>> m_daemons;
};

} // namespace almondnotch
