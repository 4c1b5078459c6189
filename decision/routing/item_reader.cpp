#include "decision/routing/item_reader.h"

#include <algorithm>
#include <utility>

#include "core/mechanisms.h"

namespace almondnotch {

namespace {

/// Failures after which the time between two tries no longer grows.
constexpr unsigned backoffDoublingsMax = 4;
/// Longest wait of a watch that asks for changes which are known to exist.
constexpr duration catchUpWait = milliseconds(50);
/// How long announced changes may be on their way from another gateway.
constexpr duration catchUpDelay = milliseconds(150);
/// Time in which a watch under way has to tell announced changes; it would tell them at once.
constexpr duration announcedTimeLimit = milliseconds(600);
/// Updates that are kept until the changes before them arrive.
constexpr std::size_t earlyUpdatesMax = 8;

} // namespace

item_reader::item_reader(item_reader_settings settings, random_source &random,
                         counter_set &counters)
    : m_settings(settings), m_random(random), m_counters(counters),
      m_mayBeStale(settings.startsStale)
{ }

void item_reader::start(instant now, std::uint64_t &nextRead, action_list &actions)
{
    m_settledAt = now + m_settings.settling;
    send(nextRead, actions);
}

void item_reader::send(std::uint64_t &nextRead, action_list &actions)
{
    m_underWay = true;
    m_nextRead = instant::never();
    m_read = read_id {nextRead++};
    read_items order;
    order.read = m_read;
    order.scope = m_settings.scope;
    if (m_isListing) {
        order.afterKey = m_afterKey;
        order.mayBeStale = m_mayBeStale;
    } else {
        order.afterRevision = m_revision;
        order.wait = watchTime();
    }
    m_isCatchingUp = false;
    actions.push_back(std::move(order));
}

duration item_reader::watchTime()
{
    if (!m_isWatching || !m_hasReadSinceWatching)
        return catchUpWait;
    // Spread, so that the watches of all gateways do not end together.
    return scaled(m_settings.watch, 1.0 - 0.2 * m_random.uniform());
}

void item_reader::setWatching(instant now, bool isWatching, const retry_pace &retries)
{
    if (isWatching && !m_isWatching) {
        // A watch under way from before may wait on a dead connection.
        m_hasReadSinceWatching = false;
        m_underWay = m_underWay && m_isListing;
        m_nextRead = std::min(m_nextRead, now);
    }
    m_isWatching = isWatching;
    m_settings.retries = retries;
}

void item_reader::announce(instant now, std::uint64_t revision)
{
    if (m_isListing && !m_underWay) {
        // Reads failed, but the store answers others again. Nothing has to be listed as long as the
        // changes since then can be asked for.
        m_isListing = m_mustList;
        m_nextRead = std::min<instant>(m_nextRead, now + catchUpDelay);
    }
    if (m_isListing || revision <= std::max(m_revision, m_announced))
        return;
    m_announced = revision;
    m_announcedUntil = now + announcedTimeLimit;
    if (m_underWay)
        return;
    m_isCatchingUp = true;
    m_nextRead = now + catchUpDelay;
}

instant item_reader::nextWake() const
{
    if (m_underWay)
        return isBehind() && !m_isListing ? m_announcedUntil : instant::never();
    return isDue() ? m_nextRead : instant::never();
}

std::vector<published_item> item_reader::newItems(const std::vector<published_item> &items) const
{
    std::vector<published_item> out;
    for (const published_item &item : items) {
        // A store that gives no revision of an item is taken at its word.
        if (item.revision == 0 || item.revision > m_revision)
            out.push_back(item);
    }
    return out;
}

bool item_reader::takeUpdate(const items_update &update, std::vector<reader_news> &news)
{
    if (update.afterRevision > m_revision)
        return false;
    std::vector<published_item> fresh = newItems(update.items);
    const std::uint64_t before = m_changedRevision;
    m_revision = std::max(m_revision, update.revision);
    m_changedRevision = std::max(m_changedRevision, update.revision);
    if (!fresh.empty())
        news.push_back({false, std::move(fresh), before, m_revision});
    return true;
}

std::vector<reader_news> item_reader::follow(instant now, const items_update &update)
{
    std::vector<reader_news> news;
    // The first list tells more than the update.
    if (!m_wasComplete)
        return news;
    if (!takeUpdate(update, news)) {
        m_counters.add("items_updates_early_total");
        if (m_early.size() >= earlyUpdatesMax)
            m_early.erase(m_early.begin());
        m_early.push_back(update);
        announce(now, update.revision);
        return news;
    }
    while (
        std::erase_if(m_early,
                      [this, &news](const items_update &early) { return takeUpdate(early, news); })
        > 0) { }
    m_isCatchingUp = m_isCatchingUp && isBehind();
    return news;
}

bool item_reader::finished(instant now, const items_read &input, std::vector<reader_news> &news)
{
    if (!m_underWay || input.read != m_read)
        return false;
    m_underWay = false;
    if (!input.page) {
        failed(now);
        // A store that drops its history cuts its watches: a watch that resumes in that moment
        // would wait for the next change and miss those that were dropped.
        if (!m_isListing && isMechanismEnabled("list_after_cut"))
            restart(m_nextRead);
        return true;
    }
    m_failures = 0;
    m_hasReadSinceWatching = m_hasReadSinceWatching || m_isWatching;
    if (input.page->historyLost) {
        m_counters.add("store_history_lost_total");
        listAnew(now);
        return true;
    }
    if (m_isListing)
        listed(now, *input.page, news);
    else
        watched(now, *input.page, news);
    return true;
}

void item_reader::listed(instant now, const item_page &page, std::vector<reader_news> &news)
{
    if (m_afterKey.empty())
        m_listRevision = page.revision;
    m_listedItems.insert(m_listedItems.end(), page.items.begin(), page.items.end());
    m_nextRead = now;
    if (page.hasMore && !page.lastKey.empty()) {
        m_afterKey = page.lastKey;
        return;
    }
    // A store that lags behind what was seen before would undo changes.
    if (m_listRevision < m_revision) {
        m_counters.add("store_lists_outdated_total");
        failed(now);
        restart(m_nextRead);
        return;
    }
    m_revision = m_listRevision;
    m_changedRevision = m_listRevision;
    m_isListing = false;
    m_mustList = false;
    m_wasComplete = true;
    m_afterKey.clear();
    news.push_back({true, std::exchange(m_listedItems, {}), 0, m_revision});
}

void item_reader::watched(instant now, const item_page &page, std::vector<reader_news> &news)
{
    std::vector<published_item> fresh = newItems(page.items);
    if (fresh.empty() && isBehind()) {
        // The store dropped changes without saying so.
        m_counters.add("store_changes_missing_total");
        listAnew(now);
        return;
    }
    m_revision = std::max(m_revision, page.revision);
    m_nextRead = page.items.empty() ? now : std::max<instant>(now + m_settings.pacing, m_settledAt);
    if (fresh.empty())
        return;
    news.push_back({false, std::move(fresh), m_changedRevision, m_revision});
    m_changedRevision = m_revision;
}

void item_reader::failed(instant now)
{
    m_counters.add("store_reads_failed_total");
    const unsigned doublings = std::min(m_failures, backoffDoublingsMax);
    ++m_failures;
    const duration pause = std::min<duration>(m_settings.retries.first * (1U << doublings),
                                              m_settings.retries.longest);
    m_nextRead = now + scaled(pause, 0.75 + 0.5 * m_random.uniform());
}

void item_reader::listAnew(instant now)
{
    m_mustList = true;
    restart(now);
}

void item_reader::restart(instant now)
{
    m_isListing = true;
    // An old list could lie before the history that the store still has, again and again.
    m_mayBeStale = false;
    m_afterKey.clear();
    m_listedItems.clear();
    m_announced = 0;
    m_underWay = false;
    m_nextRead = now;
}

void item_reader::timerExpired(instant now, std::uint64_t &nextRead, action_list &actions)
{
    if (m_underWay && !m_isListing && isBehind() && now >= m_announcedUntil) {
        // The connection of the watch may be dead.
        m_counters.add("store_watches_given_up_total");
        listAnew(now);
    }
    if (!m_underWay && isDue() && m_nextRead <= now)
        send(nextRead, actions);
}

} // namespace almondnotch
