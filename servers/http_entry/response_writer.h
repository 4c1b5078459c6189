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

/// Checks the status, the header syntax and the header size of a response.
/// \return why the response cannot be sent to the caller; nothing if it can.
std::optional<std::string> findResponseFault(const call_response &response,
                                             std::size_t headerBytesMax);

/// Builds libmicrohttpd's representation of a response, without the fields that `forwardableFields`
/// omits and with those of `options` added. It shares the body with `response`. The calling code
/// must destroy it.
/// \return null if out of memory.
MHD_Response *makeMhdResponse(const shared_response &response, const response_options &options);

/// Builds the response to an entry query for which addresses are known.
shared_response makeEntryResponse(const std::string &service, const send_entry_response &command);

} // namespace almondnotch
