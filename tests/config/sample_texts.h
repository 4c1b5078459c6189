#pragma once

#include <string>
#include <vector>

#include "config/parser.h"

namespace almondnotch {

/// A small set without faults, in one text.
std::string validText();

/// The text with the first occurrence of `from` replaced by `to`. Throws `std::logic_error` if
/// there is none.
std::string replaced(std::string text, const std::string &from, const std::string &to);

/// Faults of a set with the single text "set.toml", one line each; empty if there are none.
std::vector<std::string> faultsOf(const std::string &text);

/// The configuration files of one of the samples below samples/.
std::vector<config_text> sampleSet(const std::string &sample);

} // namespace almondnotch
