#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/reader_fixture.h"

namespace almondnotch {

namespace {

/// Time after an outage of the store from which configurations bind again.
constexpr duration stableAfter = seconds(3);
/// Time from the acknowledgement of a configuration until it binds.
constexpr duration configTimeMax = seconds(2);
constexpr duration step = milliseconds(1);
/// Time that the store takes to begin a watch, and to answer any other read.
constexpr duration watchTime = milliseconds(8);
constexpr duration answerTime = milliseconds(2);
/// Time limit of the transport for a read that is no watch.
constexpr duration readTimeLimit = milliseconds(1500);
constexpr std::uint32_t readerCapacity = 100;

/// A store that is silent for a while: requests that it works on then are lost without an error.
/// Watches that it has begun before are answered as usual.
template <typename Fixture>
class silent_store
{
public:
    /// \param silentFrom time until the silence begins.
    silent_store(Fixture &fixture, duration silentFrom, duration silence)
        : m_fixture(fixture), m_silentFrom(fixture.now + silentFrom),
          m_silentUntil(m_silentFrom + silence)
    { }

    void publish(const route_config &config)
    {
        ++m_revision;
        m_configRevision = m_revision;
        m_config = config;
    }

    void advance(duration length)
    {
        for (duration passed {0}; passed < length; passed += step) {
            m_fixture.advance(step);
            for (const item_scope scope : {item_scope::configuration, item_scope::workers}) {
                const read_items *read = m_fixture.inFlightRead(scope);
                if (read != nullptr)
                    serve(*read);
            }
            // Serving a check can send further ones.
            for (std::size_t i = 0; i < m_fixture.revisionReads.size(); ++i)
                serve(m_fixture.revisionReads[i]);
        }
    }

    instant silentUntil() const { return m_silentUntil; }

private:
    struct seen_read
    {
        instant sentAt;
        bool hasEnded = false;
    };

    void serve(read_items read)
    {
        seen_read &seen = m_seen.try_emplace(read.read, seen_read {m_fixture.now}).first->second;
        const bool isWatch = read.afterRevision > 0;
        const instant servedAt = seen.sentAt + (isWatch ? watchTime : answerTime);
        const bool isLost = seen.sentAt < m_silentUntil && servedAt >= m_silentFrom;
        if (seen.hasEnded || m_fixture.now < servedAt)
            return;
        if (isLost) {
            if (isWatch || m_fixture.now < seen.sentAt + readTimeLimit)
                return;
            seen.hasEnded = true;
            m_fixture.endRead(read.read, fail(error_code::timed_out, "read", "", "no answer"));
            return;
        }
        const bool hasNews
            = read.scope == item_scope::configuration && read.afterRevision < m_configRevision;
        if (isWatch && !hasNews && m_fixture.now < seen.sentAt + read.wait)
            return;
        seen.hasEnded = true;
        m_fixture.endRead(read.read, answerTo(read));
    }

    item_page answerTo(const read_items &read) const
    {
        if (read.revisionOnly)
            return pageOf({}, m_revision);
        if (read.scope == item_scope::configuration && read.afterRevision < m_configRevision)
            return pageOf({withRevision(configItem(m_config), m_configRevision)}, m_revision);
        if (read.scope == item_scope::workers && read.afterRevision == 0)
            return pageOf({workerItem(workerEntry("w-1", "reads"))}, m_revision);
        return pageOf({}, m_revision);
    }

