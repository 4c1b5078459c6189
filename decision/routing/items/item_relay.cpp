#include "decision/routing/items/item_relay.h"

#include <algorithm>
#include <string>
#include <utility>

namespace almondnotch {

namespace {

/// Maximum number of updates for one batch. Larger batches are only advertised.
constexpr std::size_t updatesPerBatchMax = 16;

/// The changes that the batch contains, in the order of their revisions. Items that a list lacks go
/// first: they were removed at any time since the previous list, so that a gateway which receives
/// only the first updates must know of them.
std::vector<published_item> changesOf(const item_batch &batch,
                                      const std::vector<std::string> &removedNames)
{
    std::vector<published_item> out;
    for (const std::string &name : removedNames) {
        published_item removal;
        removal.name = name;
        removal.revision = batch.revision;
        removal.removed = true;
        out.push_back(std::move(removal));
    }
    const std::ptrdiff_t removalCount = std::ssize(out);
    std::copy_if(batch.items.begin(), batch.items.end(), std::back_inserter(out),
                 [&batch](const published_item &item) {
                     return !batch.isSnapshot || item.revision > batch.afterRevision
                            || item.revision == 0;
                 });
    std::stable_sort(out.begin() + removalCount, out.end(),
                     [](const published_item &left, const published_item &right) {
                         return left.revision < right.revision;
                     });
    return out;
}

/// Size of the texts in a configuration, in bytes.
std::size_t textBytes(const route_config &config)
{
    std::size_t bytes = 0;
    for (const host_route &route : config.routes) {
        bytes += route.name.size() + route.host.size() + route.prefix.size();
        for (const route_target &target : route.targets)
            bytes += target.service.size() + sizeof(target.weight);
    }
    for (const std::pair<const std::string, service_spec> &entry : config.services)
        bytes += entry.first.size() + entry.second.healthPath.size();
    return bytes;
}

bool fitsIntoUpdate(const published_item &item)
{
    return !item.config
           || (item.config->routes.size() <= updateRoutesMax
               && textBytes(*item.config) <= updateConfigBytesMax);
}

} // namespace

std::vector<items_update> makeUpdates(item_scope scope, const item_batch &batch,
                                      const std::vector<std::string> &removedNames)
{
    const bool isFirstSnapshot = batch.isSnapshot && batch.afterRevision == 0;
    const std::vector<published_item> changes = changesOf(batch, removedNames);
    // The list that begins an era says nothing about removals, so it cannot be split into updates
    // that are applied by revision.
    if (batch.startsEra && changes.size() > updateItemsMax)
        return {};
    if (isFirstSnapshot || changes.size() > updatesPerBatchMax * updateItemsMax
        || !std::all_of(changes.begin(), changes.end(), fitsIntoUpdate))
        return {};
    const auto makeUpdate = [&batch, scope](std::uint64_t afterRevision) {
        return items_update {scope, afterRevision, batch.revision, {}, batch.era, batch.isSnapshot};
    };
    std::vector<items_update> out {makeUpdate(batch.afterRevision)};
    for (const published_item &item : changes) {
        std::vector<published_item> &items = out.back().items;
        // An update covers whole revisions, so it cannot end between two items of the same one.
        if (items.size() >= updateItemsMax && items.back().revision < item.revision) {
            // Items of a list can be later than the revision up to which it is complete.
            const std::uint64_t endRevision = std::min(items.back().revision, batch.revision);
            out.back().revision = endRevision;
            out.push_back(makeUpdate(endRevision));
        }
        out.back().items.push_back(item);
        if (out.back().items.size() > updateItemsMax)
            return {};
    }
    return out;
}

} // namespace almondnotch
