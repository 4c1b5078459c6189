#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/model.h"
#include "core/time.h"
#include "decision/balance/ejection_state.h"
#include "decision/balance/load_estimate.h"
#include "decision/balance/probe_budget.h"
#include "decision/types.h"

namespace almondnotch {

/// State of one worker.
struct worker_record
{
    load_estimate load;
    /// The platform will take the worker's VM down.
    bool vmLeaving = false;
    /// The worker is part of the active configuration.
    bool configured = false;
    bool draining = false;
    /// During slow start the traffic share grows from `slowStartShareMin` at `slowStartBeganAt` to
    /// the full share.
    bool inSlowStart = false;
    /// The last report had the state `cold`, so the share stays at `slowStartShareMin`.
    bool cold = false;
    instant slowStartBeganAt;
    ejection_state ejectionState;
    /// Network round-trip time to the worker, in seconds and as a duration. Twice the configured
    /// one-way delay between the failure domains.
    double roundTripS = 0;
    duration roundTrip {0};
    /// Index of the worker's group in the table.
    std::size_t groupIndex = 0;
    unsigned slots = 1;
    unsigned connectionLimit = 1;
    probe_budget budget;
    bool probeInFlight = false;
    instant probeStartedAt;
    /// Time of the last response or successful probe. Also set when the worker is added and when a
    /// probe of the ejected worker fails, so that the next probe is delayed.
    instant lastContactAt;
    /// Time at which the worker was removed from the configuration.
    instant removedAt;
    std::string name;
    std::string address;
    std::string vm;
};

/// A worker group with its members and the state that they share.
struct group_record
{
    explicit group_record(const worker_group &groupConfig)
        : config(groupConfig), estimate(groupConfig.slots)
    { }

    worker_group config;
    std::vector<worker_index> members;
    group_estimate estimate;
    /// Number of members that are ejected at present.
    unsigned ejectedCount = 0;
    /// Earliest end of a member's ejection.
    instant nextReadmission = instant::never();
    /// Moving average of the estimated response times of selected workers, in seconds. Workers that
    /// could be faster than this are worth a probe.
    double selectedResponseTimeS = 0;
    instant lastCallAt;
    bool hasReceivedCalls = false;
    /// Position in `members` at which round robin continues.
    std::size_t roundRobinCursor = 0;
};

/// Workers and groups of the active configuration, and workers that were removed from it.
///
/// An index never becomes invalid, but the index of a removed worker may be reused. Reuse
/// requires that `indexReuseDelay` has passed and that the worker has no calls or probes in flight,
/// so that late events of the old worker are not attributed to the new one.
class worker_table
{
public:
    /// Minimum time between the removal of a worker and the reuse of its index.
    static constexpr duration indexReuseDelay = seconds(120);

    /// Applies a new configuration. Workers that are still configured under the same name and
    /// address keep their state.
    /// \return the workers that were added, including those that an earlier configuration had
    /// removed.
    std::vector<worker_index> applyConfig(instant now, const config_set &config,
                                          std::string_view ownDomain);

    worker_record &at(worker_index worker) { return m_workers[static_cast<std::size_t>(worker)]; }
    const worker_record &at(worker_index worker) const
    {
        return m_workers[static_cast<std::size_t>(worker)];
    }
    bool contains(worker_index worker) const
    {
        return static_cast<std::size_t>(worker) < m_workers.size();
    }

    worker_record *find(std::string_view name);
    group_record *findGroup(std::string_view name);
    const group_record *findGroup(std::string_view name) const;
    group_record &groupOf(const worker_record &worker) { return *m_groups[worker.groupIndex]; }
    const group_record &groupOf(const worker_record &worker) const
    {
        return *m_groups[worker.groupIndex];
    }

    std::vector<worker_record> &workers() { return m_workers; }
    const std::vector<worker_record> &workers() const { return m_workers; }
    std::vector<std::unique_ptr<group_record>> &groups() { return m_groups; }
    const std::vector<std::unique_ptr<group_record>> &groups() const { return m_groups; }

private:
    struct string_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view> {}(text);
        }
    };
    template <typename T>
    using name_index = std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

    void applyGroups(const config_set &config);
    std::size_t allocateRecord(instant now);

    std::vector<worker_record> m_workers;
    // Never shrinks. The elements of groups that are no longer configured are reused for new
    // groups.
    std::vector<std::unique_ptr<group_record>> m_groups;
    name_index<std::size_t> m_workerByName;
    name_index<std::size_t> m_groupByName;
    /// Indexes of records whose worker is not configured; candidates for reuse.
    std::vector<std::size_t> m_removedIndexes;
};

} // namespace almondnotch
