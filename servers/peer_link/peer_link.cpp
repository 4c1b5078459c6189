#include "servers/peer_link/peer_link.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <arpa/inet.h>

#include "servers/peer_link/message_codec.h"

namespace almondnotch {

namespace {

/// Time without any answer, while messages are in flight, after which a connection counts as
/// silent. Peers answer within milliseconds.
constexpr duration answerTimeMax = milliseconds(900);

/// True for "ip:port" with an IPv4 address, for which gRPC starts no resolver.
bool isNumericAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr parsed = {};
    unsigned port = 0;
    const char *const end = address.data() + address.size();
    const std::from_chars_result digits = std::from_chars(address.data() + colon + 1, end, port);
    return inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) == 1
           && digits.ec == std::errc() && digits.ptr == end && port > 0 && port <= 65535;
}

const char *refusalReason(error_code code)
{
    switch (code) {
    case error_code::unsupported_version:
        return "protocol";
    case error_code::not_found:
        return "unknown_key";
    case error_code::authentication_failed:
        return "mac";
    default:
        return "malformed";
    }
}

std::string counterName(const char *name, const peer_message &message)
{
    return std::string(name) + "{message=\"" + std::string(messageName(message)) + "\"}";
}

} // namespace

peer_link::peer_link(peer_link_settings settings) : m_settings(std::move(settings)) { }

peer_link::~peer_link()
{
    stop();
}

result<void> peer_link::start(service_manager &owner)
{
    const result<event_loop *> loop = owner.find<event_loop>("loop");
    if (!loop)
        return tl::unexpected(loop.error());
    const result<event_sink *> decision = owner.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    result<envelope_authenticator> authenticator = envelope_authenticator::create(m_settings.keys);
    if (!authenticator)
        return tl::unexpected(authenticator.error());
    m_loop = *loop;
    m_decision = *decision;
    m_authenticator = std::make_unique<envelope_authenticator>(std::move(*authenticator));
    m_lifetimeToken = std::make_shared<bool>(true);
    m_deferredTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { deliverDeferred(); });
    m_idleTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { closeIdleChannels(); });
    m_idleTimer->startRepeating(m_settings.channelIdleMax / 4);
    m_flush = std::make_unique<flush_wait>(*m_loop);
    const std::weak_ptr<bool> lifetime = m_lifetimeToken;
    peer_rpc::rpc_callbacks callbacks;
    callbacks.onMessage = [this, lifetime](std::shared_ptr<const peer::v1::Envelope> envelope) {
        m_loop->post([this, lifetime, receivedEnvelope = std::move(envelope)]() {
            if (lifetime.expired())
                return;
            m_rpc->notifyMessageDequeued();
            receive(*receivedEnvelope);
        });
    };
    callbacks.onSent = [this, lifetime](std::uint64_t sendId, std::string failure) {
        m_loop->post([this, lifetime, sendId, failureText = std::move(failure)]() {
            if (!lifetime.expired())
                onSendFinished(sendId, failureText);
        });
    };
    result<std::unique_ptr<peer_rpc>> rpc
        = peer_rpc::create(m_settings.listenAddress,
                           {m_settings.messageBytesMax, m_settings.receiveQueueMax,
                            m_settings.memoryBytesMax, m_settings.sendTimeLimit},
                           std::move(callbacks));
    if (!rpc)
        return tl::unexpected(rpc.error());
    m_rpc = std::move(*rpc);
    return {};
}

void peer_link::stop()
{
    m_lifetimeToken.reset();
    m_channels.clear();
    m_rpc.reset();
    m_idleTimer.reset();
    m_deferredTimer.reset();
    m_flush.reset();
    m_deferred.clear();
    m_inFlight.clear();
}

