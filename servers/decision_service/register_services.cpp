#include "servers/decision_service/register_services.h"

#include <memory>
#include <utility>

#include "servers/decision_service/decision_service.h"

namespace almondnotch {

result<void> registerDecisionService(service_manager &owner,
                                     decision_service::core_factory makeCore)
{
    return owner.add("decision", start_level::decisions,
                     std::make_unique<decision_service>(std::move(makeCore)));
}

} // namespace almondnotch
