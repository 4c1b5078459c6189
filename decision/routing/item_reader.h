#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/counters.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/events.h"

namespace almondnotch {

struct item_reader_settings
{
    item_scope scope = item_scope::configuration;
    /// Longest time that a watch waits at the store.
    duration watch {seconds(25)};
    /// Time between the end of a watch that reported changes and the next one, so that changes
    /// that come together cost one call.
    duration pacing {0};
    /// The first list may be old: the watch that follows tells what has changed since.
    bool startsStale = false;
    /// Time before a failed read is repeated, doubled with each further failure.
    duration retryFirst {milliseconds(100)};
    duration retryLongest {seconds(1)};
};

/// What a finished read told.
struct reader_news
{
    /// The items are all that exist; items that are not among them were removed.
    bool isWhole = false;
    std::vector<published_item> items;
};

/// Reads one scope of the platform's store: lists it page by page, then watches it, and lists it
/// again when the store has forgotten changes. Has at most one read under way.
class item_reader
{
public:
    /// \param random, counters outlive the reader.
    item_reader(item_reader_settings settings, random_source &random, counter_set &counters);

    void start(std::uint64_t &nextRead, action_list &actions);
    /// \return true if the read is this reader's; `news` then holds what it told, if anything.
    bool finished(instant now, const items_read &input, std::vector<reader_news> &news);
    void timerExpired(instant now, std::uint64_t &nextRead, action_list &actions);
    instant nextWake() const { return m_nextRead; }

    /// The process did not run, or the watch may be dead: all is read anew.
    void restart(instant now);

    /// True once everything was listed.
    bool isComplete() const { return m_wasComplete; }
    /// Failed reads since the last one that worked; 0 while the store answers.
    unsigned failuresInARow() const { return m_failures; }
    std::uint64_t revision() const { return m_revision; }

private:
    void send(std::uint64_t &nextRead, action_list &actions);
    void listed(instant now, const item_page &page, std::vector<reader_news> &news);
    void watched(instant now, const item_page &page, std::vector<reader_news> &news);
    void failed(instant now);

    item_reader_settings m_settings;
    random_source &m_random;
    counter_set &m_counters;
    bool m_underWay = false;
    read_id m_read {};
    instant m_nextRead = instant::never();
    /// The scope is being listed; otherwise it is watched.
    bool m_isListing = true;
    std::string m_afterKey;
    std::vector<published_item> m_listedItems;
    /// Revision of the list's first page: changes that were made while it was read come again.
    std::uint64_t m_listRevision = 0;
    std::uint64_t m_revision = 0;
    unsigned m_failures = 0;
    bool m_mayBeStale = false;
    bool m_wasComplete = false;
};

} // namespace almondnotch
