#include "tests/main/control/gateway_stub.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <microhttpd.h>

namespace almondnotch {

struct gateway_stub::server
{
    std::map<std::string, response> responses;
    MHD_Daemon *daemon = nullptr;
};

namespace {

MHD_Result appendArgument(void *target, MHD_ValueKind, const char *key, const char *value)
{
    std::string &text = *static_cast<std::string *>(target);
    text += text.find('?') == std::string::npos ? "?" : "&";
    text += key;
    text += "=";
    text += value == nullptr ? "" : value;
    return MHD_YES;
}

} // namespace

gateway_stub::gateway_stub(std::map<std::string, response> responses)
    : m_server(std::make_unique<server>())
{
    m_server->responses = std::move(responses);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const MHD_AccessHandlerCallback handler
        = [](void *self, MHD_Connection *connection, const char *path, const char *method,
             const char *, const char *, std::size_t *, void **) -> MHD_Result {
        std::string target = std::string(method) + " " + path;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &appendArgument, &target);
        const server &owner = *static_cast<server *>(self);
        const auto found = owner.responses.find(target);
        response chosen {404, R"({"detail":"unknown target"})"};
        if (found != owner.responses.end())
            chosen = found->second;
        MHD_Response *reply = MHD_create_response_from_buffer(
            chosen.body.size(), chosen.body.data(), MHD_RESPMEM_MUST_COPY);
        const MHD_Result queued = MHD_queue_response(connection, chosen.status, reply);
        MHD_destroy_response(reply);
        return queued;
    };
    m_server->daemon
        = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr, handler,
                           m_server.get(), MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
    if (m_server->daemon == nullptr)
        throw std::runtime_error("the gateway stub cannot listen on a loopback port");
}

gateway_stub::~gateway_stub()
{
    MHD_stop_daemon(m_server->daemon);
}

std::string gateway_stub::address() const
{
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_server->daemon, MHD_DAEMON_INFO_BIND_PORT);
    return "127.0.0.1:" + std::to_string(info->port);
}

} // namespace almondnotch
