#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "decision/routing/items/published.h"

namespace almondnotch {

/// Names of the items of one scope that are known, and what matters about them for later changes.
class known_items
{
public:
    /// Marks the items that could not be used before either, and notes all of them.
    /// \param isSnapshot whether `items` holds every item that exists.
    void apply(std::vector<published_item> &items, bool isSnapshot);
    /// A new era of the store has begun. All items count as unconfirmed until they are seen in it.
    void beginEra();

    /// True if some known items were not yet seen in this era.
    bool hasUnconfirmed() const { return !m_unconfirmed.empty(); }
    /// Highest revision of an item that was known in this era. Items of a list can be later than
    /// the revision up to which it is complete.
    std::uint64_t newestRevision() const { return m_newestRevision; }
    /// True if the item cannot be used, and could not be used before either.
    bool isUnusableAsBefore(const published_item &item) const;
    /// Removes the items that cannot be used and could not be used before either, as far as is
    /// known or by an earlier one of these items.
    std::vector<published_item> withoutRepeatedFaults(std::vector<published_item> items) const;

private:
    using name_set = std::set<std::string, std::less<>>;

    name_set m_known;
    /// Known items that were not yet seen in this era.
    name_set m_unconfirmed;
    /// Known items that cannot be used.
    name_set m_unusable;
    std::uint64_t m_newestRevision = 0;
};

} // namespace almondnotch
