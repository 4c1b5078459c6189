#pragma once

#include <iosfwd>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace almondnotch {

/// Parses a response body, keeping the order of keys. Values that nest deeper than 32 levels are
/// left out, because printing them recurses.
result<nlohmann::ordered_json> parseJson(std::string_view text, std::string_view peer);

/// Prints any JSON value as aligned tables: plain members as name and value, lists of objects as
/// rows with headings, other objects under their own title.
void printJsonAsText(const nlohmann::ordered_json &value, std::ostream &out, bool isTerminal);

/// JSON for other programs; one line if `compact`.
void printJson(const nlohmann::ordered_json &value, std::ostream &out, bool compact);

} // namespace almondnotch
