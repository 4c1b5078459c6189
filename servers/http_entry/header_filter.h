#pragma once

#include <string_view>
#include <vector>

#include "decision/types.h"

namespace almondnotch {

/// Compares field names (RFC 9110 section 5.1) and other ASCII text case-insensitively. Equivalent
/// to `equalIgnoringCase` of the package curl_loop, on which this package does not depend.
bool isEqualIgnoringCase(std::string_view left, std::string_view right);

/// True for `Almondnotch-*` fields. Equivalent to `isAlmondnotchHeader` of the package curl_loop.
bool isAlmondnotchField(std::string_view name);

/// Returns the header fields that may be forwarded. Omits hop-by-hop fields (RFC 9110 section
/// 7.6.1) and the fields that `Connection` lists; `Almondnotch-*` fields; framing fields, since
/// messages are framed separately on each connection; and `Expect`, since the body has already been
/// received. `Host` is kept even if `Connection` lists it.
std::vector<header_field> forwardableFields(const std::vector<header_field> &fields);

} // namespace almondnotch
