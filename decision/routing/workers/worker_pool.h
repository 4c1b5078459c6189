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
#include "decision/routing/items/published.h"
#include "decision/routing/workers/request_limit_share.h"
#include "decision/routing/workers/saturation_slowdown.h"
#include "decision/routing/workers/worker_availability.h"
#include "decision/types.h"

namespace almondnotch {

/// State of one worker: its entry, its last load report, and the results of its attempts.
struct pooled_worker
{
    published_worker entry;
    /// Whether the worker gets new requests.
    worker_availability availability;
    /// End of the worker's warm-up.
    instant warmUpEnd;
    load_report report;
    /// When `report` was received; the origin of the clock if none was.
    instant reportedAt;
    bool hasReport = false;
    /// Attempts of this gateway in flight.
    unsigned inFlight = 0;
    /// Attempts in flight that were sent after the last report and are not counted in it.
    unsigned sentSinceReport = 0;
    /// Moving average of the failure rate, 0 to 1. Successes reduce it. The decay in the time since
    /// `lastFailureAt` is not included; it is applied when the value is used.
    double failureRate = 0;
    instant lastFailureAt;
    unsigned consecutiveFailures = 0;
    /// End of the worker's ejection. Until then it gets no requests while other workers of the
    /// service are usable.
    instant ejectedUntil;
    /// Duration of the last ejection; 0 after a success.
    duration ejectionTime {0};
    /// Requests per second that the worker accepts from all gateways together, by its last
    /// response; infinity if it has named no limit.
    double requestRateMax = std::numeric_limits<double>::infinity();
    /// When a response last named `requestRateMax`.
    instant limitNamedAt;
};

/// How the availability of a worker changed, or why it did not.
enum class worker_change_kind {
    drain_started,
    removed,
    available_again,
    limited,
    limit_ended,
    replaced,
    paused,
    malformed_header
};

/// Name of the kind in log records.
std::string_view toString(worker_change_kind kind);

/// A change of whether, or how often, a worker gets new requests.
struct worker_change
{
    std::string worker;
    worker_change_kind kind = worker_change_kind::removed;
    /// Requests per second that the worker accepts from all gateways together, for `limited`.
    double requestRateMax = std::numeric_limits<double>::infinity();
    /// How long the worker wants no requests, for `paused`.
    duration pause {0};
    /// Name of the header that was ignored, for `malformed_header`.
    std::string header {};

    /// True if unsent attempts must not be sent to the worker any more.
    bool endsUse() const;

    bool operator==(const worker_change &) const = default;
};

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
    explicit worker_pool(counter_set &counters) : m_counters(counters) { }

    /// Applies a change of one entry. If the entry was removed or is invalid, the worker is
    /// removed.
    void apply(instant now, const published_item &item);
    /// Applies a complete list: workers that are missing from it are removed.
    /// \return the names of the removed workers.
    std::vector<std::string> applySnapshot(instant now, const std::vector<published_item> &items);
    /// Another gateway has reported that a worker is draining or was removed. The worker gets no
    /// new requests.
    /// \param age time since any gateway first observed this.
    void applyDrain(instant now, const std::string &name, duration age);
    /// Workers that began to drain or were removed within the last `window`, with the time since
    /// then.
    std::vector<std::pair<std::string, duration>> recentDrains(instant now, duration window) const;

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
    void add(instant now, const published_worker &entry);
    void entryChanged(instant now, pooled_worker &known, const published_worker &entry);
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
    gateway_group m_gatewayGroup;
    /// See `usableFraction`, by service.
    std::map<std::string, double, std::less<>> m_usableFraction;
    double m_meanSlowdown = 2.0;
    saturation_slowdown m_saturation;
};

} // namespace almondnotch
