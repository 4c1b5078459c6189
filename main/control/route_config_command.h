#pragma once

#include "main/control/command.h"

namespace almondnotch {

/// Checks a file with a configuration as the operator sends it to the platform, before it is sent.
exit_code runConfig(const command_context &context);

} // namespace almondnotch
