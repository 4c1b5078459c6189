#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/time.h"

namespace almondnotch {

/// Address and limits of the listener for callers.
struct entry_settings
{
    /// "ip:port"; with port 0 the operating system chooses one.
    std::string address;
    /// Maximum number of connections from callers. Further ones wait in the listen queue.
    unsigned connectionsMax = 10000;
    /// A connection without traffic in either direction is closed after this time, except while its
    /// response is pending.
    seconds idleTimeout {60};
    /// Maximum time from the request line to the end of the body.
    duration receiveTimeMax {seconds(30)};
    /// Maximum size of a request body, bytes.
    std::size_t bodyBytesMax = std::size_t {1024} * 1024;
    /// Maximum size of the request line and the header fields together, bytes. Also applies to the
    /// header fields of a response.
    std::size_t headerBytesMax = std::size_t {16} * 1024;
    /// Maximum total size of the bodies of all requests whose response has not been sent, bytes. A
    /// body counts with its declared length as soon as its headers have been received.
    std::uint64_t heldBodyBytesMax = std::uint64_t {64} * 1024 * 1024;
    /// Maximum total size of the bodies of all responses that callers have not read yet, without
    /// the first 16 KiB of each, bytes. A response beyond it is replaced by an error.
    std::size_t heldResponseBytesMax = std::size_t {32} * 1024 * 1024;
    /// Maximum number of requests of one connection whose response has not been passed to the
    /// writer. 1 makes a connection's requests wait for one another.
    unsigned pipelinedRequestsMax = 16;
    /// A connection whose caller reads no byte of a pending response for this time is closed.
    duration unreadTimeMax {seconds(10)};
    /// Seed for generated request identifiers. Must differ between processes.
    std::uint64_t seed = 0;
};

} // namespace almondnotch
