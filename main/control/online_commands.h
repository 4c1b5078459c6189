#pragma once

#include "main/control/command.h"

namespace almondnotch {

/// Commands that send a request to a gateway.
exit_code runDump(const command_context &context);
exit_code runExplain(const command_context &context);
exit_code runEntrypoints(const command_context &context);
exit_code runWorkers(const command_context &context);
exit_code runDrain(const command_context &context);

} // namespace almondnotch
