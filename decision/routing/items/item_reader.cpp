#include "decision/routing/items/item_reader.h"

#include <algorithm>
#include <utility>

#include "core/mechanisms.h"
#include "decision/routing/items/store_log.h"
#include "decision/routing/items/store_outage.h"

namespace almondnotch {

namespace {

/// Maximum number of times that the backoff is doubled.
constexpr unsigned backoffDoublingsMax = 4;
/// Range of the random factor of a delay between retries.
constexpr double retryJitterMin = 0.75;
constexpr double retryJitterMax = 1.25;
/// Time for which the store may hold a watch open that requests advertised changes, or that is the
/// first one after watching began.
constexpr duration catchUpWatchDuration = milliseconds(50);
/// Maximum random reduction of the duration of a watch, as a fraction of it.
constexpr double watchJitterFraction = 0.1;
/// How much longer than its requested wait a watch may take until its answer arrives. A watch that
/// exceeds this time is assumed to be lost: the store may have failed after it received the watch,
/// while the connection stays open.
constexpr duration watchAnswerMargin = milliseconds(400);
/// Time from a watch to the check that shows whether it has reached the store. It must exceed the
/// time that the store takes for a request, since it may fall silent while the watch is on its way.
constexpr duration watchCheckDelay = milliseconds(100);
/// Number of consecutive failed reads from which the store counts as unavailable.
constexpr unsigned unavailableFailuresMin = 2;
/// How much longer than the gateways that watch the store another one waits before it lists the
/// scope to remove what was not written again, so that the removal is rather relayed.
constexpr duration confirmationRelayTime = milliseconds(500);
/// Minimum time from a watch whose changes were too large until the next one.
constexpr duration largeChangesHoldoffMin = milliseconds(500);
/// Minimum time between the starts of two watches if the first one reported only items that say
/// nothing, so that these are not read each time that they are written.
constexpr duration uselessWatchInterval = milliseconds(500);
/// Maximum number of updates that are buffered until the changes before them arrive.
constexpr std::size_t outOfOrderUpdatesMax = 8;

} // namespace

item_reader::item_reader(item_reader_settings settings, random_source &random,
                         counter_set &counters)
    : m_settings(settings), m_random(random), m_counters(counters),
      m_allowStaleList(settings.allowStaleInitialList)
{ }

void item_reader::start(instant now, std::uint64_t &nextReadId, action_list &actions)
{
    m_watchHoldoffUntil = now + m_settings.startupWatchHoldoff;
    m_firstWatchHoldoffUntil = m_watchHoldoffUntil;
    sendRead(now, nextReadId, actions);
}

void item_reader::sendRead(instant now, std::uint64_t &nextReadId, action_list &actions)
{
    m_isReadInFlight = true;
    m_sentAt = now;
    m_answerBeganAt = instant::never();
    m_nextReadAt = instant::never();
    m_watchCheckAt = instant::never();
    m_readId = read_id {nextReadId++};
    read_items command;
    command.read = m_readId;
    command.scope = m_settings.scope;
    command.needsNewConnection = needsNewConnection();
    if (m_isListing) {
        command.afterKey = m_afterKey;
        command.allowStale = m_allowStaleList;
    } else {
        command.afterRevision = m_revision;
        command.wait = nextWatchDuration();
        m_answerDeadline = now + command.wait + watchAnswerMargin;
        if (m_settings.checksWatches && command.wait > catchUpWatchDuration)
            m_watchCheckAt = now + watchCheckDelay;
    }
    m_catchUp.readSent(now);
    actions.push_back(std::move(command));
}

/// An open connection may be dead after a failed read, if the store was away before it came back
/// from a copy, or if it was not used while other gateways watched the scope.
bool item_reader::needsNewConnection() const
{
    return m_failures > 0 || (m_hasSynced && isEraOutdated())
           || (m_isWatching && !m_hasReadSinceWatching && m_hasSynced);
}

duration item_reader::nextWatchDuration()
{
    if (!m_isWatching || !m_hasReadSinceWatching)
        return catchUpWatchDuration;
    // Jitter, so that the watches of the gateways do not all end at the same time.
    return scaled(m_settings.watchTimeout, 1.0 - watchJitterFraction * m_random.uniform());
}

void item_reader::setWatching(instant now, bool isWatching, const backoff_settings &backoff)
{
    if (isWatching && !m_isWatching) {
        // A watch that is still in flight from before may hang on a dead connection.
        m_hasReadSinceWatching = false;
        m_failuresSinceWatching = 0;
        m_isReadInFlight = m_isReadInFlight && m_isListing;
        m_nextReadAt = std::min(m_nextReadAt, now);
    }
    m_isWatching = isWatching;
    m_settings.backoff = backoff;
}

void item_reader::endFirstWatchHoldoff(instant now)
{
    endHoldoff(now, m_firstWatchHoldoffUntil);
}

void item_reader::endWatchHoldoffs(instant now)
{
    endHoldoff(now, m_firstWatchHoldoffUntil);
    endHoldoff(now, m_watchHoldoffUntil);
}

/// Ends one holdoff and makes a watch that waits for its end due.
void item_reader::endHoldoff(instant now, instant &until)
{
    const bool isWaiting = !m_isReadInFlight && !m_isListing;
    if (isWaiting && m_nextReadAt == until)
        m_nextReadAt = std::min(m_nextReadAt, now);
    until = std::min(until, now);
}

void item_reader::eraSeen(instant now, std::uint64_t era)
{
    if (era <= m_latestEra)
        return;
    expectChanges(now);
    m_latestEra = era;
    m_mustRelist = true;
    // The answer to a list that was just sent tells its era itself.
    const bool isFirstPageInFlight = m_isListing && m_isReadInFlight && m_afterKey.empty();
    if (!m_hasSynced || (isFirstPageInFlight && readAge(now) <= catch_up_plan::relayTime))
        return;
    relist(now);
    // A follower first waits for the list that the readers relay.
    m_nextReadAt = m_isWatching ? now : now + catch_up_plan::relayTime;
}

/// Checks the era of an answer. If the answer cannot be used, the scope is listed again.
/// \return true if the answer can be used.
bool item_reader::acceptEra(instant now, const item_page &page)
{
    if (isEarlierEra(page.era)) {
        m_counters.add("store_answers_outdated_total");
        readFailed(now);
        restart(m_nextReadAt);
        return false;
    }
    m_latestEra = std::max(m_latestEra, page.era);
    m_mustRelist = m_mustRelist || isEraOutdated();
    if (m_isListing && (m_afterKey.empty() || m_listEra == 0))
        m_listEra = page.era;
    const bool isUsable = m_isListing ? page.era == 0 || page.era == m_listEra : !isEraOutdated();
    if (!isUsable)
        relist(now);
    return isUsable;
}

void item_reader::revisionAdvertised(instant now, std::uint64_t era, std::uint64_t revision)
{
    if (isEarlierEra(era))
        return;
    eraSeen(now, era);
    if (m_isListing && !m_isReadInFlight) {
        // The reads of this gateway failed, but the store answers other gateways again. The scope
        // need not be listed as long as the store still has the changes since `m_revision`.
        m_isListing = m_mustRelist;
        m_nextReadAt = std::min<instant>(m_nextReadAt, now + catch_up_plan::relayTime);
    }
    const store_position advertised {era == 0 ? m_latestEra : era, revision};
    if (advertised <= std::max(known(), m_catchUp.advertised()))
        return;
    expectChanges(now);
    m_catchUp.positionAdvertised(now, advertised);
}

/// Called before the reader learns of missing changes.
void item_reader::expectChanges(instant now)
{
    if (!isBehind())
        m_catchUp.changesExpected(now, m_earliestRetryAt);
}

/// When the next read starts if none is in flight; `never` if none is needed.
instant item_reader::plannedReadAt() const
{
    const instant planned = m_isListing || m_isWatching ? m_nextReadAt : instant::never();
    return isBehind()
               ? std::min(planned, std::max(m_catchUp.requestAt(), m_largeChangesHoldoffUntil))
               : planned;
}

bool item_reader::hasTimelyRead(instant now) const
{
    if (!m_isReadInFlight)
        return plannedReadAt() <= now + scaled(catch_up_plan::requestDelayMax, retryJitterMax);
    return m_isListing || watchDeadline() <= now + catch_up_plan::watchTimeLimit;
}

instant item_reader::nextWake() const
{
    if (isWatchInFlight())
        return std::min({watchDeadline(), m_watchCheckAt, confirmationTime()});
    if (m_isReadInFlight)
        return instant::never();
    return std::min(plannedReadAt(), confirmationTime());
}

/// When the scope is listed to remove what was not written again; `never` if nothing is missing.
instant item_reader::confirmationTime() const
{
    if (!m_known.hasUnconfirmed() || m_isListing)
        return instant::never();
    return m_isWatching ? m_confirmAt : m_confirmAt + confirmationRelayTime;
}

/// Time by which the watch in flight has to be answered.
instant item_reader::watchDeadline() const
{
    return isBehind() ? std::min(m_catchUp.watchDeadline(), m_answerDeadline) : m_answerDeadline;
}

std::vector<published_item> item_reader::newItems(const std::vector<published_item> &items) const
{
    std::vector<published_item> out;
    for (const published_item &item : items) {
        // An item without a revision cannot be compared and is always applied.
        if (item.revision == 0 || item.revision > m_revision)
            out.push_back(item);
    }
    return out;
}

item_reader::update_fit item_reader::fitOf(const items_update &update) const
{
    if (update.afterRevision > m_revision)
        return update_fit::early;
    const bool hasNews = update.revision > m_revision;
    const std::uint64_t newestKnown = std::max(m_lastChangeRevision, m_known.newestRevision());
    return update.isListDifference && hasNews && update.afterRevision < newestKnown
               ? update_fit::incomplete
               : update_fit::complete;
}

/// Applies an update that is complete.
void item_reader::applyUpdate(const items_update &update, std::vector<item_batch> &batches)
{
    std::vector<published_item> fresh = newItems(update.items);
    const std::uint64_t previousRevision = m_lastChangeRevision;
    m_revision = std::max(m_revision, update.revision);
    m_lastChangeRevision = std::max(m_lastChangeRevision, update.revision);
    if (!fresh.empty())
        deliver({false, std::move(fresh), previousRevision, m_revision}, batches);
}

/// Begins the latest era that is known, whose first list is complete up to `listRevision`.
void item_reader::startEra(instant now, std::uint64_t listRevision)
{
    m_counters.add("store_eras_begun_total");
    m_era = m_latestEra;
    m_highestRevision = std::max(m_highestRevision, m_revision);
    m_copyRevision = std::min(m_highestRevision, listRevision);
    m_revision = listRevision;
    m_lastChangeRevision = listRevision;
    m_known.beginEra();
    m_confirmAt = now + store_outage::renewalTimeMax;
    std::erase_if(m_outOfOrder, [this](const items_update &stored) { return stored.era != m_era; });
}

/// Hands over a batch, and notes which items it names.
void item_reader::deliver(item_batch batch, std::vector<item_batch> &batches)
{
    batch.era = m_era;
    batch.copyRevision = m_copyRevision;
    m_known.apply(batch.items, batch.isSnapshot);
    batches.push_back(std::move(batch));
}

/// Begins a later era with the list that another gateway relays, in place of an own one.
/// \return false if the era of the update has begun already.
bool item_reader::applyEraStart(instant now, const items_update &update,
                                std::vector<item_batch> &batches)
{
    if (!isEraOutdated())
        return false;
    startEra(now, update.revision);
    m_isListing = false;
    m_mustRelist = false;
    m_isReadInFlight = false;
    m_nextReadAt = now;
    m_afterKey.clear();
    m_listedItems.clear();
    item_batch batch {false, update.items, 0, m_revision};
    batch.startsEra = true;
    deliver(std::move(batch), batches);
    return true;
}

std::vector<item_batch> item_reader::updateReceived(instant now, const items_update &update)
{
    std::vector<item_batch> batches;
    // Before the first list is complete, there is nothing to apply the update to. Changes that the
    // list lacks are delivered by the next watch or requested after it.
    if (!m_hasSynced) {
        revisionAdvertised(now, update.era, update.revision);
        return batches;
    }
    if (isEarlierEra(update.era)) {
        m_counters.add("items_updates_outdated_total");
        return batches;
    }
    eraSeen(now, update.era);
    if (!tryApply(now, update, batches)) {
        revisionAdvertised(now, update.era, update.revision);
        return batches;
    }
    applyStoredUpdates(batches);
    return batches;
}

/// Applies an update, or puts it aside.
/// \return true if it was applied.
bool item_reader::tryApply(instant now, const items_update &update,
                           std::vector<item_batch> &batches)
{
    if (update.era != 0 && update.afterRevision == 0)
        return applyEraStart(now, update, batches);
    const update_fit fit = isEraOutdated() ? update_fit::early : fitOf(update);
    if (fit == update_fit::complete)
        applyUpdate(update, batches);
    else
        putAside(update, fit);
    return fit == update_fit::complete;
}

/// Applies the stored updates to which no earlier change is missing any more.
void item_reader::applyStoredUpdates(std::vector<item_batch> &batches)
{
    if (isEraOutdated())
        return;
    const auto isDone = [this, &batches](const items_update &stored) {
        const update_fit fit = fitOf(stored);
        if (fit == update_fit::complete)
            applyUpdate(stored, batches);
        return fit != update_fit::early;
    };
    while (std::erase_if(m_outOfOrder, isDone) > 0) { }
}

/// Keeps an update until the changes before it arrive, or drops it if these are not what it lacks.
void item_reader::putAside(const items_update &update, update_fit fit)
{
    if (fit == update_fit::incomplete) {
        m_counters.add("items_updates_incomplete_total");
        return;
    }
    m_counters.add("items_updates_early_total");
    if (m_outOfOrder.size() >= outOfOrderUpdatesMax)
        m_outOfOrder.erase(m_outOfOrder.begin());
    m_outOfOrder.push_back(update);
}

bool item_reader::isStoreUnavailable() const
{
    return m_failuresSinceWatching >= unavailableFailuresMin;
}

void item_reader::readProgressed(instant now, read_id read)
{
    if (!m_isReadInFlight || read != m_readId)
        return;
    m_answerBeganAt = std::min(m_answerBeganAt, now);
    m_answerDeadline = std::max<instant>(m_answerDeadline, now + watchAnswerMargin);
    m_catchUp.readProgressed(now, watchAnswerMargin);
}

bool item_reader::readFinished(instant now, const items_read_finished &input,
                               std::vector<item_batch> &batches)
{
    if (!m_isReadInFlight || input.read != m_readId)
        return false;
    m_isReadInFlight = false;
    const store_position knownBefore = known();
    handleReadEnd(now, input, batches);
    applyStoredUpdates(batches);
    // A list, or its next page, is requested at once.
    if (m_isListing && m_nextReadAt <= now)
        return true;
    if (isBehind() && known() == knownBefore)
        m_catchUp.readWasFruitless(now, m_earliestRetryAt);
    else
        m_catchUp.readDelivered(now);
    return true;
}

/// Handles the end of the read that was in flight.
void item_reader::handleReadEnd(instant now, const items_read_finished &input,
                                std::vector<item_batch> &batches)
{
    if (!input.page) {
        readFailed(now);
        // A store that compacts its history closes its watches. A watch resumed at that moment
        // would wait for the next change and miss the compacted ones.
        if (!m_isListing && isMechanismEnabled("list_after_cut"))
            restart(m_nextReadAt);
        return;
    }
    if (!isEarlierEra(input.page->era)) {
        m_failures = 0;
        m_failuresSinceWatching = 0;
    }
    if (!acceptEra(now, *input.page))
        return;
    m_hasReadSinceWatching = m_hasReadSinceWatching || m_isWatching;
    if (input.page->historyLost) {
        m_counters.add("store_history_lost_total");
        relist(now);
        return;
    }
    if (input.page->changesTooLarge) {
        m_counters.add("store_changes_too_large_total");
        relist(now);
        m_largeChangesHoldoffUntil
            = now + std::max<duration>(m_settings.watchDelay, largeChangesHoldoffMin);
        return;
    }
    if (m_isListing)
        listPageReceived(now, *input.page, batches);
    else
        watchFinished(now, *input.page, batches);
}

void item_reader::listPageReceived(instant now, const item_page &page,
                                   std::vector<item_batch> &batches)
{
    m_listRevision = m_afterKey.empty() ? page.revision : std::min(m_listRevision, page.revision);
    m_listedItems.insert(m_listedItems.end(), page.items.begin(), page.items.end());
    m_nextReadAt = now;
    if (page.hasMore && !page.lastKey.empty()) {
        m_afterKey = page.lastKey;
        return;
    }
    // A list from a replica that lags behind would undo changes that have already been applied.
    const bool startsEra = m_hasSynced && isEraOutdated();
    if (!startsEra && m_listRevision < m_revision) {
        m_counters.add("store_lists_outdated_total");
        readFailed(now);
        restart(m_nextReadAt);
        return;
    }
    const std::uint64_t knownRevision = std::exchange(m_lastChangeRevision, m_listRevision);
    if (startsEra)
        startEra(now, m_listRevision);
    m_era = m_latestEra;
    m_revision = m_listRevision;
    m_isListing = false;
    m_mustRelist = false;
    m_hasSynced = true;
    m_afterKey.clear();
    // Without a configuration, the gateway cannot serve until it is published.
    const bool hasConfiguration
        = std::any_of(m_listedItems.begin(), m_listedItems.end(),
                      [](const published_item &item) { return item.evacuatedDomain.empty(); });
    if (hasConfiguration || m_settings.scope == item_scope::workers)
        m_nextReadAt = std::max({now, m_firstWatchHoldoffUntil, m_largeChangesHoldoffUntil});
    item_batch batch {!startsEra, std::exchange(m_listedItems, {}), startsEra ? 0 : knownRevision,
                      m_revision};
    batch.startsEra = startsEra;
    deliver(std::move(batch), batches);
}

void item_reader::watchFinished(instant now, const item_page &page,
                                std::vector<item_batch> &batches)
{
    std::vector<published_item> fresh = newItems(page.items);
    if (fresh.empty() && isBehind()) {
        // The store has dropped changes without reporting it.
        m_counters.add("store_changes_missing_total");
        relist(now);
        return;
    }
    m_revision = std::max(m_revision, page.revision);
    m_nextReadAt = nextWatchTime(now, page);
    fresh = m_known.withoutRepeatedFaults(std::move(fresh));
    if (fresh.empty())
        return;
    deliver({false, std::move(fresh), m_lastChangeRevision, m_revision}, batches);
    m_lastChangeRevision = m_revision;
}

/// When to start the watch after one that has just ended with this page.
instant item_reader::nextWatchTime(instant now, const item_page &page) const
{
    instant next = now;
    if (!page.items.empty())
        next = std::max<instant>(std::min(now, m_answerBeganAt) + m_settings.watchDelay,
                                 m_watchHoldoffUntil);
    const bool hasNews
        = std::any_of(page.items.begin(), page.items.end(), [this](const published_item &item) {
              return !m_known.isUnusableAsBefore(item);
          });
    if (!hasNews && (!page.items.empty() || page.ignoredCount > 0))
        next = std::max<instant>(next, m_sentAt + uselessWatchInterval);
    return std::max(now, next);
}

void item_reader::readFailed(instant now)
{
    m_counters.add("store_reads_failed_total");
    m_nextReadAt = now + retryDelay(m_settings.backoff);
    m_earliestRetryAt = std::min(m_nextReadAt, now + retryDelay(m_settings.answeredBackoff));
    ++m_failures;
    ++m_failuresSinceWatching;
}

duration item_reader::retryDelay(const backoff_settings &backoff)
{
    const unsigned doublings = std::min(m_failures, backoffDoublingsMax);
    const duration delay
        = std::min<duration>(backoff.initialDelay * (1U << doublings), backoff.delayMax);
    return scaled(delay, retryJitterMin + (retryJitterMax - retryJitterMin) * m_random.uniform());
}

void item_reader::storeAnswered(instant now)
{
    if (m_isReadInFlight || m_failures == 0)
        return;
    m_nextReadAt = std::min(m_nextReadAt, std::max(now, m_earliestRetryAt));
}

void item_reader::relist(instant now)
{
    m_mustRelist = true;
    restart(now);
}

void item_reader::restart(instant listAt)
{
    m_isListing = true;
    // A stale list could end before the oldest change that the store still has, so that each watch
    // after it would fail and lead to the next list.
    m_allowStaleList = false;
    m_afterKey.clear();
    m_listedItems.clear();
    m_isReadInFlight = false;
    m_nextReadAt = listAt;
}

std::optional<read_id> item_reader::takeDueWatchCheck(instant now)
{
    if (!isWatchInFlight() || now < m_watchCheckAt)
        return std::nullopt;
    m_watchCheckAt = instant::never();
    return m_readId;
}

void item_reader::watchDoubted(instant now, read_id watch, action_list &actions)
{
    if (isWatchInFlight() && watch == m_readId)
        giveUpWatch(now, actions);
}

/// Lists the scope in place of a watch that seems to be lost.
void item_reader::giveUpWatch(instant now, action_list &actions)
{
    m_counters.add("store_watches_given_up_total");
    actions.push_back(watchGivenUpRecord(*this, readAge(now)));
    readFailed(now);
    relist(now);
}

void item_reader::timerExpired(instant now, std::uint64_t &nextReadId, action_list &actions)
{
    if (isWatchInFlight() && now >= watchDeadline())
        giveUpWatch(now, actions);
    if (now >= confirmationTime())
        relist(now);
    if (!m_isReadInFlight && plannedReadAt() <= now)
        sendRead(now, nextReadId, actions);
}

nlohmann::json item_reader::dump(instant now) const
{
    nlohmann::json out = {{"revision", m_revision},
                          {"advertised_revision", m_catchUp.advertised().revision},
                          {"is_behind", isBehind()},
                          {"updates_put_aside", m_outOfOrder.size()},
                          {"updates_put_aside_max", outOfOrderUpdatesMax},
                          {"failures", m_failures},
                          {"is_watching", m_isWatching},
                          {"is_listing", m_isListing},
                          {"is_read_in_flight", m_isReadInFlight},
                          {"read_age_ms", toMilliseconds(readAge(now))}};
    if (!m_isReadInFlight && plannedReadAt() != instant::never())
        out["next_read_ms"] = toMilliseconds(plannedReadAt() - now);
    return out;
}

} // namespace almondnotch
