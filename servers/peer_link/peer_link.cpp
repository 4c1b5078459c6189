#include "servers/peer_link/peer_link.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <arpa/inet.h>

#include "servers/peer_link/message_codec.h"

namespace almondnotch {

namespace {

/// A numeric address, for which gRPC starts no resolver.
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

std::string perMessage(const char *name, const peer_message &message)
{
    return std::string(name) + "{message=\"" + std::string(messageName(message)) + "\"}";
}

} // namespace

peer_link::peer_link(peer_link_settings bounds) : m_bounds(std::move(bounds)) { }

peer_link::~peer_link()
{
    stop();
}

result<void> peer_link::start(kernel &owner)
{
    const result<event_loop *> loop = owner.find<event_loop>("loop");
    if (!loop)
        return tl::unexpected(loop.error());
    const result<event_sink *> decision = owner.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    result<envelope_seal> seal = envelope_seal::create(m_bounds.keys);
    if (!seal)
        return tl::unexpected(seal.error());
    m_loop = *loop;
    m_decision = *decision;
    m_seal = std::make_unique<envelope_seal>(std::move(*seal));
    m_running = std::make_shared<bool>(true);
    m_deferredTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { deliverDeferred(); });
    m_idleTimer = std::make_unique<timer_watcher>(*m_loop, [this]() { dropIdleChannels(); });
    m_idleTimer->startRepeating(m_bounds.channelIdleMax / 4);
    m_flush = std::make_unique<flush_wait>(*m_loop);
    const std::weak_ptr<bool> running = m_running;
    peer_rpc::handlers callbacks;
    callbacks.onMessage = [this, running](std::shared_ptr<const peer::v1::Envelope> envelope) {
        m_loop->post([this, running, held = std::move(envelope)]() {
            if (running.expired())
                return;
            m_rpc->messageHandled();
            receive(*held);
        });
    };
    callbacks.onSent = [this, running](std::uint64_t sendId, std::string failure) {
        m_loop->post([this, running, sendId, text = std::move(failure)]() {
            if (!running.expired())
                messageSent(sendId, text);
        });
    };
    result<std::unique_ptr<peer_rpc>> rpc
        = peer_rpc::create(m_bounds.listenAddress,
                           {m_bounds.messageBytesMax, m_bounds.receivedMax, m_bounds.memoryBytesMax,
                            m_bounds.sendTimeLimit},
                           std::move(callbacks));
    if (!rpc)
        return tl::unexpected(rpc.error());
    m_rpc = std::move(*rpc);
    return {};
}

void peer_link::stop()
{
    m_running.reset();
    m_channels.clear();
    m_rpc.reset();
    m_idleTimer.reset();
    m_deferredTimer.reset();
    m_flush.reset();
    m_deferred.clear();
    m_sending.clear();
}

void peer_link::sendPeerMessage(const send_peer_message &order)
{
    if (m_sending.size() >= m_bounds.inFlightMax) {
        failLater(order, "in_flight");
        return;
    }
    peer_channel *to = channelTo(order.peerAddress);
    if (to == nullptr) {
        failLater(order, "channel");
        return;
    }
    if (to->inFlight >= m_bounds.inFlightPerPeerMax) {
        failLater(order, "in_flight_per_peer");
        return;
    }
    peer::v1::Envelope envelope;
    envelope.set_protocol(m_bounds.protocol);
    envelope.set_sender_vm(m_bounds.self.vm);
    envelope.set_sender_start(m_bounds.self.startNumber);
    envelope.set_send_counter(++m_lastCounter);
    encodeMessage(order.message, envelope);
    m_seal->sign(envelope);
    const std::size_t bytes = envelope.ByteSizeLong();
    if (bytes > m_bounds.messageBytesMax) {
        failLater(order, "too_large");
        return;
    }
    m_counters.add(perMessage("peer_messages_sent_total", order.message));
    m_counters.add("peer_bytes_sent_total", bytes);
    ++to->inFlight;
    to->lastUsed = m_loop->now();
    m_sending.emplace(m_lastCounter, sent_message {order.peerAddress, order.messageId});
    m_rpc->send(to->channel, m_lastCounter, envelope);
    updateGauges();
}

