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

/// The gRPC side of `peer_link`: a server and a client on one completion queue with one thread.
///
/// The handlers are called on that thread; all functions may be called from one other thread.
class peer_rpc
{
public:
    struct bounds
    {
        std::size_t messageBytesMax = 0;
        std::size_t receiveQueueMax = 0;
        std::size_t memoryBytesMax = 0;
        duration sendTimeLimit {0};
    };
    struct handlers
    {
        /// Must lead to one call of `messageHandled`.
        std::function<void(std::shared_ptr<const peer::v1::Envelope> envelope)> onMessage;
        /// Called once for each `send`, with the text of the failure or an empty one.
        std::function<void(std::uint64_t sendId, std::string failure)> onSent;
    };
    class channel;

    /// Starts the server and its thread.
    static result<std::unique_ptr<peer_rpc>> create(const std::string &listenAddress, bounds limits,
                                                    handlers callbacks);
    peer_rpc(const peer_rpc &) = delete;
    peer_rpc &operator=(const peer_rpc &) = delete;
    /// Cancels what is under way and waits for the thread. No handler is called afterwards.
    ~peer_rpc();

    /// "ip:port" that is listened on.
    const std::string &address() const;

    /// A connection to a peer, opened at the first send and closed with its last owner.
    std::shared_ptr<channel> connect(const std::string &peerAddress);

    void send(const std::shared_ptr<channel> &to, std::uint64_t sendId,
              const peer::v1::Envelope &envelope);

    /// Makes room for another received message.
    void messageHandled();

    /// Refuses all further messages, so that their senders hear of it at once.
    void refuseMessages();

    /// Messages that were refused, since too many waited to be handled.
    std::uint64_t refusedTotal() const;

private:
    struct state;
    explicit peer_rpc(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
