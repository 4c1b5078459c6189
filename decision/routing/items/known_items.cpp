#include "decision/routing/items/known_items.h"

#include <algorithm>
#include <map>
#include <utility>

namespace almondnotch {

void known_items::apply(std::vector<published_item> &items, bool isSnapshot)
{
    for (published_item &item : items)
        item.isFaultKnown = isUnusableAsBefore(item);
    if (isSnapshot) {
        m_known.clear();
        m_unconfirmed.clear();
        m_unusable.clear();
    }
    for (const published_item &item : items) {
        m_unconfirmed.erase(item.name);
        if (item.isUnusable())
            m_unusable.insert(item.name);
        else
            m_unusable.erase(item.name);
        if (item.removed) {
            m_known.erase(item.name);
            continue;
        }
        m_known.insert(item.name);
        m_newestRevision = std::max(m_newestRevision, item.revision);
    }
}

void known_items::beginEra()
{
    m_unconfirmed = m_known;
    m_newestRevision = 0;
}

bool known_items::isUnusableAsBefore(const published_item &item) const
{
    return item.isUnusable() && m_unusable.contains(item.name)
           && !m_unconfirmed.contains(item.name);
}

std::vector<published_item>
known_items::withoutRepeatedFaults(std::vector<published_item> items) const
{
    std::map<std::string, bool> isUnusable;
    std::vector<published_item> out;
    for (published_item &item : items) {
        const auto found = isUnusable.find(item.name);
        const bool isRepeated = found == isUnusable.end() ? isUnusableAsBefore(item)
                                                          : found->second && item.isUnusable();
        if (isRepeated)
            continue;
        isUnusable.insert_or_assign(item.name, item.isUnusable());
        out.push_back(std::move(item));
    }
    return out;
}

} // namespace almondnotch
