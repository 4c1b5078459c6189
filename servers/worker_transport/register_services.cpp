#include "servers/worker_transport/register_services.h"

#include <memory>

namespace almondnotch {

result<worker_transport *> registerWorkerTransport(service_manager &owner,
                                                   worker_transport_settings settings,
                                                   const worker_protocol &protocol)
{
    std::unique_ptr<worker_transport> created
        = std::make_unique<worker_transport>(settings, protocol);
    worker_transport *borrowed = created.get();
    const result<void> added
        = owner.add("worker_transport", start_level::transports, std::move(created));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
