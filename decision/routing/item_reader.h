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
    /// Longest time for which the store may hold a watch open.
    duration watchTimeout {seconds(25)};
    /// Delay between the end of a watch that reported changes and the start of the next one, so
    /// that changes in quick succession cost a single call.
    duration watchDelay {0};
    /// After a watch that reports changes, the next watch is sent no earlier than this long after
    /// `start()`. Until then, the gateway learns whether other gateways relay the changes.
    duration startupWatchHoldoff {0};
    /// The first list may come from a stale replica; the watch that follows delivers what has
    /// changed since.
    bool allowStaleInitialList = false;
    backoff_settings backoff;
};

/// Items delivered by a read: a snapshot of the scope, or changes.
struct item_batch
{
    /// True if `items` holds every item that exists. Items that are missing from it were removed.
    bool isSnapshot = false;
    std::vector<published_item> items;
    /// The changes are consecutive: they cover all revisions after `afterRevision` up to
    /// `revision`.
    std::uint64_t afterRevision = 0;
    std::uint64_t revision = 0;
};

/// Reads one scope of the platform's store: lists it page by page and then watches it. Lists it
/// again if the store has compacted its history. At most one read is in flight.
///
/// If another gateway watches the scope and relays its changes, the reader does not watch. It then
/// lists the scope once and requests changes only when some are missing.
class item_reader
{
public:
    /// \param random, counters must outlive the reader.
    item_reader(item_reader_settings settings, random_source &random, counter_set &counters);

    void start(instant now, std::uint64_t &nextReadId, action_list &actions);
    /// \return true if the read belongs to this reader; its items, if any, are appended to
    /// `batches`.
    bool readFinished(instant now, const items_read_finished &input,
                      std::vector<item_batch> &batches);
    void timerExpired(instant now, std::uint64_t &nextReadId, action_list &actions);
    instant nextWake() const;

    /// Lists the scope again. Called after the process was paused, or when a watch may hang on a
    /// dead connection.
    void restart(instant listAt);

    /// Sets whether this reader watches the scope. A watch in flight runs to its end.
    void setWatching(instant now, bool isWatching, const backoff_settings &backoff);
    /// True if the scope is watched and a read has succeeded since watching began.
    bool isUpToDate() const { return m_isWatching && m_hasReadSinceWatching && m_hasSynced; }
    /// Another gateway has advertised that the store has changes up to `revision`. Requests them
    /// unless they arrive shortly. If the last reads failed, the advertisement shows that the store
    /// answers again: the changes are then requested without listing the scope again, unless the
    /// store has compacted them.
    void revisionAdvertised(instant now, std::uint64_t revision);
    /// Applies changes that another gateway has relayed. Changes with a gap before them are
    /// buffered for a short time, since messages of different gateways can arrive out of order.
    /// \return the changes that were not known before.
    std::vector<item_batch> updateReceived(instant now, const items_update &update);

    /// True once the first list was read completely.
    bool hasSynced() const { return m_hasSynced; }
    /// Failed reads since the last successful one; 0 while the store answers.
    unsigned consecutiveFailures() const { return m_failures; }
    std::uint64_t revision() const { return m_revision; }
    /// Revision of the last known change.
    std::uint64_t lastChangeRevision() const { return m_lastChangeRevision; }

private:
    bool needsRead() const { return m_isListing || m_isWatching || m_isCatchingUp; }
    bool isBehind() const { return m_advertisedRevision > m_revision; }
    duration nextWatchDuration();
    std::vector<published_item> newItems(const std::vector<published_item> &items) const;
    bool applyUpdate(const items_update &update, std::vector<item_batch> &batches);
    void sendRead(std::uint64_t &nextReadId, action_list &actions);
    void listPageReceived(instant now, const item_page &page, std::vector<item_batch> &batches);
    void watchFinished(instant now, const item_page &page, std::vector<item_batch> &batches);
    void readFailed(instant now);
    /// Lists the scope again because changes were missed.
    void relist(instant now);

    item_reader_settings m_settings;
    random_source &m_random;
    counter_set &m_counters;
    bool m_isReadInFlight = false;
    read_id m_readId {};
    instant m_nextReadAt = instant::never();
    instant m_watchHoldoffUntil;
    /// True while the scope is being listed; false while it is watched.
    bool m_isListing = true;
    std::string m_afterKey;
    std::vector<published_item> m_listedItems;
    /// Revision of the first page of the list. The following watch starts there, so that it
    /// delivers the changes made while the list was read.
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastChangeRevision = 0;
    bool m_isWatching = true;
    bool m_hasReadSinceWatching = false;
    /// Changes up to `m_advertisedRevision` exist and are to be requested. If a watch is in flight
    /// and does not deliver them by `m_catchUpDeadline`, the scope is listed again.
    bool m_isCatchingUp = false;
    std::uint64_t m_advertisedRevision = 0;
    instant m_catchUpDeadline;
    /// The store no longer has the changes since `m_revision`, so they cannot be requested.
    bool m_mustRelist = true;
    /// Relayed updates that wait for the changes before them.
    std::vector<items_update> m_outOfOrder;
    unsigned m_failures = 0;
    bool m_allowStaleList = false;
    bool m_hasSynced = false;
};

} // namespace almondnotch
