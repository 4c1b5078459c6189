#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/time.h"
#include "decision/events.h"
#include "decision/peer_messages.h"
#include "decision/routing/items/published.h"
#include "decision/routing/workers/cold_limits.h"
#include "decision/routing/workers/evacuations.h"
#include "decision/routing/workers/pooled_worker.h"
#include "decision/routing/workers/request_limit_share.h"
#include "decision/routing/workers/saturation_slowdown.h"
#include "decision/routing/workers/worker_change.h"
#include "decision/types.h"

namespace almondnotch {

/// Maximum slowdown with which a machine counts as running at full speed, as a multiple of the
/// usual execution time.
constexpr double fullSpeedSlowdownMax = 1.6;

/// True if the report shows a free slot on a machine at full speed.
bool hasRoom(const load_report &report);

/// The workers of all services.
class worker_pool
{
public:
    /// \param counters must outlive the pool.
    explicit worker_pool(counter_set &counters, const cold_request_bounds &coldBounds = {})
        : m_counters(counters), m_coldLimits(coldBounds)
    { }

    /// Applies a change of one entry. If the entry was removed or is invalid, the worker is
    /// removed.
    /// \param copyRevision see `item_batch::copyRevision`.
    void apply(instant now, const published_item &item, std::uint64_t copyRevision = 0);
    /// Applies a complete list: workers that are missing from it are removed.
    /// \return the names of the removed workers.
    std::vector<std::string> applySnapshot(instant now, const std::vector<published_item> &items,
                                           std::uint64_t copyRevision = 0);
    /// Applies the first list of a store that came back from a copy. Workers that have left get no
    /// requests until an entry was written after that. Nothing is removed.
    void applyRestored(instant now, const std::vector<published_item> &items,
                       std::uint64_t copyRevision);
    /// Applies the evacuations among the items of the configuration scope. Workers of a failure
    /// domain whose evacuation ends count as cold, if their service names how long that lasts and
    /// the rate that a cold worker tolerates.
    evacuation_update applyEvacuations(instant now, const std::vector<published_item> &items,
                                       bool isSnapshot);
    /// Sets the configuration whose services the workers belong to.
    void setConfig(instant now, shared_route_config config);
    /// Another gateway has reported that a worker is draining or was removed. The worker gets no
    /// new requests. Ignored if its entry is more recent than what other gateways say: the store
    /// answers, and the entry is not one of a copy.
    /// \param age time since any gateway first observed this.
    void applyDrain(instant now, const std::string &name, duration age, bool isStoreUnreachable);
    /// Workers that began to drain or were removed within the last `window`, the latest first.
    std::vector<worker_drain> recentDrains(instant now, duration window) const;

    /// Changes of known workers since the last call, in the order in which they were applied.
    std::vector<worker_change> takeChanges() { return std::exchange(m_changes, {}); }

    void attemptStarted(instant now, worker_index worker);
    void attemptFinished(instant now, worker_index worker, const attempt_finished &input);
    void probeFinished(instant now, worker_index worker, const probe_finished &input);

    /// True if so many entries disappeared within `window` that, after an outage of the store, they
    /// are assumed to have expired in it. Their workers stay usable until the time in which they
    /// renew their entries has elapsed.
    bool hasMassRemoval(instant now, duration window) const;

    /// Sets the gateways among which the request limits of workers are divided.
    void setGatewayGroup(instant now, const gateway_group &group);
    /// Workers in use that limit their requests and have not named the limit since `before`.
    std::vector<worker_index> limitedWorkers(instant before) const;

    /// Discards all load reports, since they are outdated after a pause of the process.
    void invalidateReports();
    /// Drops workers that were removed at least 20 s ago and have no attempt in flight, and forgets
    /// drains that are older than that.
    void sweep(instant now);

    const pooled_worker &at(worker_index worker) const
    {
        return m_workers.at(static_cast<std::size_t>(worker));
    }
    /// Workers of a service, including removed and draining ones.
    const std::vector<worker_index> &workersOf(std::string_view service) const;
    std::size_t size() const { return m_byName.size(); }
    /// Workers of a service that this gateway may send a request to now. Ejected ones are included.
    std::vector<worker_index> usableWorkersOf(instant now, std::string_view service) const;
    /// Fraction of the recent answered probes of a service that found a free slot on a machine at
    /// full speed. Counts probes of this gateway only.
    double usableFraction(std::string_view service) const;
    /// Slowdown assumed for machines without a recent report: the moving average over all answered
    /// probes of this gateway.
    double meanSlowdown() const { return m_meanSlowdown; }
    /// Estimated slowdown of nearly saturated workers.
    const saturation_slowdown &saturation() const { return m_saturation; }
    /// Adds a sample to the estimate of the slowdown near saturation.
    /// \param ratio see `saturation_slowdown::add`.
    void recordSaturation(double ratio) { m_saturation.add(ratio); }
    nlohmann::json dump(instant now) const;

private:
    void updateAverages(const pooled_worker &worker);
    void add(instant now, const published_worker &entry, std::uint64_t revision,
             entry_origin origin);
    void entryChanged(instant now, pooled_worker &known, const published_worker &entry,
                      std::uint64_t revision, entry_origin origin);
    void remove(instant now, const std::string &name);
    static void recordSuccess(pooled_worker &worker);
    void recordFailure(instant now, pooled_worker &worker, bool ejectsImmediately);
    void applyReport(instant now, pooled_worker &worker, const load_report &report);
    void applySignals(instant now, pooled_worker &worker, const worker_signals &signals);
    void applyLeave(instant now, pooled_worker &worker);
    void applyPause(instant now, pooled_worker &worker, duration length);
    void applyRequestLimit(instant now, pooled_worker &worker, double requestRateMax);
    void updatePacer(instant now, pooled_worker &worker) const;
    pooled_worker &mutableAt(worker_index worker)
    {
        return m_workers.at(static_cast<std::size_t>(worker));
    }

    counter_set &m_counters;
    std::vector<pooled_worker> m_workers;
    std::vector<worker_index> m_freeIndexes;
    std::map<std::string, worker_index, std::less<>> m_byName;
    std::map<std::string, std::vector<worker_index>, std::less<>> m_byService;
    /// When each worker began to drain or was removed, by its name.
    std::map<std::string, instant> m_drainOrRemovalAt;
    std::vector<worker_change> m_changes;
    /// The first complete list was applied. Workers that are added later have joined.
    bool m_isListed = false;
    gateway_group m_gatewayGroup;
    cold_limits m_coldLimits;
    evacuations m_evacuations;
    /// See `usableFraction`, by service.
    std::map<std::string, double, std::less<>> m_usableFraction;
    double m_meanSlowdown = 2.0;
    saturation_slowdown m_saturation;
};

} // namespace almondnotch
