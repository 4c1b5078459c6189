#include "decision/routing/items/store_checks.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// Maximum number of checks in flight.
constexpr std::size_t checksMax = 8;

} // namespace

void store_checks::send(read_id check, std::optional<read_id> watch, bool areReadsFailing,
                        action_list &actions)
{
    if (m_inFlight.size() >= checksMax) {
        m_counters.add("store_checks_omitted_total");
        return;
    }
    m_inFlight.push_back({check, watch});
    m_counters.add("store_checks_sent_total");
    read_items command;
    command.read = check;
    command.scope = item_scope::workers;
    command.revisionOnly = true;
    command.allowStale = true;
    command.needsNewConnection = areReadsFailing || m_wasLastLost;
    actions.push_back(command);
}

std::optional<store_checks::outcome> store_checks::readFinished(read_id read, bool isAnswered)
{
    const auto found = std::find_if(m_inFlight.begin(), m_inFlight.end(),
                                    [read](const sent_check &sent) { return sent.check == read; });
    if (found == m_inFlight.end())
        return std::nullopt;
    const outcome ended {isAnswered, found->watch};
    m_inFlight.erase(found);
    m_wasLastLost = !isAnswered;
    if (!isAnswered)
        m_counters.add("store_checks_failed_total");
    return ended;
}

} // namespace almondnotch
