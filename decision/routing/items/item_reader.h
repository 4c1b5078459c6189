#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/events.h"
#include "decision/routing/items/catch_up_plan.h"
#include "decision/routing/items/known_items.h"
#include "decision/routing/items/reader_group.h"

namespace almondnotch {

struct item_reader_settings
{
    item_scope scope = item_scope::configuration;
    /// Maximum time for which the store may hold a watch open. Also bounds the time for which a
    /// lost watch stays undetected without `checksWatches`, since only the end of a watch shows
    /// that the store still serves it.
    duration watchTimeout {seconds(4)};
    /// Delay between the end of a watch that reported changes and the start of the next one, so
    /// that changes in quick succession are fetched with a single request to the store.
    duration watchDelay {0};
    /// Whether each watch is followed by a check of the store, so that a lost one is detected
    /// within the time limit of a read that does not wait.
    bool checksWatches = false;
    /// The first watch, and one that follows a watch that reported changes, starts no earlier than
    /// this long after `start()`, see `endFirstWatchHoldoff`. In the meantime the gateway learns
    /// whether other gateways relay the changes, so that it need not watch itself.
    duration startupWatchHoldoff {0};
    /// Whether the first list may come from a stale replica. The changes that it lacks are
    /// delivered by the next watch or relayed by another gateway.
    bool allowStaleInitialList = false;
    backoff_settings backoff;
    /// Backoff of failed reads while other reads show that the store answers, see `storeAnswered`.
    backoff_settings answeredBackoff;
};

/// Items that were read from the store or relayed by another gateway: a snapshot of the scope, or
/// changes.
struct item_batch
{
    /// True if `items` holds every item that exists. Items that are missing from it were removed.
    bool isSnapshot = false;
    std::vector<published_item> items;
    /// `items` covers all revisions after `afterRevision` up to `revision`. For a snapshot, all
    /// changes up to `afterRevision` were known before; 0 for the first one.
    std::uint64_t afterRevision = 0;
    std::uint64_t revision = 0;
    /// Era of the store that the revisions belong to, see `item_page::era`.
    std::uint64_t era = 0;
    /// The store came back from a copy, and `items` begins with all that it holds of the scope. It
    /// is no snapshot: items that are missing may be written again, see `item_reader::era`.
    bool startsEra = false;
    /// Items of at most this revision may be those of the copy from which the store came back, and
    /// thus older than what is known; 0 if it has not come back from one.
    std::uint64_t copyRevision = 0;
};

/// Reads one scope of the platform's store: lists it page by page and then watches it. Lists it
/// again if it may have missed changes, for example because the store has compacted its history or
/// has not answered a watch in time. At most one read is in flight.
///
/// An item that cannot be used is delivered when it becomes so. That it is written again and still
/// cannot be used is no change, so that others need not be told of it.
///
/// If another gateway watches the scope and relays its changes, the reader does not watch. It then
/// lists the scope once and requests changes only when some are missing.
///
/// Whatever shows that changes are missing, and whatever happens to the read that was to deliver
/// them: as long as `isBehind`, a read is in flight or planned, see `hasTimelyRead`.
///
/// A store that comes back from a copy begins a new era, in which it gives out revisions again.
/// Revisions are therefore compared only within an era: answers, updates and reports of an earlier
/// era are ignored, and a later one makes the reader list the scope, unless another gateway relays
/// the list. Items that are missing from this list were perhaps lost and may be written again. The
/// scope is listed once more after `renewalTimeMax` if some of them still were not, and only that
/// list removes them.
class item_reader
{
public:
    /// \param random, counters must outlive the reader.
    item_reader(item_reader_settings settings, random_source &random, counter_set &counters);

    /// Sends the first list request.
    /// \param nextReadId identifier of the next read, shared by all readers of the gateway;
    /// incremented for each read.
    void start(instant now, std::uint64_t &nextReadId, action_list &actions);
    /// Bytes of the response to a read are arriving. If it is the one in flight, it is not lost.
    void readProgressed(instant now, read_id read);
    /// \return true if the read belongs to this reader. The items of a watch, or of a list that is
    /// now complete, are appended to `batches`.
    bool readFinished(instant now, const items_read_finished &input,
                      std::vector<item_batch> &batches);
    /// Sends the read that is due, if any. Lists the scope again if the watch in flight has not
    /// been answered, or has not delivered advertised changes, in time.
    /// \param nextReadId see `start`.
    void timerExpired(instant now, std::uint64_t &nextReadId, action_list &actions);
    instant nextWake() const;
    /// \return the watch in flight if a check of the store is due that shows whether the watch has
    /// reached it; the check then counts as sent. The result has to be passed to `watchDoubted`.
    std::optional<read_id> takeDueWatchCheck(instant now);
    /// The check that followed this watch got no answer, so the store has probably lost the watch
    /// as well. If it is still in flight, the scope is listed again.
    void watchDoubted(instant now, read_id watch, action_list &actions);