    Fixture &m_fixture;
    instant m_silentFrom;
    instant m_silentUntil;
    std::uint64_t m_revision = 10;
    std::uint64_t m_configRevision = 10;
    route_config m_config = shopRoutes(1);
    std::map<read_id, seen_read> m_seen;
};

template <typename Fixture>
std::uint64_t versionOf(const Fixture &fixture)
{
    return fixture.gateway->dump(fixture.now)["config_version"].template get<std::uint64_t>();
}

/// Publishes a configuration, which ends the watch in flight, shortly before or while the store
/// falls silent, and the next one when it answers again. The next one has to be in force in time.
/// \param lead time from the first configuration to the silence.
template <typename Fixture>
void checkInForceInTime(Fixture &fixture, duration lead, duration silence)
{
    silent_store<Fixture> store(fixture, milliseconds(200) + lead, silence);
    store.advance(milliseconds(200));
    store.publish(shopRoutes(2));
    store.advance(lead + silence);
    store.publish(shopRoutes(3));
    store.advance(std::max(stableAfter, configTimeMax));
    BOOST_TEST(versionOf(fixture) == 3U, "the store was silent for "
                                             << toMilliseconds(silence) << " ms, "
                                             << toMilliseconds(lead) << " ms after a change");
}

constexpr duration silenceMin = milliseconds(200);
constexpr duration silenceMax = seconds(6);

/// All silences are tried with watches that are sent before, as and after the store falls silent.
template <typename Fixture>
void checkSilences(std::unique_ptr<Fixture> (*makeFixture)())
{
    for (duration silence = silenceMin; silence <= silenceMax; silence += milliseconds(100)) {
        for (duration lead {0}; lead <= milliseconds(16); lead += milliseconds(4)) {
            const std::unique_ptr<Fixture> fixture = makeFixture();
            checkInForceInTime(*fixture, lead, silence);
        }
    }
}

std::unique_ptr<routing_fixture> singleGateway()
{
    std::unique_ptr<routing_fixture> fixture = std::make_unique<routing_fixture>();
    fixture->becomeReady({workerEntry("w-1", "reads")});
    return fixture;
}

std::unique_ptr<reader_fixture> reader()
{
    return std::make_unique<reader_fixture>(readerCapacity);
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_watch_suite)

// Guards against an outdated configuration for up to 4.4 s in a gateway that reads the store
// itself, after a moment of silence in which its watch was lost. All gateways may have sent it at
// once.
BOOST_AUTO_TEST_CASE(watchLostInASilenceHidesNoConfiguration)
{
    checkSilences(singleGateway);
}

// Guards against the same in a reader of a large failure domain, whose other checks may all miss
// the silence.
BOOST_AUTO_TEST_CASE(watchOfAReaderLostInASilenceHidesNoConfiguration)
{
    checkSilences(reader);
}

// Guards against a check of the store for anything but a watch that may be lost unnoticed: gateways
// pay for it all day.
BOOST_AUTO_TEST_CASE(eachWatchOfTheConfigurationIsCheckedOnce)
{
    const std::unique_ptr<routing_fixture> fixture = singleGateway();
    silent_store<routing_fixture> store(*fixture, seconds(100), duration {0});
    store.advance(seconds(60));
    // A watch waits for at least 3.6 s.
    BOOST_TEST(fixture->revisionReads.size() <= 17U);
    BOOST_TEST(fixture->gateway->counters().value("store_watches_given_up_total") == 0);
    for (const read_items &check : fixture->revisionReads)
        BOOST_TEST(check.allowStale);
}

// Guards against lists of the scope, which cost a call each, when a check is lost whose watch has
// been answered meanwhile.
BOOST_AUTO_TEST_CASE(lostCheckOfAnAnsweredWatchChangesNothing)
{
    const std::unique_ptr<routing_fixture> fixture = singleGateway();
    fixture->advance(milliseconds(150));
    BOOST_REQUIRE(!fixture->revisionReads.empty());
    fixture->answerRead(item_scope::configuration,
                        pageOf({withRevision(configItem(shopRoutes(2)), 11)}, 11));
    const read_id next = fixture->inFlightRead(item_scope::configuration)->read;
    fixture->endRead(fixture->revisionReads.front().read,
                     fail(error_code::timed_out, "read", "", "no answer"));
    BOOST_TEST((fixture->inFlightRead(item_scope::configuration)->read == next));
    BOOST_TEST(fixture->gateway->counters().value("store_watches_given_up_total") == 0);
}

// Guards against waiting for a lost check to be followed by another one: the scope is listed at
// once.
BOOST_AUTO_TEST_CASE(lostCheckIsFollowedByAList)
{
    const std::unique_ptr<routing_fixture> fixture = singleGateway();
    fixture->advance(milliseconds(150));
    BOOST_REQUIRE(!fixture->revisionReads.empty());
    fixture->endRead(fixture->revisionReads.front().read,
                     fail(error_code::timed_out, "read", "", "no answer"));
    const read_items *list = fixture->inFlightRead(item_scope::configuration);
    BOOST_REQUIRE(list != nullptr);
    BOOST_TEST(list->afterRevision == 0U);
    BOOST_TEST(list->needsNewConnection);
    BOOST_TEST(fixture->inFlightRead(item_scope::workers)->afterRevision > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
