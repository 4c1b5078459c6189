#pragma once

#include "core/error.h"
#include "core/service_manager.h"
#include "servers/http_entry/entry_settings.h"
#include "servers/http_entry/http_entry.h"

namespace almondnotch {

/// Registers the service "http_entry".
/// \param protocol must outlive the service.
/// \return the service, owned by `owner`.
result<http_entry *> registerHttpEntry(service_manager &owner, entry_settings settings,
                                       const caller_protocol &protocol = nativeCallerProtocol());

} // namespace almondnotch
