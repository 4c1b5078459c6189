#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace almondnotch {

/// A TCP relay on the loopback interface. Connections through it can go silent for good: they stay
/// open, but no byte passes any more. Later connections work.
class silent_relay
{
public:
    /// \param targetAddress "ip:port" to which accepted connections are relayed.
    explicit silent_relay(const std::string &targetAddress);
    ~silent_relay();

    const std::string &address() const { return m_address; }
    /// Silences all connections that are open now.
    void silence() { m_silenceRequested.store(true); }
    std::size_t acceptedCount() const { return m_acceptedCount.load(); }

private:
    /// The two ends of a relayed connection.
    struct relayed_connection
    {
        int accepted;
        int connected;
        bool isSilent = false;
        bool isClosed = false;
    };

    void run();
    void acceptConnection();
    static bool copyBytes(int from, int to, bool isSilent);

    std::string m_address;
    std::string m_targetAddress;
    int m_listener = -1;
    std::vector<relayed_connection> m_connections;
    std::atomic<bool> m_silenceRequested {false};
    std::atomic<bool> m_stopRequested {false};
    std::atomic<std::size_t> m_acceptedCount {0};
    std::thread m_thread;
};

} // namespace almondnotch
