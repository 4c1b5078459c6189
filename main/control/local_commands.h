#pragma once

#include "main/control/command.h"

namespace almondnotch {

/// Commands that run without a gateway.
exit_code runCheck(const command_context &context);
exit_code runDiff(const command_context &context);
exit_code runManifest(const command_context &context);
exit_code runVersion(const command_context &context);

} // namespace almondnotch
