#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/time.h"
#include "decision/types.h"
#include "servers/peer_link/envelope_authenticator.h"

namespace almondnotch {

/// Identity, keys and limits of the link to other gateways.
struct peer_link_settings
{
    /// "ip:port" to listen on; with port 0 the operating system chooses the port.
    std::string listenAddress;
    process_id self;
    /// The first key signs; all keys are accepted.
    std::vector<peer_key> keys;
    /// Protocol number of sent messages. Must be set to the previous number while gateways of the
    /// previous version are running.
    unsigned protocol = peerProtocolCurrent;
    /// Maximum size of a message in bytes, in either direction (docs/design.md, section 6).
    std::size_t messageBytesMax = 1'258'291;
    duration sendTimeLimit {seconds(2)};
    /// Maximum number of messages to one peer whose acknowledgement is pending.
    std::size_t messagesInFlightPerPeerMax = 64;
    /// Maximum number of messages to all peers whose acknowledgement is pending.
    std::size_t messagesInFlightMax = 1'024;
    /// Maximum number of open channels; the least recently used idle one is closed first.
    std::size_t channelsMax = 64;
    /// A channel that has been idle for this time is closed.
    duration channelIdleMax {seconds(20)};
    /// Maximum number of received messages that wait for the event loop.
    std::size_t receiveQueueMax = 1'024;
    /// Maximum number of sending processes whose replay windows are kept, 2 KiB each; the one whose
    /// last message is oldest is evicted first.
    std::size_t sendersMax = 2'048;
    /// Maximum memory that gRPC may use for buffers, in bytes.
    std::size_t memoryBytesMax = 33'554'432;
};

/// Declares the setting `peer.protocol`, the only member that is read from the settings file.
std::vector<setting_declaration> peerLinkDeclarations();

/// Reads `protocol` from the values of a settings file. The limits keep their defaults; address,
/// identity and keys are left for the calling code to set.
peer_link_settings readPeerLinkSettings(const settings &values);

} // namespace almondnotch
