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

/// Everything that is known of one worker.
struct worker_record
{
    load_estimate load;
    bool vmLeaving = false;
    bool configured = false;
    bool draining = false;
    /// Share of the normal traffic is `slowStartShareMin` at this time and grows to all of it.
    bool inSlowStart = false;
    bool cold = false;
    instant slowStartBegan;
    ejection_state ejectionState;
    double roundTripS = 0;
    duration roundTrip {0};
    /// Index of the group in the table.
    std::size_t group = 0;
    unsigned slots = 1;
    unsigned connectionLimit = 1;
    probe_budget budget;
    bool probeInFlight = false;
    instant probeStartedAt;
    instant lastContactAt;
    /// When the worker left the configuration.
    instant removedAt;
    std::string name;
    std::string address;
    std::string vm;
};

/// A group with its members and what they have in common.
struct group_record
{
    explicit group_record(const worker_group &groupConfig)
        : config(groupConfig), estimate(groupConfig.slots)
    { }

    worker_group config;
    std::vector<worker_index> members;
    group_estimate estimate;
    /// Members left out by ejection.
    unsigned ejectedCount = 0;
    /// Earliest end of an ejection.
    instant nextReadmission = instant::never();
    /// Estimated time of the last choices, seconds; says which workers are near the best.
    double selectedResponseTimeS = 0;
    instant lastCallAt;
    bool hasReceivedCalls = false;
    /// Position of round robin.
    std::size_t roundRobinCursor = 0;
};

/// Workers and groups of the configuration in force. Indexes stay valid while the process runs;
/// that of a worker that left is used again only after `indexReuseDelay` and without calls in
/// flight, so that late events of the old worker are not taken for the new one's.
class worker_table
{
public:
    static constexpr duration indexReuseDelay = seconds(120);

    /// Takes over a configuration. Workers that stay keep what is known of them.
    /// \return the workers that are new.
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
    group_record &groupOf(const worker_record &worker) { return *m_groups[worker.group]; }
    const group_record &groupOf(const worker_record &worker) const
    {
        return *m_groups[worker.group];
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
    // Never shrinks within a process but for groups without members, whose place is used again.
    std::vector<std::unique_ptr<group_record>> m_groups;
    name_index<std::size_t> m_workerByName;
    name_index<std::size_t> m_groupByName;
    std::vector<std::size_t> m_removed;
};

} // namespace almondnotch
