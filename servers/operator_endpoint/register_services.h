#pragma once

#include "core/error.h"
#include "core/kernel.h"
#include "servers/operator_endpoint/operator_endpoint.h"

namespace almondnotch {

/// Registers the service "operator_endpoint".
/// \return the service, owned by `owner`.
result<operator_endpoint *> registerOperatorEndpoint(kernel &owner, operator_settings settings);

} // namespace almondnotch
