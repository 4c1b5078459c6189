#pragma once

#include "core/time.h"

namespace almondnotch {

/// Remembers whether the store was unavailable recently, so that entries that expired meanwhile can
/// be told from workers that were removed.
class store_outage
{
public:
    /// Time within which workers renew their expired entries after an outage: 2 s by the platform's
    /// protocol, and 1 s until the renewal is read.
    static constexpr duration renewalTimeMax = seconds(3);

    /// \param isStoreUnavailable what this gateway knows at `now`.
    void update(instant now, bool isStoreUnavailable)
    {
        if (m_isOngoing && !isStoreUnavailable)
            m_renewalEnd = now + renewalTimeMax;
        m_isOngoing = isStoreUnavailable;
    }

    /// True if missing entries may have expired in an outage and may still be renewed.
    bool mayRenewEntries(instant now) const { return m_isOngoing || now < m_renewalEnd; }
    /// When `mayRenewEntries` becomes false; `never` if it is false, or if the outage goes on.
    instant renewalEnd(instant now) const
    {
        return !m_isOngoing && now < m_renewalEnd ? m_renewalEnd : instant::never();
    }

private:
    bool m_isOngoing = false;
    instant m_renewalEnd;
};

} // namespace almondnotch
