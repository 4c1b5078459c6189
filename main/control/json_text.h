#pragma once

#include <iosfwd>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace almondnotch {

/// Parses a response body, keeping the order of keys. Values that are nested deeper than 32 levels
/// are dropped, since printing is recursive and could exhaust the stack.
/// \param peer address of the gateway, for the error.
result<nlohmann::ordered_json> parseJson(std::string_view text, std::string_view peer);

/// Prints any JSON value as aligned tables: scalar members and arrays of scalars as name and value,
/// arrays of objects, and objects whose members are objects with the same keys, as rows with
/// headings, and all other objects as sections with a title.
void printJsonAsText(const nlohmann::ordered_json &value, std::ostream &out, bool isTerminal);

/// Prints JSON for other programs, indented or, if `compact`, on one line.
void printJson(const nlohmann::ordered_json &value, std::ostream &out, bool compact);

} // namespace almondnotch
