#include "servers/peer_link/register_services.h"

#include <memory>

namespace almondnotch {

result<peer_link *> registerPeerLink(kernel &owner, peer_link_settings bounds)
{
    std::unique_ptr<peer_link> part = std::make_unique<peer_link>(std::move(bounds));
    peer_link *borrowed = part.get();
    const result<void> added = owner.add("peer_link", start_level::transports, std::move(part));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
