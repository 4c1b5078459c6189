#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace almondnotch {

/// A TCP connection to a loopback port that sends arbitrary bytes and collects the received ones.
/// Reading never blocks.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port);
    raw_client(const raw_client &) = delete;
    raw_client &operator=(const raw_client &) = delete;
    ~raw_client();

    void send(std::string_view bytes);
    void close();

    /// Everything received so far.
    const std::string &received();
    /// True if the server closed the connection.
    bool isClosed();
    /// True if a complete response was received: the header section, and the body if there is a
    /// `Content-Length`. A response to a HEAD request has no body.
    bool hasResponse(bool isHeadRequest = false);
    /// Status of the first response; 0 if none has been received.
    int status();
    bool contains(std::string_view text) { return received().find(text) != std::string::npos; }

private:
    int m_descriptor;
    bool m_closed = false;
    std::string m_received;
};

} // namespace almondnotch
