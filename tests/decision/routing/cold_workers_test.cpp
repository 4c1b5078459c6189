#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random_source.h"
#include "decision/routing/workers/worker_pool.h"
#include "tests/decision/routing/routing_fixture.h"

namespace almondnotch {

namespace {

constexpr unsigned gatewayCount = 139;
constexpr unsigned domainCount = 3;
constexpr duration warmUpTime = seconds(3);
constexpr double coldRate = 3.9;
constexpr cold_request_bounds coldBounds {1.5, 8};
constexpr duration tick = milliseconds(10);

std::string domainOf(unsigned index)
{
    return "domain-" + std::to_string(index % domainCount);
}

shared_route_config configWithColdRate(double rate = coldRate)
{
    route_config config = shopRoutes(1);
    config.services["reads"].warmUpTime = warmUpTime;
    config.services["reads"].coldRequestsPerSecond = rate;
    return std::make_shared<const route_config>(std::move(config));
}

published_item evacuationItem(bool removed)
{
    published_item item;
    item.name = "evacuation";
    item.evacuatedDomain = domainOf(0);
    item.removed = removed;
    return item;
}

/// How well the gateways know each other.
enum class knowledge { all, half, ownDomain, none };

/// The workers as each of many gateways sees them, in three failure domains. Each gateway sends to
/// each worker whenever it may.
class pools_of_gateways
{
public:
    explicit pools_of_gateways(knowledge known, const cold_request_bounds &bounds = coldBounds,
                               double rate = coldRate)
    {
        for (unsigned i = 0; i < gatewayCount; ++i) {
            m_pools.push_back(std::make_unique<worker_pool>(m_counters, bounds));
            worker_pool &pool = *m_pools.back();
            pool.setConfig(m_now, configWithColdRate(rate));
            pool.setGatewayGroup(m_now, groupOf(i, known));
            for (unsigned w = 0; w < domainCount; ++w)
                pool.apply(m_now,
                           workerItem(workerEntry("w-" + std::to_string(w), "reads", domainOf(w))));
        }
    }

    void forEach(const std::function<void(worker_pool &, instant)> &change)
    {
        for (const std::unique_ptr<worker_pool> &pool : m_pools)
            change(*pool, m_now);
    }

    /// Lets all gateways send to worker `w-0` for this time.
    void send(duration length)
    {
        for (const instant end = m_now + length; m_now < end; m_now = m_now + tick) {
            for (const std::unique_ptr<worker_pool> &pool : m_pools) {
                for (const worker_index index : pool->usableWorkersOf(m_now, "reads")) {
                    if (pool->at(index).entry.name != "w-0")
                        continue;
                    pool->attemptStarted(m_now, index);
                    m_sentAt.push_back(m_now);
                }
            }
        }
    }

    /// Replaces what all gateways know of each other.
    void learn(knowledge known)
    {
        for (unsigned i = 0; i < gatewayCount; ++i)
            m_pools[i]->setGatewayGroup(m_now, groupOf(i, known));
    }

    void rest(duration length) { m_now = m_now + length; }
    instant now() const { return m_now; }

    /// Largest number of requests in any second that begins at `from` or later.
    double mostInASecond(instant from) const
    {
        std::ptrdiff_t most = 0;
        for (auto first = m_sentAt.begin(); first != m_sentAt.end(); ++first) {
            if (*first >= from)
                most = std::max(most, std::lower_bound(first, m_sentAt.end(), *first + seconds(1))
                                          - first);
        }
        return static_cast<double>(most);
    }

    std::size_t sentSince(instant from) const
    {
        return static_cast<std::size_t>(m_sentAt.end()
                                        - std::lower_bound(m_sentAt.begin(), m_sentAt.end(), from));
    }

private:
    gateway_group groupOf(unsigned self, knowledge known)
    {
        const auto vmOf = [](unsigned i) { return "vm-" + std::to_string(i); };
        gateway_group group {vmOf(self), {}, known == knowledge::none ? 387U : 1U};
        for (unsigned i = 0; i < gatewayCount; ++i) {
            const bool isKnown
                = known == knowledge::all || (known == knowledge::half && m_random.uniform() < 0.5)
                  || (known == knowledge::ownDomain && domainOf(i) == domainOf(self));
            if (i == self || isKnown)
                group.gateways.push_back({vmOf(i), domainOf(i)});
        }
        return group;
    }

