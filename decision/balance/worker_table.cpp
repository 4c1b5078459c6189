#include "decision/balance/worker_table.h"

#include <algorithm>

namespace almondnotch {

std::vector<worker_index> worker_table::applyConfig(instant now, const config_set &config,
                                                    std::string_view ownDomain)
{
    applyGroups(config);
    for (worker_record &worker : m_workers) {
        if (worker.configured) {
            worker.configured = false;
            worker.removedAt = now;
        }
    }

    std::vector<worker_index> added;
    const unsigned maxGateways = std::max(1U, config.objects().limits.maxGateways);
    for (const worker_config &entry : config.objects().workers) {
        const auto group = m_groupByName.find(entry.group);
        if (group == m_groupByName.end())
            continue;
        const auto known = m_workerByName.find(entry.name);
        // A different address means a different process, to which the recorded state does not
        // apply.
        const bool sameProcess
            = known != m_workerByName.end() && m_workers[known->second].address == entry.address;
        std::size_t index = sameProcess ? known->second : 0;
        if (!sameProcess) {
            index = allocateRecord(now);
            m_workers[index] = worker_record();
            m_workerByName.insert_or_assign(entry.name, index);
            added.push_back(worker_index(static_cast<std::uint32_t>(index)));
        }
        worker_record &worker = m_workers[index];
        const group_record &record = *m_groups[group->second];
        // `removedAt` equals `now` if the previous configuration contained the worker. Otherwise an
        // earlier configuration change removed the worker. It may have been restarted since, so it
        // is reported as added.
        if (sameProcess && worker.removedAt != now)
            added.push_back(worker_index(static_cast<std::uint32_t>(index)));
        worker.configured = true;
        worker.name = entry.name;
        worker.address = entry.address;
        worker.vm = entry.vm;
        worker.groupIndex = group->second;
        worker.slots = std::max(1U, record.config.slots);
        worker.connectionLimit = std::max(1U, record.config.connections / maxGateways);
        worker.roundTrip = 2 * config.oneWayDelay(ownDomain, entry.failureDomain);
        worker.roundTripS = toSeconds(worker.roundTrip);
        const probe_budget_config *budget = config.budget(record.config.budget);
        worker.budget.setRates(now, budget != nullptr ? budget->probesPerSecond / maxGateways : 0,
                               budget != nullptr ? budget->bytesPerSecond / maxGateways : 0);
        m_groups[group->second]->members.push_back(worker_index(static_cast<std::uint32_t>(index)));
    }

    m_removedIndexes.clear();
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (m_workers[index].configured)
            continue;
        m_removedIndexes.push_back(index);
        // The name may already refer to another record.
        const auto byName = m_workerByName.find(m_workers[index].name);
        if (byName != m_workerByName.end() && byName->second == index
            && now - m_workers[index].removedAt >= indexReuseDelay)
            m_workerByName.erase(byName);
    }
    return added;
}

worker_record *worker_table::find(std::string_view name)
{
    const auto found = m_workerByName.find(name);
    return found == m_workerByName.end() ? nullptr : &m_workers[found->second];
}

group_record *worker_table::findGroup(std::string_view name)
{
    const auto found = m_groupByName.find(name);
    return found == m_groupByName.end() ? nullptr : m_groups[found->second].get();
}

const group_record *worker_table::findGroup(std::string_view name) const
{
    const auto found = m_groupByName.find(name);
    return found == m_groupByName.end() ? nullptr : m_groups[found->second].get();
}

void worker_table::applyGroups(const config_set &config)
{
    for (const std::unique_ptr<group_record> &group : m_groups)
        group->members.clear();
    name_index<std::size_t> groupIndexes;
    std::vector<std::size_t> unused;
    for (const std::pair<const std::string, std::size_t> &entry : m_groupByName) {
        if (config.group(entry.first) != nullptr)
            groupIndexes.insert(entry);
    }
    std::vector<bool> used(m_groups.size(), false);
    for (const std::pair<const std::string, std::size_t> &entry : groupIndexes)
        used[entry.second] = true;
    for (std::size_t index = 0; index < used.size(); ++index) {
        if (!used[index])
            unused.push_back(index);
    }
    for (const worker_group &groupConfig : config.objects().groups) {
        const auto known = groupIndexes.find(groupConfig.name);
        if (known != groupIndexes.end()) {
            m_groups[known->second]->config = groupConfig;
            continue;
        }
        std::size_t index = m_groups.size();
        if (!unused.empty()) {
            index = unused.back();
            unused.pop_back();
            m_groups[index] = std::make_unique<group_record>(groupConfig);
        } else {
            m_groups.push_back(std::make_unique<group_record>(groupConfig));
        }
        groupIndexes.emplace(groupConfig.name, index);
    }
    m_groupByName = std::move(groupIndexes);
}

std::size_t worker_table::allocateRecord(instant now)
{
    for (std::size_t i = 0; i < m_removedIndexes.size(); ++i) {
        const std::size_t index = m_removedIndexes[i];
        const worker_record &worker = m_workers[index];
        if (worker.configured || worker.probeInFlight || worker.load.inFlight() > 0
            || now - worker.removedAt < indexReuseDelay)
            continue;
        const auto byName = m_workerByName.find(worker.name);
        if (byName != m_workerByName.end() && byName->second == index)
            m_workerByName.erase(byName);
        m_removedIndexes[i] = m_removedIndexes.back();
        m_removedIndexes.pop_back();
        return index;
    }
    m_workers.emplace_back();
    return m_workers.size() - 1;
}

} // namespace almondnotch
