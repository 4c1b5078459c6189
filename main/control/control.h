#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "main/control/command.h"

namespace almondnotch {

/// Runs almondnotchctl.
/// \param words arguments without the program name.
/// \param isTerminal whether `out` is a terminal.
exit_code runCommandLine(const std::vector<std::string> &words, std::ostream &out,
                         std::ostream &err, bool isTerminal);

} // namespace almondnotch
