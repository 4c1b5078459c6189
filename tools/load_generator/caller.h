#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/random_source.h"
#include "core/time.h"

namespace almondnotch {

/// Simulated caller: queries entry addresses, caches the response until it expires, and numbers
/// its operations within its key range.
class caller
{
public:
    /// \param bootstrap entry addresses for the first query; with `direct`, addresses of workers
    /// that are called without a query.
    caller(std::vector<std::string> bootstrap, std::string service, bool direct,
           std::uint64_t seed);

    /// Address for a transmission of a call, counted from 0. Queries new addresses if the cached
    /// ones have expired.
    std::string addressFor(instant now, unsigned transmission);

    /// Handles a failed connection to the first address: removes it if there are others, discards
    /// the key range, which is lost with the process, and expires the cached addresses.
    void handleConnectFailure();

    /// Idempotency key of the next operation; empty without a key range.
    std::string nextKey();

    std::uint64_t queries() const { return m_queries; }
    std::uint64_t failedQueries() const { return m_failedQueries; }

private:
    void refresh(instant now);
    bool applyResponse(instant now, const std::string &body);

    std::vector<std::string> m_bootstrap;
    std::string m_service;
    bool m_direct;
    random_source m_random;
    std::vector<std::string> m_addresses;
    std::string m_keyRange;
    std::uint32_t m_nextNumber = 1;
    instant m_expiresAt;
    std::uint64_t m_queries = 0;
    std::uint64_t m_failedQueries = 0;
};

} // namespace almondnotch