void peer_link::sendPeerMessage(const send_peer_message &command)
{
    if (m_inFlight.size() >= m_settings.messagesInFlightMax) {
        deferFailure(command, "in_flight");
        return;
    }
    peer_channel *to = channelTo(command.peerAddress);
    if (to == nullptr) {
        deferFailure(command, "channel");
        return;
    }
    if (to->inFlight >= m_settings.messagesInFlightPerPeerMax) {
        deferFailure(command, "in_flight_per_peer");
        return;
    }
    replaceSuspectChannel(command.peerAddress, *to);
    peer::v1::Envelope envelope;
    envelope.set_protocol(m_settings.protocol);
    envelope.set_sender_vm(m_settings.self.vm);
    envelope.set_sender_start(m_settings.self.startNumber);
    envelope.set_send_counter(++m_lastSendCounter);
    encodeMessage(command.message, envelope);
    m_authenticator->sign(envelope);
    const std::size_t bytes = envelope.ByteSizeLong();
    if (bytes > m_settings.messageBytesMax) {
        deferFailure(command, "too_large");
        return;
    }
    m_counters.add(counterName("peer_messages_sent_total", command.message));
    m_counters.add("peer_bytes_sent_total", bytes);
    to->lastUsed = m_loop->now();
    if (++to->inFlight == 1)
        to->unansweredSince = to->lastUsed;
    m_inFlight.emplace(m_lastSendCounter,
                       message_in_flight {command.peerAddress, command.messageId, to->lastUsed});
    m_rpc->send(to->channel, m_lastSendCounter, envelope);
    updateGauges();
}

void peer_link::flush(duration timeLimit, std::function<void()> done)
{
    m_rpc->refuseMessages();
    m_flush->begin(m_inFlight.empty(), timeLimit, std::move(done));
}

peer_link::peer_channel *peer_link::channelTo(const std::string &peerAddress)
{
    const auto found = m_channels.find(peerAddress);
    if (found != m_channels.end())
        return &found->second;
    if (!isNumericAddress(peerAddress)
        || (m_channels.size() >= m_settings.channelsMax && !closeLeastRecentlyUsedChannel()))
        return nullptr;
    peer_channel &added = m_channels[peerAddress];
    added.channel = m_rpc->connect(peerAddress);
    added.provenAt = m_loop->now();
    m_counters.add("peer_channels_opened_total");
    return &added;
}

/// Opens a new connection for the next messages if the present one may have gone silent. gRPC would
/// use it until the kernel closes it.
void peer_link::replaceSuspectChannel(const std::string &peerAddress, peer_channel &to)
{
    const instant now = m_loop->now();
    const bool isSilent = to.inFlight > 0 && now - to.unansweredSince > answerTimeMax;
    if (!isSilent && to.provenAt >= m_suspectBefore)
        return;
    if (!peer_rpc::isConnected(*to.channel))
        return;
    if (isSilent)
        noteSilence(to.unansweredSince);
    to.channel = m_rpc->connect(peerAddress);
    to.provenAt = to.unansweredSince = now;
    m_counters.add("peer_channels_replaced_total");
}

/// A message that was sent at this time got no answer. Connections of a process go silent together,
/// so those to other peers are suspect as well, except where a peer has answered since.
void peer_link::noteSilence(instant since)
{
    m_suspectBefore = std::max(m_suspectBefore, since + microseconds(1));
}

bool peer_link::closeLeastRecentlyUsedChannel()
{
    auto found = m_channels.end();
    for (auto it = m_channels.begin(); it != m_channels.end(); ++it) {
        if (it->second.inFlight == 0
            && (found == m_channels.end() || it->second.lastUsed < found->second.lastUsed))
            found = it;
    }
    if (found == m_channels.end())
        return false;
    m_channels.erase(found);
    return true;
}

void peer_link::closeIdleChannels()
{
    const instant now = m_loop->now();
    std::erase_if(m_channels, [&](const std::pair<const std::string, peer_channel> &item) {
        return item.second.inFlight == 0 && now - item.second.lastUsed > m_settings.channelIdleMax;
    });
    updateGauges();
}

