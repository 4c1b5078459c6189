#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "main/control/command.h"

namespace almondnotch {

/// Runs one command line, without the program's name.
/// \param terminal the output is a terminal.
exit_code runCommandLine(const std::vector<std::string> &words, std::ostream &out,
                         std::ostream &err, bool isTerminal);

} // namespace almondnotch
