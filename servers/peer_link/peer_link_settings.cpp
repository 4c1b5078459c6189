#include "servers/peer_link/peer_link_settings.h"

namespace almondnotch {

std::vector<setting_declaration> peerLinkDeclarations()
{
    setting_declaration protocol;
    protocol.name = "peer.protocol";
    protocol.defaultValue = static_cast<std::int64_t>(peerProtocolCurrent);
    protocol.minimum = peerProtocolPrevious;
    protocol.maximum = peerProtocolCurrent;
    protocol.unit = "protocol number";
    protocol.doc = "Protocol number of sent messages. Keep the previous number until every gateway "
                   "runs a version that accepts the current one.";
    return {protocol};
}

peer_link_settings readPeerLinkSettings(const settings &values)
{
    peer_link_settings out;
    out.protocol = static_cast<unsigned>(values.integer("peer.protocol"));
    return out;
}

} // namespace almondnotch
