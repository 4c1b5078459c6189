#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random_source.h"
#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

constexpr std::uint32_t followerCapacity = 1;
constexpr duration step = milliseconds(10);
constexpr duration reportInterval = seconds(1);
/// Time limit of the transport for a read that gets no answer.
constexpr duration readTimeLimit = milliseconds(1500);
/// Time from the acknowledgement of a change until it binds, if the store and the network are calm.
constexpr duration bindingTime = seconds(2);
constexpr unsigned seedCount = 300;

const std::vector<item_scope> scopes {item_scope::configuration, item_scope::workers};

/// A store behind a slow link, and a reader that tells a gateway of its changes, by a report, an
/// update or not at all. Reads are answered late, with what the store had when it received them, or
/// fail. The store may come back from a copy that lacks the last changes; these are written again.
class slow_store
{
public:
    slow_store(reader_fixture &fixture, std::uint64_t seed) : m_fixture(fixture), m_random(seed) { }

    /// Makes changes for a while, with faults.
    void run(duration length)
    {
        m_isCalm = false;
        instant nextChangeAt = m_fixture.now;
        const instant restoreAt
            = m_fixture.now + scaled(length, m_random.uniform() < 0.5 ? 0.5 : 2.0);
        for (const instant end = m_fixture.now + length; m_fixture.now < end;) {
            if (m_fixture.now >= nextChangeAt) {
                change(scopes[m_random.below(scopes.size())], m_random.uniform() < 0.5);
                nextChangeAt = m_fixture.now + milliseconds(20 + m_random.below(600));
            }
            if (m_era == firstEra && m_fixture.now >= restoreAt)
                restore();
            advance(step);
        }
        m_isCalm = true;
    }

    /// Makes the last change of a scope, which the reader only advertises.
    void change(item_scope scope, bool isRelayed = false)
    {
        published_item item
            = scope == item_scope::configuration
                  ? configItem(shopRoutes(++m_version))
                  : workerItem(workerEntry("n-" + std::to_string(++m_workers), "reads"));
        const std::uint64_t previous = lastRevision(scope);
        m_changes[scope].push_back(withRevision(std::move(item), ++m_revision));
        if (m_isCalm || m_random.uniform() < 0.5)
            report();
        else if (isRelayed)
            m_fixture.handle(peer_message_received {
                {reader_fixture::nameOf(0), 1},
                items_update {scope, previous, m_revision, {m_changes[scope].back()}, m_era}});
    }

    void advance(duration length)
    {
        for (duration passed {0}; passed < length; passed += step) {
            m_fixture.advance(step);
            if (m_fixture.now >= m_nextReportAt) {
                m_fixture.receiveDigestsFromOthers();
                report();
            }
            for (const item_scope scope : scopes) {
                const read_items *read = m_fixture.inFlightRead(scope);
                if (read != nullptr)
                    serve(scope, *read);
            }
        }
    }

    std::uint64_t version() const { return m_version; }
    std::string lastWorker() const { return "n-" + std::to_string(m_workers); }

private:
    struct pending_answer
    {
        instant at;
        result<item_page> page;
    };

    static constexpr std::uint64_t firstEra = 1;

    std::uint64_t lastRevision(item_scope scope) const
    {
        const auto found = m_changes.find(scope);
        return found == m_changes.end() || found->second.empty() ? 10
                                                                 : found->second.back().revision;
    }

    void report()
    {
        m_nextReportAt = m_fixture.now + reportInterval;
        m_fixture.handle(
            peer_message_received {{reader_fixture::nameOf(0), 1},
                                   reader_report {true, lastRevision(item_scope::configuration),
                                                  lastRevision(item_scope::workers), m_era}});
    }

    /// Loses the last changes and writes them again in the next era.
    void restore()
    {
        ++m_era;
        const std::uint64_t copyRevision = std::max<std::uint64_t>(10, m_revision - 3);
        m_revision = copyRevision;
        for (const item_scope scope : scopes) {
            std::vector<published_item> lost;
            for (const published_item &item : m_changes[scope]) {
                if (item.revision > copyRevision)
                    lost.push_back(item);
            }
            std::erase_if(m_changes[scope], [copyRevision](const published_item &item) {
                return item.revision > copyRevision;
            });
            for (const published_item &item : lost)
                m_changes[scope].push_back(withRevision(item, ++m_revision));
        }
    }

