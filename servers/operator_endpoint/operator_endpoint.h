#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/counters.h"
#include "core/service_manager.h"
#include "decision/types.h"
#include "servers/event_loop/event_loop.h"
#include "servers/http_daemon/http_daemon.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

struct operator_settings
{
    /// "ip:port"; with port 0 the operating system chooses one.
    std::string address = "127.0.0.1:0";
    /// Bearer token that requests must carry. May be empty only on a loopback address.
    std::string token;
};

/// \return an error unless the address is numeric and is either a loopback address or protected by
/// a token.
result<void> checkOperatorSettings(const operator_settings &settings);

/// Service "operator_endpoint": serves GET /dump, /metrics, /explain, /version and POST /drain. It
/// listens on a separate address, which callers do not use. If a token is set, every request must
/// carry it as `Authorization: Bearer TOKEN`.
class operator_endpoint : public service, private http_request_handler
{
public:
    explicit operator_endpoint(operator_settings settings);
    ~operator_endpoint() override;

    /// Looks up the event loop, the service "decision" and the services whose counters it exposes,
    /// and starts listening.
    result<void> start(service_manager &owner) override;
    void stop() override;

    std::uint16_t port() const { return m_daemon->port(); }

private:
    struct request_state
    {
        std::string target;
        std::uint64_t bodyBytes = 0;
        bool headersReceived = false;
    };

    struct operator_function
    {
        std::string_view method;
        std::string_view path;
        shared_response (operator_endpoint::*run)(MHD_Connection *connection);
    };

    void *onRequestStarted(MHD_Connection *connection, const char *target) override;
    MHD_Result handleRequest(MHD_Connection *connection, void *request, const char *method,
                             const char *version, const char *data, std::size_t *size) override;
    void onRequestEnded(void *request) override;
    void *onConnectionOpened(MHD_Connection *connection) override;
    void onConnectionClosed(void *connectionState) override;
    void reportLibraryError(std::string_view message) override;

    shared_response answer(MHD_Connection *connection, std::string_view method,
                           std::string_view path);
    shared_response dump(MHD_Connection *connection);
    shared_response metrics(MHD_Connection *connection);
    shared_response explain(MHD_Connection *connection);
    shared_response version(MHD_Connection *connection);
    shared_response drain(MHD_Connection *connection);

    bool isAuthorized(MHD_Connection *connection) const;
    shared_response reject(int status, std::string_view type, std::string_view title,
                           std::string_view detail);

    operator_settings m_settings;
    counter_set m_counters;
    event_loop *m_loop = nullptr;
    event_sink *m_decision = nullptr;
    decision_inspection *m_inspection = nullptr;
    std::vector<const counter_set *> m_serviceCounters;
    std::unique_ptr<http_daemon> m_daemon;
};

} // namespace almondnotch
