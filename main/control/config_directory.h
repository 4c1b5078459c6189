#pragma once

#include <string>
#include <vector>

#include "config/parser.h"

namespace almondnotch {

/// Reads the *.toml files of a directory, sorted by name, as the texts of one configuration set.
/// Other files and subdirectories are ignored.
/// \return an error if the directory or a file cannot be read, or if there are no *.toml files or
/// more than `configPartsMax`.
result<std::vector<config_text>> readConfigDirectory(const std::string &directory);

/// Writes a file atomically, so that a reader never sees incomplete content.
result<void> writeFileAtomically(const std::string &path, const std::string &content);

} // namespace almondnotch
