#include "servers/operator_endpoint/register_services.h"

#include <memory>
#include <utility>

namespace almondnotch {

result<operator_endpoint *> registerOperatorEndpoint(service_manager &owner,
                                                     operator_settings settings)
{
    std::unique_ptr<operator_endpoint> endpoint
        = std::make_unique<operator_endpoint>(std::move(settings));
    operator_endpoint *borrowed = endpoint.get();
    const result<void> added
        = owner.add("operator_endpoint", start_level::listeners, std::move(endpoint));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
