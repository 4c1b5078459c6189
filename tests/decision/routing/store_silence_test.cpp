#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

/// Time after the end of an outage from which the store counts as stable, so that the time limits
/// for changes hold again.
constexpr duration stableAfter = seconds(3);
/// Maximum time from the acknowledgement of a change until it is in force. The same for drains of
/// workers and for configurations.
constexpr duration changeTimeMax = seconds(2);
constexpr duration step = milliseconds(10);

/// A store that loses the reads that are in flight when it is created, as if they had arrived
/// during an outage, and answers later ones.
class recovered_store
{
public:
    explicit recovered_store(routing_fixture &fixture)
        : m_fixture(fixture), m_workers(idOf(item_scope::workers)),
          m_config(idOf(item_scope::configuration))
    { }

    /// Publishes the complete items of a scope.
    void publish(item_scope scope, std::vector<published_item> items, std::uint64_t revision)
    {
        item_page page;
        page.items = std::move(items);
        page.revision = revision;
        (scope == item_scope::workers ? m_workerItems : m_configItems) = std::move(page);
    }

    /// Advances the clock and answers the reads that can be answered.
    void advance(duration length)
    {
        for (duration passed {0}; passed < length; passed += step) {
            m_fixture.advance(step);
            answer(item_scope::workers, m_workers, m_workerItems);
            answer(item_scope::configuration, m_config, m_configItems);
        }
    }

private:
    read_id idOf(item_scope scope) const
    {
        const read_items *read = m_fixture.inFlightRead(scope);
        return read == nullptr ? read_id {} : read->read;
    }

    void answer(item_scope scope, read_id lost, const item_page &items)
    {
        const read_items *read = m_fixture.inFlightRead(scope);
        if (read == nullptr || read->read == lost || read->afterRevision >= items.revision)
            return;
        m_fixture.answerRead(scope, items);
    }

    routing_fixture &m_fixture;
    read_id m_workers;
    read_id m_config;
    item_page m_workerItems;
    item_page m_configItems;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_silence_suite)

// Guards against requests to draining workers after an outage of the store in which the watch of
// the workers was lost without an error.
BOOST_AUTO_TEST_CASE(lostWatchDoesNotHideADrain)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("w-1", "reads"), workerEntry("w-2", "reads")});
    recovered_store store(fixture);
    store.publish(
        item_scope::workers,
        {workerItem(workerEntry("w-1", "reads")), workerItem(workerEntry("w-2", "reads"))}, 10);
    store.advance(stableAfter);
    store.publish(item_scope::workers,
                  {drainingWorkerItem("w-1", 12), workerItem(workerEntry("w-2", "reads"))}, 12);
    store.advance(changeTimeMax);
    for (int i = 0; i < 20; ++i) {
        fixture.call("GET", "/read/x");
        const start_attempt attempt = fixture.takeOne<start_attempt>();
        BOOST_TEST(attempt.workerName == "w-2");
        fixture.answer(attempt);
    }
}

// Guards against an outdated configuration after an outage of the store in which the watch of the
// configuration was lost without an error.
BOOST_AUTO_TEST_CASE(lostWatchDoesNotHideAConfiguration)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("w-1", "reads")});
    recovered_store store(fixture);
    store.publish(item_scope::configuration, {configItem(shopRoutes(1))}, 10);
    store.advance(stableAfter);
    store.publish(item_scope::configuration, {configItem(shopRoutes(2))}, 12);
    store.advance(changeTimeMax);
    BOOST_TEST(fixture.gateway->dump(fixture.now)["config_version"] == 2);
}

// Guards against a reader that reports to its failure domain that nothing has changed, because its
// own watch was lost while its checks of the store succeed.
BOOST_AUTO_TEST_CASE(readerWithALostWatchAdvertisesADrain)
{
    reader_fixture fixture(100);
    recovered_store store(fixture);
    const std::vector<published_item> ready
        = {workerItem(workerEntry("w-1", "reads")), workerItem(workerEntry("w-2", "reads"))};
    store.publish(item_scope::workers, ready, 10);
    const auto advanceWithChecks = [&fixture, &store](duration length) {
        for (duration passed {0}; passed < length; passed += milliseconds(100)) {
            store.advance(milliseconds(100));
            fixture.answerRevisionRead();
            fixture.receiveDigestsFromOthers();
        }
    };
    advanceWithChecks(stableAfter);
    store.publish(item_scope::workers, {drainingWorkerItem("w-1", 12), ready.back()}, 12);
    // The other gateways need the rest of the time to read the advertised change.
    advanceWithChecks(changeTimeMax - milliseconds(300));
    const std::vector<reader_report> reports = fixture.takeSent<reader_report>();
    BOOST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.back().isConnectedToStore);
    BOOST_TEST(reports.back().workersRevision == 12U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
