#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/random_source.h"
#include "core/time.h"

namespace almondnotch {

/// Simulated caller: queries the entry addresses of a service together with a key range, caches the
/// response until it expires, and numbers its operations within the key range.
class caller
{
public:
    /// \param bootstrap entry addresses for the first query, and for later ones if the addresses of
    /// the last response fail; with `direct`, addresses of workers that are called without a query.
    caller(std::vector<std::string> bootstrap, std::string service, bool direct,
           std::uint64_t seed);

    /// Address to send a call to. Fetches new addresses if the cached ones have expired.
    /// \param transmission 0 for the first transmission of the call; each retransmission uses the
    /// next address.
    std::string addressFor(instant now, unsigned transmission);

    /// Handles a failed connection to the first address: removes it if there are others, discards
    /// the key range, since the gateway that issued it may no longer be running, and expires the
    /// cached addresses.
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
