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
/// worker proves to be unreachable within `confirmWindow`. A request that crashed two different
/// workers is quarantined. Gateways exchange their crash records, so that a request is also
/// detected if its caller sends it through different gateways.
///
/// Each crash of a worker adds a record for every request that was in progress there, so ordinary
/// crashes make many records of requests that crashed one worker only. Where records compete for
/// room, in the table or in a message, those of quarantined requests go first: a process that has
/// just started knows of them only by such messages.
class quarantine_table
{
public:
    /// Time after a broken connection within which a failed connection or probe confirms the crash.
    /// A crashed process refuses connections immediately, so a failure after this time has another
    /// cause. The window is long enough for the probe budget to allow one probe.
    static constexpr duration confirmWindow = seconds(5);
    /// Time after a crash within which other gateways have to learn of it, because the request may
    /// crash a second worker through one of them.
    static constexpr duration newCrashTime = seconds(3);

    /// \param counters must outlive the table.
    quarantine_table(duration quarantineTime, std::uint32_t requestsMax, counter_set &counters)
        : m_quarantineTime(quarantineTime), m_requestsMax(requestsMax), m_counters(counters)
    { }

    /// The connection of a call to the worker broke after bytes of the call were sent.
    void connectionBroke(instant now, std::uint64_t requestDigest, const std::string &worker);

    /// An attempt could not be sent to the worker, or a probe of it failed: recent suspicions
    /// against it are confirmed.
    void workerUnreachable(instant now, const std::string &worker);

    /// The worker answered: it did not crash, so suspicions against it are dropped.
    void workerAnswered(const std::string &worker);

    /// Records a crash that another gateway observed.
    void addRemoteCrash(instant now, const crash_record &record);

    /// True if the table contains crashes, so that requests must be checked against it.
    bool hasCrashes() const { return !m_crashes.empty(); }
    /// True if the request crashed two different workers within the quarantine time.
    bool isQuarantined(instant now, std::uint64_t requestDigest) const;

    /// Removes suspicions older than `confirmWindow` and crashes older than the quarantine time.
    void expire(instant now);

    /// Takes the crashes to be sent to other gateways with the next message, at most `limit`. The
    /// quarantined requests take turns, each with the two crashes that keep it quarantined longest.
    /// At least a quarter of `limit` is for requests that crashed one worker, the latest ones
    /// first; if there are more from the last `newCrashTime`, these take turns.
    std::vector<crash_record> takeCrashes(instant now, std::size_t limit);

    nlohmann::json dump(instant now) const;

private:
    struct suspicion
    {
        std::uint64_t requestDigest = 0;
        instant brokenAt;
    };

    /// Workers that a request crashed, with the times of the crashes.
    using crashes_by_worker = std::map<std::string, instant>;

    void recordCrash(instant crashedAt, std::uint64_t requestDigest, const std::string &worker);
    void makeRoomForRequest();
    void makeRoomForSuspectedWorker();
    bool isQuarantined(instant now, const crashes_by_worker &crashes) const;
    static instant latestCrashTime(const crashes_by_worker &crashes);

    duration m_quarantineTime;
    /// Maximum number of requests in `m_crashes`.
    std::uint32_t m_requestsMax;
    counter_set &m_counters;
    /// Suspicions by worker.
    std::map<std::string, std::vector<suspicion>> m_suspicions;
    /// Crashes by request digest.
    std::map<std::uint64_t, crashes_by_worker> m_crashes;
    /// Last quarantined request whose crashes were taken.
    std::uint64_t m_lastTakenQuarantined = 0;
    /// Last request that crashed one worker, among the new ones, whose crash was taken.
    std::uint64_t m_lastTakenNew = 0;
};

} // namespace almondnotch
