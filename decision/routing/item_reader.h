#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/counters.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/events.h"
#include "decision/routing/reader_group.h"

namespace almondnotch {

struct item_reader_settings
{
    item_scope scope = item_scope::configuration;
    /// Longest time that a watch waits at the store.
    duration watch {seconds(25)};
    /// Time between the end of a watch that reported changes and the next one, so that changes
    /// that come together cost one call.
    duration watchInterval {0};
    /// Time from the start to the second watch that reports changes: a gateway learns meanwhile
    /// whether others pass the changes on.
    duration initialWatchDelay {0};
    /// The first list may be old: the watch that follows tells what has changed since.
    bool initialListMayBeStale = false;
    backoff_settings backoff;
};

/// What a finished read told.
struct item_batch
{
    /// The items are all that exist; items that are not among them were removed.
    bool isSnapshot = false;
    std::vector<published_item> items;
    /// The changes follow on each other between these revisions.
    std::uint64_t afterRevision = 0;
    std::uint64_t revision = 0;
};

/// Reads one scope of the platform's store: lists it page by page, then watches it, and lists it
/// again when the store has forgotten changes. Has at most one read under way.
///
/// Another gateway may watch in its place and pass the changes on. The reader then only lists, and
/// watches for a moment when changes are missing.
class item_reader
{
public:
    /// \param random, counters outlive the reader.
    item_reader(item_reader_settings settings, random_source &random, counter_set &counters);

    void start(instant now, std::uint64_t &nextReadId, action_list &actions);
    /// \return true if the read is this reader's; `news` then holds what it told, if anything.
    bool readFinished(instant now, const items_read &input, std::vector<item_batch> &batches);
    void timerExpired(instant now, std::uint64_t &nextReadId, action_list &actions);
    instant nextWake() const;

    /// The process did not run, or the watch may be dead: all is read anew.
    void restart(instant now);

    /// Whether the scope is watched; a watch under way goes on to its end.
    void setWatching(instant now, bool isWatching, const backoff_settings &backoff);
    /// True if the scope is watched and a read has ended well since that began.
    bool isUpToDate() const { return m_isWatching && m_hasReadSinceWatching && m_hasSynced; }
    /// The store has changes up to this revision, as a gateway knows that the store answers. Asks
    /// for them unless they arrive soon; this also takes the place of a list after failed reads.
    void revisionAdvertised(instant now, std::uint64_t revision);
    /// Takes over changes that another gateway read. Changes before which others are missing are
    /// kept for a moment, since messages of several gateways overtake each other.
    /// \return what is new here.
    std::vector<item_batch> updateReceived(instant now, const items_update &update);

    /// True once everything was listed.
    bool hasSynced() const { return m_hasSynced; }
    /// Failed reads since the last one that worked; 0 while the store answers.
    unsigned consecutiveFailures() const { return m_failures; }
    std::uint64_t revision() const { return m_revision; }
    /// Revision of the last change that is known.
    std::uint64_t lastChangeRevision() const { return m_lastChangeRevision; }

private:
    bool isDue() const { return m_isListing || m_isWatching || m_isCatchingUp; }
    bool isBehind() const { return m_advertisedRevision > m_revision; }
    duration nextWatchTime();
    std::vector<published_item> newItems(const std::vector<published_item> &items) const;
    bool applyUpdate(const items_update &update, std::vector<item_batch> &batches);
    void sendRead(std::uint64_t &nextReadId, action_list &actions);
    void pageListed(instant now, const item_page &page, std::vector<item_batch> &batches);
    void watchFinished(instant now, const item_page &page, std::vector<item_batch> &batches);
    void readFailed(instant now);
    /// Changes were missed, so that only a list tells the state.
    void relist(instant now);

    item_reader_settings m_settings;
    random_source &m_random;
    counter_set &m_counters;
    bool m_isInFlight = false;
    read_id m_read {};
    instant m_nextReadAt = instant::never();
    instant m_initialWatchDelayUntil;
    /// The scope is being listed; otherwise it is watched.
    bool m_isListing = true;
    std::string m_afterKey;
    std::vector<published_item> m_listedItems;
    /// Revision of the list's first page: changes that were made while it was read come again.
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastChangeRevision = 0;
    bool m_isWatching = true;
    bool m_hasReadSinceWatching = false;
    /// Changes up to `m_advertisedRevision` exist. They are asked for, or listed if a watch under
    /// way does not tell them by `m_catchUpDeadline`.
    bool m_isCatchingUp = false;
    std::uint64_t m_advertisedRevision = 0;
    instant m_catchUpDeadline;
    /// The store no longer has the changes since `m_revision`.
    bool m_mustRelist = true;
    /// Updates before which changes are missing.
    std::vector<items_update> m_outOfOrder;
    unsigned m_failures = 0;
    bool m_mayBeStale = false;
    bool m_hasSynced = false;
};

} // namespace almondnotch
