#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/time.h"
#include "decision/types.h"
#include "servers/peer_link/envelope_authenticator.h"

namespace almondnotch {

/// Identity, keys and bounds of the exchange with other gateways.
struct peer_link_settings
{
    /// "ip:port" to listen on; port 0 lets the kernel choose.
    std::string listenAddress;
    process_id self;
    /// The first key signs.
    std::vector<peer_key> keys;
    /// Protocol number of sent messages. Stays at the previous one while gateways of the version
    /// before are running.
    unsigned protocol = peerProtocolCurrent;
    /// Longest message, in either direction (design, section 6).
    std::size_t messageBytesMax = 1'258'291;
    duration sendTimeLimit {seconds(2)};
    std::size_t inFlightPerPeerMax = 64;
    std::size_t inFlightMax = 1'024;
    /// Open channels; the one that was idle for longest is closed first.
    std::size_t channelsMax = 64;
    /// An idle channel is closed after this time.
    duration channelIdleMax {seconds(20)};
    /// Messages that arrived and wait for the event loop.
    std::size_t receiveQueueMax = 1'024;
    /// Sending processes whose counters are remembered, 2 KiB each; the one silent for longest is
    /// forgotten first.
    std::size_t sendersMax = 2'048;
    /// Memory that gRPC may use for buffers.
    std::size_t memoryBytesMax = 33'554'432;
};

/// Declarations of those settings above that no other part of the daemon declares.
std::vector<setting_declaration> peerLinkDeclarations();

/// The values that a settings file gives; address, identity and keys are left to the caller.
peer_link_settings readPeerLinkSettings(const settings &values);

} // namespace almondnotch