    /// Abandons the read in flight, if any, and lists the scope again at `listAt`. Called, for
    /// example, after the process was paused, since its watch may hang on a dead connection.
    void restart(instant listAt);

    /// Sets whether this reader watches the scope, and the backoff of failed reads. When watching
    /// ends, a watch in flight runs to its end. When it begins, a watch that is still in flight
    /// from before is abandoned.
    void setWatching(instant now, bool isWatching, const backoff_settings &backoff);
    /// Ends the holdoff of the first watch: no other gateways are expected to relay changes.
    void endFirstWatchHoldoff(instant now);
    /// Ends all holdoffs: other gateways depend on this one to watch.
    void endWatchHoldoffs(instant now);
    /// True if the scope is being watched, was listed completely, and a read has succeeded since
    /// watching began.
    bool isUpToDate() const { return m_isWatching && m_hasReadSinceWatching && m_hasSynced; }
    /// The store has answered another read of this gateway. A failed read is repeated as soon as
    /// `answeredBackoff` allows.
    void storeAnswered(instant now);
    /// An answer of the store, or another gateway, shows that the store is in this era; 0 if it
    /// does not say. If the era is later than all known ones, the scope is listed again.
    void eraSeen(instant now, std::uint64_t era);
    /// Another gateway has advertised that the store has changes up to `revision` of `era`. If they
    /// do not arrive shortly, they are requested from the store, or the scope is listed again if a
    /// watch in flight should have delivered them. A read in flight may have been answered before
    /// these changes; they are then requested after it. If the last reads failed, the advertisement
    /// shows that the store answers again. The list that would follow the failure is then omitted,
    /// unless the scope was never listed or changes were missed.
    void revisionAdvertised(instant now, std::uint64_t era, std::uint64_t revision);
    /// Applies changes that another gateway has relayed. If earlier changes are still missing, the
    /// relayed ones are buffered until these arrive, since messages of different gateways can
    /// arrive out of order. A difference of lists that begins before the last known change may lack
    /// removals, so it only advertises its revision. Before the first list is complete, relayed
    /// changes are only taken as advertised. An update of a later era that begins at revision 0
    /// takes the place of the list of that era; in the era that it begins, it says nothing about
    /// removals, so its items are not applied. \return the changes that were not known before.
    std::vector<item_batch> updateReceived(instant now, const items_update &update);

    item_scope scope() const { return m_settings.scope; }
    /// True once the first list was read completely.
    bool hasSynced() const { return m_hasSynced; }
    /// Number of failed reads since the last successful one; 0 while the store answers.
    unsigned consecutiveFailures() const { return m_failures; }
    /// True if the reads since the last successful one, and since watching began, show that the
    /// store is unavailable. A single failed read does not, since a watch can also be cut, or lost
    /// with its connection, while the store is available.
    bool isStoreUnavailable() const;
    /// How long the read in flight has been waiting for its answer; 0 if there is none.
    duration readAge(instant now) const { return m_isReadInFlight ? now - m_sentAt : duration {0}; }
    /// Era of the store that the known items were read in; 0 if the store does not say.
    std::uint64_t era() const { return m_era; }
    /// True if this era has ended; false if it is 0 because the store or the peer does not say.
    bool isEarlierEra(std::uint64_t era) const { return era != 0 && era < m_latestEra; }
    /// True if an answer or another gateway showed a later era than that of the known items.
    bool isEraOutdated() const { return m_latestEra > m_era; }
    /// Revision of the store, in its era, up to which all changes are known.
    std::uint64_t revision() const { return m_revision; }
    /// Revision of the last known change; 0 if the known items are those of another era than this.
    std::uint64_t lastChangeRevision(std::uint64_t era) const
    {
        return era == m_era ? m_lastChangeRevision : 0;
    }
    /// True if an answer or another gateway has shown that the store has changes that are not
    /// known.
    bool isBehind() const { return isEraOutdated() || m_catchUp.advertised() > known(); }
    /// Invariant of a reader that is behind: a read that can deliver the missing changes is in
    /// flight or planned, and it ends or starts within a time that does not grow while further
    /// changes are advertised. A list in flight ends with the time limit of the transport.
    bool hasTimelyRead(instant now) const;
    /// What is known, what other gateways have advertised, and the read in flight or planned.
    nlohmann::json dump(instant now) const;

private:
    /// How a relayed update relates to what is known.
    enum class update_fit {
        /// It contains all changes from the known ones up to its revision.
        complete,
        /// Changes before it are missing.
        early,
        /// It begins before the last known change and may lack the removal of items known since.
        incomplete,
    };

