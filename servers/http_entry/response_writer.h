#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <microhttpd.h>

#include "decision/actions.h"
#include "decision/types.h"

namespace almondnotch {

/// Options for writing a response.
struct response_options
{
    /// Header fields that the gateway adds.
    std::vector<header_field> addedFields;
    /// True if the method of the request was HEAD.
    bool isHeadRequest = false;
    bool closeConnection = false;
};

/// Why a worker's response cannot be forwarded: its status, header syntax or header size.
/// \return nothing if it can be forwarded.
std::optional<std::string> findResponseFault(const call_response &response,
                                             std::size_t headerBytesMax);

/// Builds libmicrohttpd's representation of a response, with the fields of `options` added and
/// without connection fields. It shares the body with `response`. The calling code must destroy it.
/// \return null if out of memory.
MHD_Response *makeMhdResponse(const shared_response &response, const response_options &options);

/// Builds the response to an entry query for which addresses are known.
shared_response makeEntryResponse(const std::string &service, const send_entry_response &command);

} // namespace almondnotch
