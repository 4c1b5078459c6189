#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/time.h"

namespace almondnotch {

/// Bounds of the entry port.
struct entry_settings
{
    /// "ip:port"; port 0 lets the system choose.
    std::string address;
    /// Connections of callers; further ones wait in the listen queue.
    unsigned connectionsMax = 10000;
    /// Connections without a byte in either direction are closed after this time.
    seconds idleTimeout {60};
    /// Longest time from the arrival of a request line to the end of the body.
    duration receiveTimeMax {seconds(30)};
    /// Largest body, bytes.
    std::size_t bodyBytesMax = std::size_t {1024} * 1024;
    /// Request line and header fields together, bytes; the same bound for a response's.
    std::size_t headerBytesMax = std::size_t {16} * 1024;
    /// Bodies of all requests whose response has not been sent, bytes.
    std::uint64_t heldBodyBytesMax = std::uint64_t {64} * 1024 * 1024;
    /// Seed of the request identifiers; differs between processes.
    std::uint64_t seed = 0;
};

} // namespace almondnotch
