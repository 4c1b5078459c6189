#include "decision/routing/item_reader.h"

#include <algorithm>
#include <utility>

namespace almondnotch {

namespace {

/// Failures after which the time between two tries no longer grows.
constexpr unsigned backoffDoublingsMax = 4;

} // namespace

item_reader::item_reader(item_reader_settings settings, random_source &random,
                         counter_set &counters)
    : m_settings(settings), m_random(random), m_counters(counters),
      m_mayBeStale(settings.startsStale)
{ }

void item_reader::start(std::uint64_t &nextRead, action_list &actions)
{
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
        // Spread, so that the watches of all gateways do not end together.
        order.wait = duration(static_cast<std::int64_t>(
            static_cast<double>(m_settings.watch.count()) * (1.0 - 0.2 * m_random.uniform())));
    }
    actions.push_back(std::move(order));
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
        if (!m_isListing)
            restart(m_nextRead);
        return true;
    }
    m_failures = 0;
    if (input.page->historyLost) {
        m_counters.add("store_history_lost_total");
        restart(now);
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
    m_isListing = false;
    m_wasComplete = true;
    m_afterKey.clear();
    news.push_back({true, std::exchange(m_listedItems, {})});
}

void item_reader::watched(instant now, const item_page &page, std::vector<reader_news> &news)
{
    m_revision = std::max(m_revision, page.revision);
    m_nextRead = page.items.empty() ? now : now + m_settings.pacing;
    if (!page.items.empty())
        news.push_back({false, page.items});
}

void item_reader::failed(instant now)
{
    m_counters.add("store_reads_failed_total");
    const unsigned doublings = std::min(m_failures, backoffDoublingsMax);
    ++m_failures;
    const duration pause
        = std::min<duration>(m_settings.retryFirst * (1U << doublings), m_settings.retryLongest);
    m_nextRead = now
                 + duration(static_cast<std::int64_t>(static_cast<double>(pause.count())
                                                      * (0.75 + 0.5 * m_random.uniform())));
}

void item_reader::restart(instant now)
{
    m_isListing = true;
    // An old list could lie before the history that the store still has, again and again.
    m_mayBeStale = false;
    m_afterKey.clear();
    m_listedItems.clear();
    m_underWay = false;
    m_nextRead = now;
}

void item_reader::timerExpired(instant now, std::uint64_t &nextRead, action_list &actions)
{
    if (!m_underWay && m_nextRead <= now)
        send(nextRead, actions);
}

} // namespace almondnotch
