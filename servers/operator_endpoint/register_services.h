#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/operator_endpoint/operator_endpoint.h"

namespace almondnotch {

/// Registers the service "operator_endpoint".
/// \return the service, owned by `owner`.
result<operator_endpoint *> registerOperatorEndpoint(service_manager &owner,
                                                     operator_settings settings);

} // namespace almondnotch
