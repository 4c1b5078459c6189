#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <peer.pb.h>

#include "core/error.h"
#include "core/time.h"

namespace almondnotch {

/// The gRPC transport of `peer_link`: a server and a client with one completion queue and one
/// thread.
///
/// The callbacks are called on that thread. The functions may be called from any single other
/// thread, but not from several.
class peer_rpc
{
public:
    struct rpc_limits
    {
        std::size_t messageBytesMax = 0;
        std::size_t receiveQueueMax = 0;
        std::size_t memoryBytesMax = 0;
        duration sendTimeLimit {0};
    };
    struct rpc_callbacks
    {
        /// Called for each message that the receive queue has room for. Must be followed by one
        /// call of `notifyMessageDequeued`.
        std::function<void(std::shared_ptr<const peer::v1::Envelope> envelope)> onMessage;
        /// Called once for each `send`. `failure` describes the error and is empty on success.
        std::function<void(std::uint64_t sendId, std::string failure)> onSent;
    };
    class channel;

    /// Starts the server and its thread.
    /// \return an error if gRPC cannot listen on the address.
    static result<std::unique_ptr<peer_rpc>> create(const std::string &listenAddress,
                                                    rpc_limits limits, rpc_callbacks callbacks);
    peer_rpc(const peer_rpc &) = delete;
    peer_rpc &operator=(const peer_rpc &) = delete;
    /// Cancels sends in progress and waits for the thread to end. No callback is called afterwards.
    ~peer_rpc();

    /// "ip:port" on which the server listens.
    const std::string &address() const;

    /// Creates a channel to a peer. Its connection is opened by the first send and closed when the
    /// last owner releases the channel.
    std::shared_ptr<channel> connect(const std::string &peerAddress);

    /// True if the channel has a connection, which may have gone silent without being closed.
    static bool isConnected(const channel &to);

    /// Sends an envelope once, within the send time limit.
    void send(const std::shared_ptr<channel> &to, std::uint64_t sendId,
              const peer::v1::Envelope &envelope);

    /// Reports that a received message has been taken off the receive queue, which makes room for
    /// another one.
    void notifyMessageDequeued();

    /// Refuses all further messages with an error status, so that their senders are notified at
    /// once.
    void refuseMessages();

    /// Number of messages refused because the receive queue was full or after `refuseMessages`.
    std::uint64_t refusedTotal() const;

private:
    struct state;
    explicit peer_rpc(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
