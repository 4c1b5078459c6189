#include "servers/peer_link/register_services.h"

#include <memory>

namespace almondnotch {

result<peer_link *> registerPeerLink(service_manager &owner, peer_link_settings settings)
{
    std::unique_ptr<peer_link> created = std::make_unique<peer_link>(std::move(settings));
    peer_link *borrowed = created.get();
    const result<void> added = owner.add("peer_link", start_level::transports, std::move(created));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