    /// What the store answers now.
    item_page answerTo(item_scope scope, const read_items &read) const
    {
        item_page page = pageOf({}, m_revision);
        page.era = m_era;
        if (read.afterRevision == 0)
            page.items
                = scope == item_scope::configuration
                      ? std::vector {withRevision(configItem(shopRoutes(1)), 10)}
                      : std::vector {withRevision(workerItem(workerEntry("w-1", "reads")), 10),
                                     withRevision(workerItem(workerEntry("w-2", "reads")), 10)};
        const auto found = m_changes.find(scope);
        if (found == m_changes.end())
            return page;
        for (const published_item &item : found->second) {
            if (item.revision > read.afterRevision)
                page.items.push_back(item);
        }
        // A list has one value of each item.
        if (scope == item_scope::configuration && read.afterRevision == 0)
            page.items.erase(page.items.begin(), page.items.end() - 1);
        return page;
    }

    void serve(item_scope scope, const read_items &read)
    {
        const instant sentAt = m_sentAt.try_emplace(read.read, m_fixture.now).first->second;
        auto found = m_answers.find(read.read);
        if (found == m_answers.end()) {
            const bool isWatch = read.afterRevision > 0;
            if (isWatch && read.afterRevision >= lastRevision(scope)
                && m_fixture.now < sentAt + read.wait)
                return;
            pending_answer answer {m_fixture.now + milliseconds(10 + m_random.below(500)),
                                   answerTo(scope, read)};
            if (!m_isCalm && m_random.uniform() < 0.2)
                answer = {m_fixture.now
                              + milliseconds(m_random.below(readTimeLimit / milliseconds(1))),
                          fail(error_code::timed_out, "read", "", "no answer")};
            found = m_answers.emplace(read.read, std::move(answer)).first;
        }
        if (found->second.at > m_fixture.now) {
            if (found->second.page)
                m_fixture.handle(items_read_progress {read.read});
            return;
        }
        const pending_answer answer = found->second;
        found->second.at = instant::never();
        m_fixture.endRead(read.read, answer.page);
    }

    reader_fixture &m_fixture;
    random_source m_random;
    bool m_isCalm = true;
    std::uint64_t m_era = firstEra;
    std::uint64_t m_revision = 10;
    std::uint64_t m_version = 1;
    std::uint64_t m_workers = 0;
    std::map<item_scope, std::vector<published_item>> m_changes;
    std::map<read_id, instant> m_sentAt;
    std::map<read_id, pending_answer> m_answers;
    instant m_nextReportAt;
};

bool hasWorker(const routing_fixture &fixture, const std::string &name)
{
    const nlohmann::json workers = fixture.gateway->dump(fixture.now)["workers"];
    return std::any_of(workers.begin(), workers.end(),
                       [&name](const nlohmann::json &row) { return row["name"] == name; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(missing_changes_random_suite)

// Guards against a gateway that stays at an outdated configuration, or without a worker, after any
// sequence of changes that it is told of while its reads are in flight, are late or fail.
BOOST_AUTO_TEST_CASE(noChangeStaysMissing)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        reader_fixture fixture(followerCapacity);
        fixture.startFollowing();
        slow_store store(fixture, seed);
        store.run(seconds(6));
        // The reads in flight end, and those that were to follow a failure.
        store.advance(seconds(3));
        // Reads of the first of these changes are in flight when the next ones come.
        for (unsigned i = 0; i < 3; ++i) {
            store.change(item_scope::configuration);
            store.change(item_scope::workers);
            store.advance(milliseconds(100 + 100 * (seed % 5)));
        }
        store.advance(bindingTime);
        const std::uint64_t version = fixture.gateway->dump(fixture.now)["config_version"];
        BOOST_TEST(version == store.version(), "configuration " << version << " instead of "
                                                                << store.version() << ", seed "
                                                                << seed);
        BOOST_TEST(hasWorker(fixture, store.lastWorker()), store.lastWorker()
                                                               << " is missing, seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
