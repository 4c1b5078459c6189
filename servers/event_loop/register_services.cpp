#include "servers/event_loop/register_services.h"

#include <memory>

namespace almondnotch {

result<event_loop *> registerEventLoop(service_manager &owner)
{
    std::unique_ptr<event_loop> loop = std::make_unique<event_loop>();
    event_loop *borrowed = loop.get();
    const result<void> added = owner.add("loop", start_level::loop, std::move(loop));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
