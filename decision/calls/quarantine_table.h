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

/// Detects requests that crash workers and quarantines them for a limited time.
///
/// A connection that broke during a call is only a suspicion. It is confirmed as a crash if the
/// worker refuses connections within `confirmWindow`. A request that crashed two different workers
/// is quarantined. Gateways exchange their crash records, so that a request is also detected if its
/// caller sends it through different gateways.
class quarantine_table
{
public:
    /// Time after a broken connection within which a refused connection confirms the crash. A
    /// crashed process refuses connections immediately, so a refusal after this time has another
    /// cause. The window is long enough for the probe budget to allow one probe.
    static constexpr duration confirmWindow = seconds(5);

    /// \param counters must outlive the table.
    quarantine_table(duration quarantineTime, std::uint32_t requestsMax, counter_set &counters)
        : m_quarantineTime(quarantineTime), m_requestsMax(requestsMax), m_counters(counters)
    { }

    /// A call's connection to the worker broke after the call was sent.
    void connectionBroke(instant now, std::uint64_t requestDigest, const std::string &worker);

    /// The worker refuses connections: recent suspicions against it are confirmed.
    void workerUnreachable(instant now, const std::string &worker);

    /// The worker answered: it did not crash, so suspicions against it are dropped.
    void workerAnswered(const std::string &worker);

    /// Records a crash that another gateway observed.
    void addRemoteCrash(instant now, const crash_record &record);

    /// True if the table contains crashes, so that calls must be checked against it.
    bool isActive() const { return !m_crashes.empty(); }
    bool isQuarantined(instant now, std::uint64_t requestDigest) const;

    /// Removes suspicions and crashes whose time has passed.
    void expire(instant now);

    /// Most recent crashes, at most `limit`, to be sent to other gateways.
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
    std::uint32_t m_requestsMax;
    counter_set &m_counters;
    std::map<std::string, std::vector<suspicion>> m_suspicions;
    /// Workers that each request crashed, with the times of the crashes.
    std::map<std::uint64_t, std::map<std::string, instant>> m_crashes;
};

} // namespace almondnotch
