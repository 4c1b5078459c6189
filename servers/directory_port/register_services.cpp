#include "servers/directory_port/register_services.h"

#include <memory>
#include <utility>

namespace almondnotch {

result<void> registerDirectoryPort(service_manager &owner, directory_settings settings,
                                   const directory_protocol &protocol)
{
    return owner.add("directory_port", start_level::listeners,
                     std::make_unique<directory_port>(std::move(settings), protocol));
}

} // namespace almondnotch
