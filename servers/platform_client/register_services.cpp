#include "servers/platform_client/register_services.h"

#include <memory>

namespace almondnotch {

result<platform_client *> registerPlatformClient(service_manager &owner,
                                                 platform_client_settings settings,
                                                 const store_protocol *storeProtocol)
{
    std::unique_ptr<platform_client> created
        = std::make_unique<platform_client>(std::move(settings), storeProtocol);
    platform_client *borrowed = created.get();
    const result<void> added
        = owner.add("platform_client", start_level::transports, std::move(created));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
