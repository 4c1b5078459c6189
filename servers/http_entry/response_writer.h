#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <microhttpd.h>

#include "decision/actions.h"
#include "decision/types.h"

namespace almondnotch {

/// What a response depends on besides its content.
struct response_options
{
    /// Fields that the gateway adds.
    std::vector<header_field> addedFields;
    /// The request's method was HEAD.
    bool isHead = false;
    bool closeConnection = false;
};

/// Why a worker's response cannot be written: status, header syntax or size; nothing if it can.
std::optional<std::string> findResponseFault(const call_response &response,
                                             std::size_t headerBytesMax);

/// The response in libmicrohttpd's form, with `Almondnotch-Request-Id` and `Almondnotch-Outcome`
/// and without connection fields. It shares the body. The caller destroys it. \return null if
/// memory is short.
MHD_Response *makeMhdResponse(const shared_response &response, const response_options &options);

/// Response to an entry query that has addresses.
shared_response makeEntryResponse(const std::string &service, const send_entry_response &command);

} // namespace almondnotch
