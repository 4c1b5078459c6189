#pragma once

#include <string_view>
#include <vector>

#include "decision/types.h"

namespace almondnotch {

/// Compares field names and other tokens case-insensitively (RFC 9110 section 5.1).
bool isEqualIgnoringCase(std::string_view left, std::string_view right);

/// True for `Almondnotch-*` fields.
bool isAlmondnotchField(std::string_view name);

/// Returns the header fields that may be forwarded. Omits hop-by-hop fields (RFC 9110 section
/// 7.6.1) and the fields that `Connection` lists; `Almondnotch-*` fields; framing fields, since
/// each connection frames messages anew; and `Expect`, since the body has already been received.
/// `Host` is kept even if `Connection` lists it.
std::vector<header_field> forwardableFields(const std::vector<header_field> &fields);

} // namespace almondnotch