void peer_link::onSendFinished(std::uint64_t sendId, const std::string &failure)
{
    const auto found = m_inFlight.find(sendId);
    if (found == m_inFlight.end())
        return;
    const message_in_flight message = std::move(found->second);
    m_inFlight.erase(found);
    const auto to = m_channels.find(message.peerAddress);
    if (to != m_channels.end()) {
        --to->second.inFlight;
        to->second.lastUsed = m_loop->now();
        if (failure.empty()) {
            to->second.provenAt = std::max(to->second.provenAt, message.sentAt);
            to->second.unansweredSince = to->second.lastUsed;
        } else if (to->second.provenAt < message.sentAt
                   && peer_rpc::isConnected(*to->second.channel)) {
            noteSilence(message.sentAt);
        }
    }
    updateGauges();
    if (m_inFlight.empty())
        m_flush->notifyFlushed();
    if (failure.empty())
        return;
    m_counters.add("peer_sends_failed_total{reason=\"rpc\"}");
    m_decision->deliver(peer_send_failed {message.peerAddress, message.messageId});
}

void peer_link::deferFailure(const send_peer_message &command, const char *reason)
{
    m_counters.add("peer_sends_failed_total{reason=\"" + std::string(reason) + "\"}");
    m_deferred.push_back({command.peerAddress, command.messageId});
    if (!m_deferredTimer->isActive())
        m_deferredTimer->start(duration(0));
}

void peer_link::deliverDeferred()
{
    std::vector<peer_send_failed> due;
    due.swap(m_deferred);
    for (peer_send_failed &failed : due)
        m_decision->deliver(std::move(failed));
}

void peer_link::receive(const peer::v1::Envelope &envelope)
{
    const std::size_t bytes = envelope.ByteSizeLong();
    m_counters.add("peer_bytes_received_total", bytes);
    if (bytes > m_settings.messageBytesMax) {
        countRefused("too_large");
        return;
    }
    const result<void> checked = m_authenticator->verify(envelope);
    if (!checked) {
        countRefused(refusalReason(checked.error().code));
        return;
    }
    const process_id from {envelope.sender_vm(), envelope.sender_start()};
    // Decoded before the replay check, so that a message that this version cannot decode does not
    // use up its counter.
    result<peer_message> message = decodeMessage(envelope);
    if (!message) {
        countRefused("malformed");
        return;
    }
    if (!acceptSendCounter(from, envelope.send_counter())) {
        countRefused("replay");
        return;
    }
    m_counters.add(counterName("peer_messages_received_total", *message));
    m_decision->deliver(peer_message_received {from, std::move(*message)});
}

bool peer_link::acceptSendCounter(const process_id &from, std::uint64_t counter)
{
    const auto found = m_senders.find(from);
    if (found != m_senders.end()) {
        m_sendersByRecency.splice(m_sendersByRecency.end(), m_sendersByRecency,
                                  found->second.recencyPosition);
        return found->second.window.accept(counter);
    }
    if (m_senders.size() >= m_settings.sendersMax) {
        m_senders.erase(m_sendersByRecency.front());
        m_sendersByRecency.pop_front();
        m_counters.add("peer_senders_forgotten_total");
    }
    m_sendersByRecency.push_back(from);
    sender &added = m_senders[from];
    added.recencyPosition = std::prev(m_sendersByRecency.end());
    return added.window.accept(counter);
}

void peer_link::countRefused(const char *reason)
{
    m_counters.add("peer_messages_refused_total{reason=\"" + std::string(reason) + "\"}");
}

void peer_link::updateGauges()
{
    m_counters.set("peer_messages_in_flight", static_cast<double>(m_inFlight.size()));
    m_counters.set("peer_channels_open", static_cast<double>(m_channels.size()));
    m_counters.set("peer_senders_known", static_cast<double>(m_senders.size()));
    m_counters.set("peer_messages_refused_busy", static_cast<double>(m_rpc->refusedTotal()));
}

} // namespace almondnotch