void peer_link::flush(duration timeLimit, std::function<void()> done)
{
    m_rpc->refuseMessages();
    m_flush->begin(m_sending.empty(), timeLimit, std::move(done));
}

peer_link::peer_channel *peer_link::channelTo(const std::string &peerAddress)
{
    const auto found = m_channels.find(peerAddress);
    if (found != m_channels.end())
        return &found->second;
    if (!isNumericAddress(peerAddress)
        || (m_channels.size() >= m_bounds.channelsMax && !dropIdlestChannel()))
        return nullptr;
    peer_channel &added = m_channels[peerAddress];
    added.channel = m_rpc->connect(peerAddress);
    m_counters.add("peer_channels_opened_total");
    return &added;
}

bool peer_link::dropIdlestChannel()
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

void peer_link::dropIdleChannels()
{
    const instant now = m_loop->now();
    std::erase_if(m_channels, [&](const std::pair<const std::string, peer_channel> &item) {
        return item.second.inFlight == 0 && now - item.second.lastUsed > m_bounds.channelIdleMax;
    });
    updateGauges();
}

void peer_link::messageSent(std::uint64_t sendId, const std::string &failure)
{
    const auto found = m_sending.find(sendId);
    if (found == m_sending.end())
        return;
    const sent_message message = std::move(found->second);
    m_sending.erase(found);
    const auto to = m_channels.find(message.peerAddress);
    if (to != m_channels.end()) {
        --to->second.inFlight;
        to->second.lastUsed = m_loop->now();
    }
    updateGauges();
    if (m_sending.empty())
        m_flush->emptied();
    if (failure.empty())
        return;
    m_counters.add("peer_sends_failed_total{reason=\"rpc\"}");
    m_decision->deliver(peer_send_failed {message.peerAddress, message.messageId});
}

void peer_link::failLater(const send_peer_message &order, const char *reason)
{
    m_counters.add("peer_sends_failed_total{reason=\"" + std::string(reason) + "\"}");
    m_deferred.push_back({order.peerAddress, order.messageId});
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
    if (bytes > m_bounds.messageBytesMax) {
        refuse("too_large");
        return;
    }
    const result<void> checked = m_seal->check(envelope);
    if (!checked) {
        refuse(refusalReason(checked.error().code));
        return;
    }
    const process_id from {envelope.sender_vm(), envelope.sender_start()};
    // Decoded first, so that a message that this version cannot read does not use up its counter.
    result<peer_message> message = decodeMessage(envelope);
    if (!message) {
        refuse("malformed");
        return;
    }
    if (!acceptCounter(from, envelope.send_counter())) {
        refuse("replay");
        return;
    }
    m_counters.add(perMessage("peer_messages_received_total", *message));
    m_decision->deliver(peer_message_received {from, std::move(*message)});
}

bool peer_link::acceptCounter(const process_id &from, std::uint64_t counter)
{
    const auto found = m_senders.find(from);
    if (found != m_senders.end()) {
        m_senderOrder.splice(m_senderOrder.end(), m_senderOrder, found->second.order);
        return found->second.window.accept(counter);
    }
    if (m_senders.size() >= m_bounds.sendersMax) {
        m_senders.erase(m_senderOrder.front());
        m_senderOrder.pop_front();
        m_counters.add("peer_senders_forgotten_total");
    }
    m_senderOrder.push_back(from);
    sender &added = m_senders[from];
    added.order = std::prev(m_senderOrder.end());
    return added.window.accept(counter);
}

void peer_link::refuse(const char *reason)
{
    m_counters.add("peer_messages_refused_total{reason=\"" + std::string(reason) + "\"}");
}

void peer_link::updateGauges()
{
    m_counters.set("peer_messages_in_flight", static_cast<double>(m_sending.size()));
    m_counters.set("peer_channels_open", static_cast<double>(m_channels.size()));
    m_counters.set("peer_senders_known", static_cast<double>(m_senders.size()));
    m_counters.set("peer_messages_refused_busy", static_cast<double>(m_rpc->refusedTotal()));
}

} // namespace almondnotch
