#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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
    /// True if the connection is closed after the response.
    bool closeConnection = false;
    /// True if a caller with HTTP/1.0 must be told that the connection is kept.
    bool announceKeepAlive = false;
};

/// Checks the status, the header syntax and the header size of a response.
/// \return why the response cannot be sent to the caller; nothing if it can.
std::optional<std::string> findResponseFault(const call_response &response,
                                             std::size_t headerBytesMax);

/// True if the response has no body because of the request's method or its status.
bool isBodyOmitted(const call_response &response, bool isHeadRequest);

/// True if the response neither has a body nor says its length. Such a response ends its
/// connection.
bool isLengthUnknown(const call_response &response, bool isHeadRequest);

/// Returns the status line and the header fields, without those that `forwardableFields` omits and
/// with those of `options` added.
/// \param unixSeconds time of day for the field `Date` of a response that has none.
std::string makeResponseHead(const call_response &response, const response_options &options,
                             std::int64_t unixSeconds);

/// Builds the response to an entry query for which addresses are known.
shared_response makeEntryResponse(const std::string &service, const send_entry_response &command);

} // namespace almondnotch
