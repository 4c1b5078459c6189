#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/io_watcher.h"
#include "servers/event_loop/timer_watcher.h"

namespace almondnotch {

/// Accepts TCP connections.
class connection_listener
{
public:
    /// Receives the non-blocking descriptor of a new connection and owns it from then on.
    using callback = std::function<void(int descriptor)>;

    /// Starts listening.
    /// \param address "ip:port"; with port 0 the operating system chooses one.
    /// \return an error if the address is not numeric or cannot be listened on.
    static result<std::unique_ptr<connection_listener>>
    create(const event_loop &loop, const std::string &address, callback onAccepted);
    connection_listener(const connection_listener &) = delete;
    connection_listener &operator=(const connection_listener &) = delete;
    ~connection_listener();

    std::uint16_t port() const { return m_port; }

    /// Leaves further connections in the listen queue until `resume` is called.
    void pause();
    void resume();
    /// Stops listening. Connections in the listen queue are reset.
    void close();

private:
    connection_listener(const event_loop &loop, int descriptor, callback onAccepted);

    void acceptAll();

    int m_descriptor;
    std::uint16_t m_port = 0;
    callback m_onAccepted;
    io_watcher m_watcher;
    /// Ends the pause after a failure to accept, for example because no descriptor was free.
    timer_watcher m_retryTimer;
};

} // namespace almondnotch
