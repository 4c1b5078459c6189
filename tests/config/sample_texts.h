#pragma once

#include <string>
#include <vector>

#include "config/parser.h"

namespace almondnotch {

/// A small set without faults, in one text.
std::string validText();

/// The text with the first occurrence of `from` replaced. Throws if there is none.
std::string replaced(std::string text, const std::string &from, const std::string &to);

/// Faults of a set of one text "set.toml" as lines; empty if it has none.
std::vector<std::string> faultsOf(const std::string &text);

/// The files of one user below samples/.
std::vector<config_text> sampleSet(const std::string &sample);

} // namespace almondnotch
