#include "decision/balance/worker_table.h"

#include <algorithm>

namespace almondnotch {

std::vector<worker_index> worker_table::applyConfig(instant now, const config_set &config,
                                                    std::string_view ownDomain)
{
    applyGroups(config);
    for (worker_record &worker : m_workers) {
        if (worker.present) {
            worker.present = false;
            worker.retiredAt = now;
        }
    }

    std::vector<worker_index> added;
    const unsigned maxGateways = std::max(1U, config.objects().limits.maxGateways);
    for (const worker_entry &entry : config.objects().workers) {
        const auto group = m_groupByName.find(entry.group);
        if (group == m_groupByName.end())
            continue;
        const auto known = m_workerByName.find(entry.name);
        // Another address is another process: nothing that is known applies to it.
        const bool stays
            = known != m_workerByName.end() && m_workers[known->second].address == entry.address;
        std::size_t place = stays ? known->second : 0;
        if (!stays) {
            place = takeSlot(now);
            m_workers[place] = worker_record();
            m_workerByName.insert_or_assign(entry.name, place);
            added.push_back(worker_index(static_cast<std::uint32_t>(place)));
        }
        worker_record &worker = m_workers[place];
        const group_record &record = *m_groups[group->second];
        // A worker that was missing from the set before may have been restarted meanwhile.
        if (stays && worker.retiredAt != now)
            added.push_back(worker_index(static_cast<std::uint32_t>(place)));
        worker.present = true;
        worker.name = entry.name;
        worker.address = entry.address;
        worker.vm = entry.vm;
        worker.group = group->second;
        worker.slots = std::max(1U, record.config.slots);
        worker.connectionLimit = std::max(1U, record.config.connections / maxGateways);
        worker.roundTrip = 2 * config.oneWay(ownDomain, entry.failureDomain);
        worker.roundTripS = toSeconds(worker.roundTrip);
        const measuring_budget *budget = config.budget(record.config.budget);
        worker.budget.setRates(now, budget != nullptr ? budget->probesPerSecond / maxGateways : 0,
                               budget != nullptr ? budget->bytesPerSecond / maxGateways : 0);
        m_groups[group->second]->members.push_back(worker_index(static_cast<std::uint32_t>(place)));
    }

    m_retired.clear();
    for (std::size_t place = 0; place < m_workers.size(); ++place) {
        if (m_workers[place].present)
            continue;
        m_retired.push_back(place);
        // The name may already belong to another record.
        const auto named = m_workerByName.find(m_workers[place].name);
        if (named != m_workerByName.end() && named->second == place
            && now - m_workers[place].retiredAt >= reuseAfter)
            m_workerByName.erase(named);
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
    name_index<std::size_t> places;
    std::vector<std::size_t> unused;
    for (const std::pair<const std::string, std::size_t> &entry : m_groupByName) {
        if (config.group(entry.first) != nullptr)
            places.insert(entry);
    }
    std::vector<bool> used(m_groups.size(), false);
    for (const std::pair<const std::string, std::size_t> &entry : places)
        used[entry.second] = true;
    for (std::size_t place = 0; place < used.size(); ++place) {
        if (!used[place])
            unused.push_back(place);
    }
    for (const worker_group &object : config.objects().groups) {
        const auto known = places.find(object.name);
        if (known != places.end()) {
            m_groups[known->second]->config = object;
            continue;
        }
        std::size_t place = m_groups.size();
        if (!unused.empty()) {
            place = unused.back();
            unused.pop_back();
            m_groups[place] = std::make_unique<group_record>(object);
        } else {
            m_groups.push_back(std::make_unique<group_record>(object));
        }
        places.emplace(object.name, place);
    }
    m_groupByName = std::move(places);
}

std::size_t worker_table::takeSlot(instant now)
{
    for (std::size_t i = 0; i < m_retired.size(); ++i) {
        const std::size_t place = m_retired[i];
        const worker_record &worker = m_workers[place];
        if (worker.present || worker.probing || worker.load.inFlight() > 0
            || now - worker.retiredAt < reuseAfter)
            continue;
        const auto named = m_workerByName.find(worker.name);
        if (named != m_workerByName.end() && named->second == place)
            m_workerByName.erase(named);
        m_retired[i] = m_retired.back();
        m_retired.pop_back();
        return place;
    }
    m_workers.emplace_back();
    return m_workers.size() - 1;
}

} // namespace almondnotch
