#include "servers/platform_client/register_services.h"

#include <memory>

namespace almondnotch {

result<platform_client *> registerPlatformClient(kernel &owner, platform_client_settings bounds,
                                                 const store_dialect *items)
{
    std::unique_ptr<platform_client> part
        = std::make_unique<platform_client>(std::move(bounds), items);
    platform_client *borrowed = part.get();
    const result<void> added
        = owner.add("platform_client", start_level::transports, std::move(part));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