    void endHoldoff(instant now, instant &until);
    store_position known() const { return {m_era, m_revision}; }
    void expectChanges(instant now);
    instant plannedReadAt() const;
    bool acceptEra(instant now, const item_page &page);
    void startEra(instant now, std::uint64_t listRevision);
    void deliver(item_batch batch, std::vector<item_batch> &batches);
    bool tryApply(instant now, const items_update &update, std::vector<item_batch> &batches);
    bool applyEraStart(instant now, const items_update &update, std::vector<item_batch> &batches);
    void putAside(const items_update &update, update_fit fit);
    void applyStoredUpdates(std::vector<item_batch> &batches);
    instant confirmationTime() const;
    duration nextWatchDuration();
    bool needsNewConnection() const;
    bool isWatchInFlight() const { return m_isReadInFlight && !m_isListing; }
    instant watchDeadline() const;
    std::vector<published_item> newItems(const std::vector<published_item> &items) const;
    update_fit fitOf(const items_update &update) const;
    void applyUpdate(const items_update &update, std::vector<item_batch> &batches);
    void giveUpWatch(instant now, action_list &actions);
    void sendRead(instant now, std::uint64_t &nextReadId, action_list &actions);
    void handleReadEnd(instant now, const items_read_finished &input,
                       std::vector<item_batch> &batches);
    void listPageReceived(instant now, const item_page &page, std::vector<item_batch> &batches);
    void watchFinished(instant now, const item_page &page, std::vector<item_batch> &batches);
    instant nextWatchTime(instant now, const item_page &page) const;
    void readFailed(instant now);
    duration retryDelay(const backoff_settings &backoff);
    /// Lists the scope again because changes may have been missed.
    void relist(instant now);

    item_reader_settings m_settings;
    random_source &m_random;
    counter_set &m_counters;
    bool m_isReadInFlight = false;
    read_id m_readId {};
    /// See `takeDueWatchCheck`; `never` if the read in flight needs no check.
    instant m_watchCheckAt = instant::never();
    /// When the last read was sent.
    instant m_sentAt;
    /// When the first bytes of its response were reported; `never` if none were.
    instant m_answerBeganAt = instant::never();
    /// The next watch starts no earlier, since the changes were too large for the last one.
    instant m_largeChangesHoldoffUntil;
    instant m_nextReadAt = instant::never();
    /// Earliest time at which the last failed read may be repeated.
    instant m_earliestRetryAt;
    instant m_firstWatchHoldoffUntil;
    instant m_watchHoldoffUntil;
    /// True from the time a list becomes necessary until its last page was read.
    bool m_isListing = true;
    /// Last key of the previous page of the list; empty before the first page.
    std::string m_afterKey;
    std::vector<published_item> m_listedItems;
    /// Era of the first page of the list, see `item_page::era`.
    std::uint64_t m_listEra = 0;
    /// Lowest revision of the pages of the list read so far. The next watch starts there, so that
    /// it delivers the changes that any of the pages lacks: those made while the list was read, and
    /// those that a replica which answered one of the pages did not have yet.
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastChangeRevision = 0;
    /// Era of the known items, and the latest one that an answer or another gateway has shown.
    std::uint64_t m_era = 0;
    std::uint64_t m_latestEra = 0;
    /// See `item_batch::copyRevision`.
    std::uint64_t m_copyRevision = 0;
    /// Highest revision known in any earlier era. A copy may be older than the previous one.
    std::uint64_t m_highestRevision = 0;
    known_items m_known;
    /// When the scope is listed to remove the unconfirmed items.
    instant m_confirmAt = instant::never();
    bool m_isWatching = true;
    bool m_hasReadSinceWatching = false;
    /// When missing changes are requested.
    catch_up_plan m_catchUp;
    /// If the watch in flight has not been answered by this time, the scope is listed again.
    instant m_answerDeadline;
    /// The scope has to be listed before changes can be requested: it was never listed, the store
    /// has compacted the changes since `m_revision`, or a watch missed changes or hung.
    bool m_mustRelist = true;
    /// Relayed updates that wait for the changes before them.
    std::vector<items_update> m_outOfOrder;
    unsigned m_failures = 0;
    /// As `m_failures`, but only since watching began.
    unsigned m_failuresSinceWatching = 0;
    bool m_allowStaleList = false;
    bool m_hasSynced = false;
};

} // namespace almondnotch
