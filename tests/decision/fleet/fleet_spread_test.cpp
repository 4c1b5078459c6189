#include <boost/test/unit_test.hpp>

#include "tests/decision/fleet/fleet_driver.h"

namespace almondnotch {

namespace {

/// Milliseconds until this share of the running processes has the version, at most `limit`.
std::int64_t timeToReach(fleet_driver &driver, std::uint64_t version, double share, duration limit)
{
    const instant begin = driver.now;
    while (driver.shareAt(version) < share && driver.now - begin < limit)
        driver.run(milliseconds(10));
    return toMilliseconds(driver.now - begin);
}

} // namespace

// Guards against a change that does not reach the whole fleet in time while processes restart.
BOOST_AUTO_TEST_CASE(change_spreads_while_a_tenth_restarts)
{
    for (const unsigned size : {16U, 64U, 200U}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            fleet_driver driver(
                {.processes = size, .seed = seed, .loss = 0.02, .duplication = 0.02});
            driver.startAll();
            driver.run(seconds(10));
            BOOST_TEST(driver.shareAt(1) == 1.0);
            for (unsigned i = 0; i < size / 10 + 1; ++i) {
                const unsigned index = static_cast<unsigned>(driver.random.below(size));
                driver.crash(index);
                driver.after(milliseconds(driver.random.below(3000)),
                             [&driver, index] { driver.start(index); });
            }
            driver.publish(2);
            const std::int64_t most = timeToReach(driver, 2, 0.99, seconds(20));
            driver.run(seconds(3) - milliseconds(std::min<std::int64_t>(most, 3000)));
            const std::int64_t all = std::max(most, 3000 + timeToReach(driver, 2, 1, seconds(20)));
            BOOST_TEST_MESSAGE("processes=" << size << " seed=" << seed << " share99_ms=" << most
                                            << " all_ms<=" << all);
            BOOST_TEST(most <= 2000);
            BOOST_TEST(all <= 12000);
            BOOST_TEST(driver.platformCallsMax <= 2000U);
        }
    }
}

// Guards against control traffic that grows with the fleet.
BOOST_AUTO_TEST_CASE(bytes_per_process_do_not_grow_with_the_fleet)
{
    std::map<unsigned, double> rates;
    for (const unsigned size : {16U, 64U, 200U}) {
        fleet_driver driver({.processes = size, .seed = 5});
        driver.startAll();
        driver.run(seconds(30));
        const std::uint64_t before = driver.bytesSent;
        const std::uint64_t messagesBefore = driver.messagesSent;
        driver.run(seconds(30));
        rates[size] = static_cast<double>(driver.bytesSent - before) / 30 / size;
        BOOST_TEST_MESSAGE(
            "processes=" << size << " bytes_per_second=" << rates[size] << " messages_per_second="
                         << static_cast<double>(driver.messagesSent - messagesBefore) / 30 / size);
    }
    BOOST_TEST(rates[200] <= 1.3 * rates[16]);
}

} // namespace almondnotch
