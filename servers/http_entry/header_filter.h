#pragma once

#include <string_view>
#include <vector>

#include "decision/types.h"

namespace almondnotch {

/// Compares field names, which are not case-sensitive (RFC 9110 section 5.1).
bool isSameField(std::string_view left, std::string_view right);

/// True for `Almondnotch-*` fields.
bool isAlmondnotchField(std::string_view name);

/// Copies the header fields that may be forwarded. Leaves out hop-by-hop fields (RFC 9110 section
/// 7.6.1) including those listed in `Connection`, `Almondnotch-*` fields, and framing fields, since
/// each connection frames messages anew. `Host` is kept even if `Connection` lists it.
std::vector<header_field> forwardableFields(const std::vector<header_field> &fields);

} // namespace almondnotch
