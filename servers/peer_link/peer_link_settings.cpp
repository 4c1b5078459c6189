#include "servers/peer_link/peer_link_settings.h"

namespace almondnotch {

std::vector<setting_declaration> peerLinkDeclarations()
{
    setting_declaration listen;
    listen.name = "peers.listen";
    listen.defaultValue = std::string();
    listen.doc = "Address for messages of other gateways, as ip:port.";
    listen.required = true;
    setting_declaration protocol;
    protocol.name = "peers.protocol";
    protocol.defaultValue = static_cast<std::int64_t>(peerProtocolCurrent);
    protocol.minimum = peerProtocolPrevious;
    protocol.maximum = peerProtocolCurrent;
    protocol.unit = "protocol number";
    protocol.doc = "Protocol of sent messages. Keep the previous one until every gateway runs a "
                   "version that understands the current one.";
    return {listen, protocol};
}

result<peer_link_settings> readPeerLinkSettings(const settings &values)
{
    peer_link_settings out;
    out.listenAddress = values.text("peers.listen");
    out.protocol = static_cast<unsigned>(values.integer("peers.protocol"));
    const toml::array *keys = values.file()["peers"]["keys"].as_array();
    if (keys == nullptr)
        return fail(error_code::invalid_settings, "read peer keys", {},
                    "expected [[peers.keys]] tables with id and secret");
    for (const toml::node &node : *keys) {
        const toml::table *table = node.as_table();
        if (table == nullptr)
            return fail(error_code::invalid_settings, "read peer keys", {}, "expected a table");
        out.keys.push_back(
            {(*table)["id"].value_or(std::string()), (*table)["secret"].value_or(std::string())});
    }
    const result<envelope_seal> usable = envelope_seal::create(out.keys);
    if (!usable)
        return tl::unexpected(usable.error());
    return out;
}

} // namespace almondnotch
