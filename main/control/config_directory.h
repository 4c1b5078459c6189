#pragma once

#include <string>
#include <vector>

#include "config/parser.h"

namespace almondnotch {

/// Reads the *.toml files of a directory, in the order of their names, as the texts of one set.
/// Other files and sub-directories are passed over.
/// \return an error if the directory or a file cannot be read, or if there is none.
result<std::vector<config_text>> readConfigDirectory(const std::string &directory);

/// Writes a file so that a reader sees all of it or nothing.
result<void> writeFileAtomically(const std::string &path, const std::string &content);

} // namespace almondnotch
