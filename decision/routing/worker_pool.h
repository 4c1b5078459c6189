#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/time.h"
#include "decision/events.h"
#include "decision/routing/published.h"
#include "decision/routing/saturation_slowdown.h"
#include "decision/types.h"

namespace almondnotch {

/// What is known of one worker: its entry, its last report, and how its attempts ended.
struct pooled_worker
{
    published_worker entry;
    /// When the entry disappeared from the store; never while it is there.
    instant removedAt = instant::never();
    /// When the worker is past its slow start.
    instant warmUpEnd;
    load_report report;
    /// When `report` arrived; the origin if none did.
    instant reportedAt;
    bool hasReport = false;
    /// Attempts of this gateway under way.
    unsigned inFlight = 0;
    /// Of these, attempts that the report cannot know of.
    unsigned sentSinceReport = 0;
    /// Failures weighted by their age and softened by successes, 0 to 1.
    double failureShare = 0;
    instant lastFailureAt;
    unsigned consecutiveFailures = 0;
    /// Nothing is sent before this time.
    instant ejectedUntil;
    duration ejectionTime {0};
    /// Another worker answered at its address.
    bool isReplaced = false;
};

/// Slowdown up to which a machine counts as undisturbed.
constexpr double fullSpeedSlowdownMax = 1.6;

/// The workers of all services.
class worker_pool
{
public:
    /// \param counters outlives the pool.
    explicit worker_pool(counter_set &counters) : m_counters(counters) { }

    /// Takes over a change of one entry, or the removal if `item.removed` or if it is unreadable.
    void apply(instant now, const published_item &item);
    /// Takes over a whole list: workers that are not on it were removed.
    void applySnapshot(instant now, const std::vector<published_item> &items);
    /// Another gateway knows that a worker leaves; `age` is the time since the store said so.
    void applyDrain(instant now, const std::string &name, duration age);
    /// Workers that began to leave within the last `window`.
    std::vector<std::pair<std::string, duration>> recentDrains(instant now, duration window) const;

    void attemptStarted(worker_index worker);
    void attemptFinished(instant now, worker_index worker, const attempt_finished &input);
    void probeFinished(instant now, worker_index worker, const probe_finished &input);

    /// Time in which lapsed entries are written anew after the store's return, with a margin.
    static constexpr duration reregistrationWindow = milliseconds(3500);
    /// True if so many entries disappeared at once that they ran out while the store was away.
    /// Their workers serve on until the time to write them anew is over.
    bool hasMassExpiry(instant now) const;

    /// All that was measured is old, as after a pause of the process.
    void invalidateReports();
    /// Drops workers that are gone and have no attempt under way.
    void sweep(instant now);

    const pooled_worker &at(worker_index worker) const
    {
        return m_workers.at(static_cast<std::size_t>(worker));
    }
    /// Workers of a service, gone and leaving ones included.
    const std::vector<worker_index> &workersOf(std::string_view service) const;
    std::size_t size() const { return m_byName.size(); }
    /// Share of the workers of a service that lately had a free slot on an undisturbed machine, by
    /// the probes of this gateway.
    double usableShare(std::string_view service) const;
    /// Slowdown of a machine of which nothing is known: the mean of what probes showed lately.
    double meanSlowdown() const { return m_meanSlowdown; }
    /// How crowding slows workers down.
    const saturation_slowdown &saturation() const { return m_saturation; }
    /// \param ratio see `saturation_slowdown::add`.
    void recordSaturation(double ratio) { m_saturation.add(ratio); }
    nlohmann::json dump(instant now) const;

private:
    void updateAverages(const pooled_worker &worker);
    void add(instant now, const published_worker &entry);
    void remove(instant now, const std::string &name);
    static void recordSuccess(pooled_worker &worker);
    void recordFailure(instant now, pooled_worker &worker, bool isSevere);
    void applyReport(instant now, pooled_worker &worker, const load_report &report);
    pooled_worker &mutableAt(worker_index worker)
    {
        return m_workers.at(static_cast<std::size_t>(worker));
    }

    counter_set &m_counters;
    std::vector<pooled_worker> m_workers;
    std::vector<worker_index> m_freeIndexes;
    std::map<std::string, worker_index, std::less<>> m_byName;
    std::map<std::string, std::vector<worker_index>, std::less<>> m_byService;
    std::map<std::string, instant> m_drainStartedAt;
    std::map<std::string, double, std::less<>> m_usableShare;
    double m_meanSlowdown = 2.0;
    saturation_slowdown m_saturation;
};

} // namespace almondnotch
