#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "decision/actions.h"
#include "decision/routing/items/published.h"

namespace almondnotch {

/// What a batch of items changed in the evacuations.
struct evacuation_update
{
    /// Failure domains that are evacuated now and were not before, and the reverse.
    std::vector<std::string> begun;
    std::vector<std::string> ended;
    /// Names of known items that a snapshot lacks.
    std::vector<std::string> removedNames;

    bool operator==(const evacuation_update &) const = default;
};

/// The failure domains whose workers must get no requests, by request of the operator.
///
/// They are items of the configuration scope and outlast every outage of the store: only an item
/// that was removed, or that a complete list lacks, ends an evacuation.
class evacuations
{
public:
    /// Applies items of the configuration scope; those that request no evacuation are ignored.
    /// \param isSnapshot the items are all that exist.
    evacuation_update apply(const std::vector<published_item> &items, bool isSnapshot);

    bool includes(std::string_view failureDomain) const;

private:
    /// Evacuated failure domains by the names of the items that request it. A removal that another
    /// gateway relays names only the item.
    std::map<std::string, std::string> m_domains;
};

/// Appends a log record for each change.
/// \param source how the items were obtained, see `worker_change_log::write`.
void logEvacuations(const evacuation_update &update, std::string_view source,
                    std::uint64_t revision, action_list &actions);

} // namespace almondnotch
