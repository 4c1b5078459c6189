#include "servers/decision_task/register_services.h"

#include <memory>
#include <utility>

#include "servers/decision_task/decision_task.h"

namespace almondnotch {

result<void> registerDecisionTask(service_manager &owner, decision_task::core_factory makeCore)
{
    return owner.add("decision", start_level::decisions,
                     std::make_unique<decision_task>(std::move(makeCore)));
}

} // namespace almondnotch