    counter_set m_counters;
    random_source m_random {3};
    instant m_now {seconds(100)};
    std::vector<std::unique_ptr<worker_pool>> m_pools;
    std::vector<instant> m_sentAt;
};

constexpr double allowedInASecond = coldRate * coldBounds.overshoot + coldBounds.slack;

/// A pool with one worker, of a service that names a rate for cold workers.
struct single_pool
{
    explicit single_pool(shared_route_config config = configWithColdRate())
        : pool(counters, coldBounds)
    {
        pool.setConfig(now, std::move(config));
        pool.setGatewayGroup(now, {"vm-1", {{"vm-1", "near"}}, 1});
        pool.apply(now, workerItem(workerEntry("w-0", "reads")));
    }

    /// Number of requests that may be sent in a second.
    unsigned sendForASecond()
    {
        unsigned sent = 0;
        for (const instant end = now + seconds(1); now < end; now = now + tick) {
            for (const worker_index index : pool.usableWorkersOf(now, "reads")) {
                pool.attemptStarted(now, index);
                ++sent;
            }
        }
        return sent;
    }

    void entryRead(duration warmUpLeft)
    {
        published_worker entry = workerEntry("w-0", "reads");
        entry.warmUpLeft = warmUpLeft;
        pool.apply(now, workerItem(entry));
    }

    void workerSays(duration warmUpLeft)
    {
        probe_finished probe;
        probe.load = load_report {0, 0, 4};
        probe.signals.warmUpLeft = warmUpLeft;
        pool.probeFinished(now, pool.workersOf("reads").front(), probe);
    }

