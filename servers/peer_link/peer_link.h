#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/flush_wait.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/peer_link/envelope_authenticator.h"
#include "servers/peer_link/peer_link_settings.h"
#include "servers/peer_link/peer_rpc.h"
#include "servers/peer_link/replay_window.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

/// Sends messages to other gateways and receives theirs (docs/design.md, section 3.4).
///
/// A received message is delivered only if its protocol number and key are known, its MAC is valid,
/// its size is within the limit, its payload can be decoded and its replay window accepts its send
/// counter. Any other message is counted and has no further effect. A failed send is reported once.
/// If no failure is reported, the message arrived, unless `stop` aborted the send; the receiver may
/// still have discarded it, for example because its MAC is invalid.
class peer_link : public peer_link_interface
{
public:
    explicit peer_link(peer_link_settings settings);
    ~peer_link() override;

    result<void> start(service_manager &owner) override;
    /// Aborts sends in progress without reporting them.
    void stop() override;

    void sendPeerMessage(const send_peer_message &command) override;
    void flush(duration timeLimit, std::function<void()> done) override;
    const counter_set &counters() const override { return m_counters; }

    /// "ip:port" on which the link listens, once started.
    const std::string &address() const { return m_rpc->address(); }

    /// Verifies an envelope and delivers its message if it passes all checks. Must be called on the
    /// loop's thread.
    void receive(const peer::v1::Envelope &envelope);

private:
    struct peer_channel
    {
        std::shared_ptr<peer_rpc::channel> channel;
        std::size_t inFlight = 0;
        /// When the channel was opened, or when the last message that it delivered was sent. The
        /// time of the answer would be wrong, since an answer can be handled long after it arrived.
        instant provenAt;
        /// When the oldest message in flight was sent, or the last answer after it arrived.
        instant unansweredSince;
        instant lastUsed;
    };
    struct message_in_flight
    {
        std::string peerAddress;
        std::uint64_t messageId = 0;
        instant sentAt;
    };
    struct sender
    {
        replay_window window;
        /// Position in `m_sendersByRecency`.
        std::list<process_id>::iterator recencyPosition;
    };

    peer_channel *channelTo(const std::string &peerAddress);
    void replaceSuspectChannel(const std::string &peerAddress, peer_channel &to);
    void noteSilence(instant since);
    /// \return false if a message is in flight on every channel.
    bool closeLeastRecentlyUsedChannel();
    void closeIdleChannels();
    /// \return false if this send counter was received from the sender before or is older than the
    /// replay window.
    bool acceptSendCounter(const process_id &from, std::uint64_t counter);
    void countRefused(const char *reason);
    void onSendFinished(std::uint64_t sendId, const std::string &failure);
    /// Reports a failed send in the next iteration of the loop.
    void deferFailure(const send_peer_message &command, const char *reason);
    void deliverDeferred();
    void updateGauges();

    peer_link_settings m_settings;
    event_loop *m_loop = nullptr;
    event_sink *m_decision = nullptr;
    counter_set m_counters;
    std::unique_ptr<envelope_authenticator> m_authenticator;
    std::unique_ptr<peer_rpc> m_rpc;
    /// Functions posted to the loop hold a weak reference to this token and do nothing after
    /// `stop`, which releases it.
    std::shared_ptr<bool> m_lifetimeToken;
    std::uint64_t m_lastSendCounter = 0;
    std::map<std::string, peer_channel> m_channels;
    /// Channels that have not been proven since this time may have gone silent.
    instant m_suspectBefore;
    /// Messages in flight, by their send counter.
    std::unordered_map<std::uint64_t, message_in_flight> m_inFlight;
    std::map<process_id, sender> m_senders;
    /// Known senders in the order of their last message, the latest at the back.
    std::list<process_id> m_sendersByRecency;
    std::vector<peer_send_failed> m_deferred;
    std::unique_ptr<timer_watcher> m_deferredTimer;
    std::unique_ptr<timer_watcher> m_idleTimer;
    std::unique_ptr<flush_wait> m_flush;
};

} // namespace almondnotch
