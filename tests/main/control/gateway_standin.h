#pragma once

#include <map>
#include <memory>
#include <string>

namespace almondnotch {

/// HTTP server on a loopback port that gives fixed responses in place of a gateway.
class gateway_standin
{
public:
    struct response
    {
        unsigned status = 200;
        std::string body;
    };

    /// \param responses responses by method and target, as in "GET /dump". Other requests get 404.
    explicit gateway_standin(std::map<std::string, response> responses);
    gateway_standin(const gateway_standin &) = delete;
    gateway_standin &operator=(const gateway_standin &) = delete;
    ~gateway_standin();

    /// "127.0.0.1:port".
    std::string address() const;

private:
    struct server;
    std::unique_ptr<server> m_server;
};

} // namespace almondnotch
