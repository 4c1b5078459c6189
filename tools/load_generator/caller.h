#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/random_source.h"
#include "core/time.h"

namespace almondnotch {

/// One caller of the system: asks for entry addresses, keeps the answer for its lifetime, and
/// numbers its operations within its key range.
class caller
{
public:
    /// \param bootstrap entry addresses to ask; with `direct` the worker addresses to use as they
    /// are.
    caller(std::vector<std::string> bootstrap, std::string service, bool direct,
           std::uint64_t seed);

    /// Address for a call's n-th transmission; asks for new addresses when the old ones expired.
    std::string addressFor(instant now, unsigned transmission);

    /// No connection to the first address: its process is gone, and its key range with it.
    void handleConnectFailure();

    /// The next operation's key; empty without a key range.
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
