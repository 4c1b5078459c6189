#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

/// Time after the end of a fault from which the gateway counts as in contact with the store, so
/// that every acknowledged change must be in force.
constexpr duration contactTime = seconds(3);
constexpr duration step = milliseconds(10);
/// Time limit of the transport for a read that is no watch.
constexpr duration readTimeLimit = milliseconds(1500);
/// Processor share of a gateway that is neither a reader nor a standby reader.
constexpr std::uint32_t followerCapacity = 1;

/// What happens to reads during a fault.
enum class read_fault {
    /// The store rejects them.
    rejected,
    /// They get no answer until their time limit has passed, even if the fault has ended by then.
    lost,
};

/// Answers the reads of a gateway with the newest configuration, except during faults.
class faulty_store
{
public:
    /// \param areOthersKnown whether the other gateways stay known, although none of them reports.
    faulty_store(reader_fixture &fixture, bool areOthersKnown)
        : m_fixture(fixture), m_areOthersKnown(areOthersKnown)
    { }

    /// Advances the clock during a fault.
    void advanceFaulty(duration length, read_fault fault)
    {
        for (duration passed {0}; passed < length; passed += step) {
            advanceStep();
            for (const item_scope scope : {item_scope::configuration, item_scope::workers}) {
                const read_items *read = m_fixture.inFlightRead(scope);
                if (read == nullptr)
                    continue;
                if (fault == read_fault::rejected)
                    m_fixture.answerRead(scope, fail(error_code::unavailable, "read", "", "busy"));
                else
                    noteLost(read->read);
            }
            while (m_checksSeen < m_fixture.revisionReads.size()) {
                const read_id check = m_fixture.revisionReads[m_checksSeen++].read;
                if (fault == read_fault::rejected)
                    m_fixture.handle(items_read_finished {
                        check, fail(error_code::unavailable, "read", "", "busy")});
                else
                    noteLost(check);
            }
            endLostReads();
        }
    }

    /// Advances the clock without a fault. Reads that were lost before still get no answer.
    void advance(duration length)
    {
        for (duration passed {0}; passed < length; passed += step) {
            advanceStep();
            endLostReads();
            for (const item_scope scope : {item_scope::configuration, item_scope::workers}) {
                const read_items *read = m_fixture.inFlightRead(scope);
                if (read != nullptr && !isLost(read->read) && read->afterRevision < newestRevision)
                    m_fixture.answerRead(scope, pageOf(scope));
            }
            while (m_checksSeen < m_fixture.revisionReads.size()) {
                item_page page;
                page.revision = newestRevision;
                m_fixture.handle(
                    items_read_finished {m_fixture.revisionReads[m_checksSeen++].read, page});
            }
        }
    }

private:
    static constexpr std::uint64_t newestRevision = 20;

    struct lost_read
    {
        read_id read;
        instant endsAt;
    };

    static item_page pageOf(item_scope scope)
    {
        item_page page;
        page.revision = newestRevision;
        if (scope == item_scope::configuration)
            page.items = {withRevision(configItem(shopRoutes(2)), 15)};
        else
            page.items = {workerItem(workerEntry("w-1", "reads"))};
        return page;
    }

    void advanceStep()
    {
        m_fixture.advance(step);
        if (!m_areOthersKnown || m_fixture.now < m_nextDigestsAt)
            return;
        m_fixture.receiveDigestsFromOthers();
        m_nextDigestsAt = m_fixture.now + seconds(1);
    }

    bool isLost(read_id read) const
    {
        return std::any_of(m_lost.begin(), m_lost.end(),
                           [read](const lost_read &lost) { return lost.read == read; });
    }

    /// The read ends without an answer when its time limit has passed.
    void noteLost(read_id read)
    {
        if (!isLost(read))
            m_lost.push_back({read, m_fixture.now + readTimeLimit});
    }

    void endLostReads()
    {
        for (const lost_read &lost : std::vector<lost_read>(m_lost)) {
            if (lost.endsAt > m_fixture.now)
                continue;
            std::erase_if(m_lost,
                          [&lost](const lost_read &other) { return other.read == lost.read; });
            m_fixture.endRead(lost.read, fail(error_code::timed_out, "read", "", "no answer"));
        }
    }

    reader_fixture &m_fixture;
    bool m_areOthersKnown;
    std::vector<lost_read> m_lost;
    std::size_t m_checksSeen = 0;
    instant m_nextDigestsAt;
};

/// Checks that a gateway without reports of readers applies a configuration within `contactTime`
/// after a fault, for faults of many lengths.
void checkContactTime(read_fault fault, bool areOthersKnown)
{
    for (duration length = seconds(2); length <= seconds(9); length += milliseconds(100)) {
        reader_fixture fixture(followerCapacity);
        fixture.startFollowing();
        faulty_store store(fixture, areOthersKnown);
        store.advanceFaulty(length, fault);
        store.advance(contactTime);
        BOOST_TEST(fixture.gateway->dump(fixture.now)["config_version"] == 2,
                   "the fault lasted " << toMilliseconds(length) << " ms");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(unheard_readers_suite)

// Guards against an outdated configuration in a gateway that hears from no reader, and that was
// rejected by the store, until it reads again seconds later.
BOOST_AUTO_TEST_CASE(rejectedGatewayWithoutReportsIsUpToDateInTime)
{
    checkContactTime(read_fault::rejected, true);
}

// Guards against the same in a gateway whose reads got no answer.
BOOST_AUTO_TEST_CASE(silencedGatewayWithoutReportsIsUpToDateInTime)
{
    checkContactTime(read_fault::lost, true);
}

// Guards against the same if the other gateways are declared gone during the fault, so that the
// gateway is the only one left that it knows.
BOOST_AUTO_TEST_CASE(gatewayThatLosesAllOthersIsUpToDateInTime)
{
    checkContactTime(read_fault::rejected, false);
    checkContactTime(read_fault::lost, false);
}

// Guards against repeating a read on a connection that has gone silent together with that of the
// lost one.
BOOST_AUTO_TEST_CASE(readsAfterALostOneNeedANewConnection)
{
    reader_fixture fixture;
    BOOST_REQUIRE(fixture.isWatching());
    BOOST_TEST(!fixture.inFlightRead(item_scope::configuration)->needsNewConnection);
    fixture.advance(seconds(5));
    const read_items *list = fixture.inFlightRead(item_scope::configuration);
    BOOST_REQUIRE(list != nullptr);
    BOOST_TEST(list->afterRevision == 0U);
    BOOST_TEST(list->needsNewConnection);
}

// Guards against the first watch, after the readers have fallen silent, on a connection that went
// silent at the same time.
BOOST_AUTO_TEST_CASE(firstOwnWatchNeedsANewConnection)
{
    reader_fixture fixture(followerCapacity);
    fixture.startFollowing();
    fixture.advance(seconds(2));
    BOOST_REQUIRE(fixture.isWatching());
    BOOST_TEST(fixture.inFlightRead(item_scope::configuration)->needsNewConnection);
    BOOST_TEST(fixture.inFlightRead(item_scope::workers)->needsNewConnection);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