    counter_set counters;
    instant now {seconds(100)};
    worker_pool pool;
};

constexpr unsigned unlimited = 100;

} // namespace

BOOST_AUTO_TEST_SUITE(cold_workers_suite)

// Guards against many gateways that all send to the workers of a failure domain at the moment at
// which it is taken back, also if they know different sets of each other, or nobody.
BOOST_AUTO_TEST_CASE(workersThatAreTakenBackAreBounded)
{
    for (const knowledge known :
         {knowledge::all, knowledge::half, knowledge::ownDomain, knowledge::none}) {
        pools_of_gateways gateways(known);
        gateways.forEach([](worker_pool &pool, instant now) {
            pool.applyEvacuations(now, {evacuationItem(false)}, false);
        });
        const instant begunAt = gateways.now();
        gateways.send(seconds(2));
        BOOST_TEST(gateways.sentSince(begunAt) == 0U);
        const instant endedAt = gateways.now();
        gateways.forEach([](worker_pool &pool, instant now) {
            pool.applyEvacuations(now, {evacuationItem(true)}, false);
        });
        gateways.send(warmUpTime);
        BOOST_TEST(gateways.mostInASecond(endedAt) <= allowedInASecond);
        // Cold workers get some work.
        if (known != knowledge::none)
            BOOST_TEST(gateways.sentSince(endedAt) >= 3U);
        const instant warmAt = gateways.now();
        gateways.send(tick);
        BOOST_TEST(gateways.sentSince(warmAt) == gatewayCount);
    }
}

// Guards against gateways that each have saved a request while their share is below one a second,
// and against tight bounds.
BOOST_AUTO_TEST_CASE(boundHoldsForSharesBelowOneRequestASecond)
{
    const std::vector<cold_request_bounds> allBounds {{1, 0}, {1.5, 0}, {1.5, 2}, {1.5, 8}};
    for (const cold_request_bounds &bounds : allBounds) {
        for (const double rate : {0.3, 1.0, 2.5, 20.0}) {
            pools_of_gateways gateways(knowledge::all, bounds, rate);
            gateways.forEach([](worker_pool &pool, instant now) {
                pool.applyEvacuations(now, {evacuationItem(false)}, false);
                pool.applyEvacuations(now, {evacuationItem(true)}, false);
            });
            const instant endedAt = gateways.now();
            gateways.rest(milliseconds(1500));
            gateways.send(milliseconds(1400));
            BOOST_TEST(gateways.mostInASecond(endedAt) <= rate * bounds.overshoot + bounds.slack);
        }
    }
}

// Guards against a worker whose entry names a warm-up and that gets more than it bears, and against
// a warm-up that the same entry, read again, prolongs.
BOOST_AUTO_TEST_CASE(entryMakesAWorkerCold)
{
    single_pool fixture;
    BOOST_TEST(fixture.sendForASecond() == unlimited);
    fixture.entryRead(seconds(2));
    BOOST_TEST(fixture.sendForASecond() <= allowedInASecond);
    fixture.entryRead(seconds(2));
    BOOST_TEST(fixture.sendForASecond() <= allowedInASecond);
    BOOST_TEST(fixture.sendForASecond() == unlimited);
}

// Guards against a worker that says in a health response that it is cold, or warm again, without
// being heard.
BOOST_AUTO_TEST_CASE(healthResponseMakesAWorkerColdOrWarm)
{
    single_pool fixture;
    fixture.workerSays(seconds(5));
    const unsigned sent = fixture.sendForASecond();
    BOOST_TEST(sent <= allowedInASecond);
    BOOST_TEST(sent >= 1U);
    fixture.workerSays(duration {0});
    BOOST_TEST(fixture.sendForASecond() == unlimited);
}

// Guards against gateways that stop using a worker when they learn of others, and still send the
// request that they had saved.
BOOST_AUTO_TEST_CASE(formerUsersSendNothing)
{
    single_pool fixture;
    fixture.entryRead(seconds(3));
    fixture.now = fixture.now + seconds(2);
    gateway_group group {"vm-1", {{"vm-1", "near"}}, 1};
    for (unsigned i = 2; i <= 139; ++i)
        group.gateways.push_back({"vm-" + std::to_string(i), "near"});
    fixture.pool.setGatewayGroup(fixture.now, group);
    const bool isUser
        = shareOfColdRequests(coldRate, coldBounds, workerEntry("w-0", "reads"), group)
              .requestsPerSecond
          > 0;
    BOOST_REQUIRE(!isUser);
    BOOST_TEST(fixture.pool.usableWorkersOf(fixture.now, "reads").empty());
}

// Guards against taking an entry for old that was written anew with the same rest of warm-up.
BOOST_AUTO_TEST_CASE(entryWrittenAnewProlongsTheWarmUp)
{
    single_pool fixture;
    published_worker entry = workerEntry("w-0", "reads");
    entry.warmUpLeft = seconds(2);
    fixture.pool.apply(fixture.now, withRevision(workerItem(entry), 5));
    fixture.now = fixture.now + seconds(3);
    fixture.pool.apply(fixture.now, withRevision(workerItem(entry), 5));
    BOOST_TEST(fixture.sendForASecond() == unlimited);
    fixture.pool.apply(fixture.now, withRevision(workerItem(entry), 9));
    BOOST_TEST(fixture.sendForASecond() < unlimited);
}

// Guards against an evacuation that misses a worker whose entry moves to the failure domain.
BOOST_AUTO_TEST_CASE(workerThatMovesIntoAnEvacuatedDomainIsNotUsed)
{
    counter_set counters;
    worker_pool pool(counters, coldBounds);
    const instant now {seconds(100)};
    pool.apply(now, workerItem(workerEntry("w-0", "reads", "near")));
    pool.applyEvacuations(now, {evacuationItem(false)}, false);
    BOOST_TEST(pool.usableWorkersOf(now, "reads").size() == 1U);
    pool.apply(now, workerItem(workerEntry("w-0", "reads", domainOf(0))));
    BOOST_TEST(pool.usableWorkersOf(now, "reads").empty());
}

// Guards against limits for the workers of a service that names no rate, and against a
// configuration read after the workers that limits none.
BOOST_AUTO_TEST_CASE(onlyServicesThatNameARateAreLimited)
{
    single_pool unnamed(configWithColdRate(0));
    unnamed.entryRead(seconds(2));
    unnamed.workerSays(seconds(2));
    BOOST_TEST(unnamed.sendForASecond() == unlimited);

    counter_set counters;
    worker_pool pool(counters, coldBounds);
    const instant now {seconds(100)};
    published_worker cold = workerEntry("w-0", "reads");
    cold.warmUpLeft = seconds(2);
    pool.apply(now, workerItem(cold));
    BOOST_TEST(pool.usableWorkersOf(now, "reads").size() == 1U);
    pool.setGatewayGroup(now, {"vm-1", {{"vm-1", "near"}}, 1});
    pool.setConfig(now, configWithColdRate());
    BOOST_TEST(pool.usableWorkersOf(now, "reads").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
