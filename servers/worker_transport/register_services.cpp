#include "servers/worker_transport/register_services.h"

#include <memory>

namespace almondnotch {

result<worker_transport *> registerWorkerTransport(kernel &owner, worker_transport_settings bounds,
                                                   const worker_dialect &dialect)
{
    std::unique_ptr<worker_transport> part = std::make_unique<worker_transport>(bounds, dialect);
    worker_transport *borrowed = part.get();
    const result<void> added
        = owner.add("worker_transport", start_level::transports, std::move(part));
    if (!added)
        return tl::unexpected(added.error());
    return borrowed;
}

} // namespace almondnotch
