#pragma once

#include <string_view>
#include <vector>

#include "decision/types.h"

namespace almondnotch {

/// Compares field names, which are not case-sensitive (RFC 9110 section 5.1).
bool isSameField(std::string_view left, std::string_view right);

/// True for the fields of almondnotch's own protocol.
bool isAlmondnotchField(std::string_view name);

/// Copies the fields that may be forwarded to the other side. Leaves out hop-by-hop fields (RFC
/// 9110 section 7.6.1) with those that `Connection` names, `Almondnotch-*` fields, and those that
/// describe the framing of the message, which is made anew on each connection. `Host` stays even if
/// `Connection` names it.
std::vector<header_field> removeConnectionFields(const std::vector<header_field> &fields);

} // namespace almondnotch
