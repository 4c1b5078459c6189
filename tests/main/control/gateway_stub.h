#pragma once

#include <map>
#include <memory>
#include <string>

namespace almondnotch {

/// HTTP server on a loopback port that gives fixed responses in place of a gateway.
class gateway_stub
{
public:
    struct response
    {
        unsigned status = 200;
        std::string body;
    };

    /// \param responses responses by method and target, as in "GET /dump". Other requests get 404.
    explicit gateway_stub(std::map<std::string, response> responses);
    gateway_stub(const gateway_stub &) = delete;
    gateway_stub &operator=(const gateway_stub &) = delete;
    ~gateway_stub();

    /// "127.0.0.1:port".
    std::string address() const;

private:
    struct server;
    std::unique_ptr<server> m_server;
};

} // namespace almondnotch
