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

/// Prints any JSON value as aligned text. Scalars and arrays of scalars become lines with name and
/// value. An array of objects, or an object with two or more members that are objects with the same
/// keys, becomes a table with headings and one row for each member. Every other object becomes a
/// section with a title.
void printJsonAsText(const nlohmann::ordered_json &value, std::ostream &out, bool isTerminal);

/// Prints JSON for other programs, indented or, if `compact`, on one line.
void printJson(const nlohmann::ordered_json &value, std::ostream &out, bool compact);

} // namespace almondnotch
