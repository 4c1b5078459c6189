#include "servers/directory_endpoint/register_services.h"

#include <memory>
#include <utility>

namespace almondnotch {

result<void> registerDirectoryEndpoint(service_manager &owner, directory_endpoint_settings settings,
                                       const directory_protocol &protocol)
{
    return owner.add("directory_port", start_level::listeners,
                     std::make_unique<directory_endpoint>(std::move(settings), protocol));
}

} // namespace almondnotch
