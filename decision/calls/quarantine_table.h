#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/time.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Finds requests that crash workers and refuses them for a time.
///
/// A connection that broke during a call is only a suspicion; it becomes a crash when the worker
/// then refuses connections within `confirmWindow`. A request with crashes of two different workers
/// is quarantined. Crash records travel between gateways, so a request that its caller sends
/// through changing gateways is found as well.
class quarantine_table
{
public:
    /// A crashed process stops accepting at once; later refusals have another cause. Long enough
    /// for the measuring budget to allow one probe.
    static constexpr duration confirmWindow = seconds(5);

    /// \param counters outlives the table.
    quarantine_table(duration quarantineTime, std::uint32_t recordsMax, counter_set &counters)
        : m_quarantineTime(quarantineTime), m_crashRecordsMax(recordsMax), m_counters(counters)
    { }

    /// A call's connection to the worker broke after the call was sent.
    void connectionBroke(instant now, std::uint64_t requestDigest, const std::string &worker);

    /// The worker refuses connections: recent suspicions against it are confirmed.
    void workerUnreachable(instant now, const std::string &worker);

    /// The worker answered: it did not crash, so suspicions against it are dropped.
    void workerAnswered(const std::string &worker);

    /// A crash that another gateway observed.
    void addRemoteCrash(instant now, const crash_record &record);

    /// True if calls must be compared with the table at all.
    bool isActive() const { return !m_crashes.empty(); }
    bool isQuarantined(instant now, std::uint64_t requestDigest) const;

    void expire(instant now);

    /// Crashes to tell other gateways, at most `limit`.
    std::vector<crash_record> recentCrashes(instant now, std::size_t limit) const;

    nlohmann::json dump(instant now) const;

private:
    struct suspicion
    {
        std::uint64_t requestDigest = 0;
        instant brokenAt;
    };

    void recordCrash(instant crashedAt, std::uint64_t requestDigest, const std::string &worker);

    duration m_quarantineTime;
    std::uint32_t m_crashRecordsMax;
    counter_set &m_counters;
    std::map<std::string, std::vector<suspicion>> m_suspicions;
    /// Workers that each request crashed, with the time of the crash.
    std::map<std::uint64_t, std::map<std::string, instant>> m_crashes;
};

} // namespace almondnotch
