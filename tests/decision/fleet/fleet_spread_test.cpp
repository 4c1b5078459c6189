#include <boost/test/unit_test.hpp>

#include "tests/decision/fleet/fleet_driver.h"

namespace almondnotch {

namespace {

/// Number of running processes that watch the platform.
unsigned watcherCount(const fleet_driver &driver)
{
    unsigned count = 0;
    for (unsigned i = 0; i < driver.processes.size(); ++i)
        count += driver.isUp(i) && driver.dump(i)["reader"]["watching"] == true ? 1 : 0;
    return count;
}

/// Runs the simulation until `condition` holds, for at most `limit`. \return the elapsed
/// milliseconds.
std::int64_t timeUntil(fleet_driver &driver, const std::function<bool()> &condition, duration limit)
{
    const instant begin = driver.now;
    while (!condition() && driver.now - begin < limit)
        driver.run(milliseconds(20));
    return toMilliseconds(driver.now - begin);
}

} // namespace

// Guards against a configuration change that does not reach the whole fleet in time while processes
// crash and restart, and against too many reads of the platform.
BOOST_AUTO_TEST_CASE(change_spreads_while_a_tenth_of_the_processes_restarts)
{
    for (const unsigned size : {16U, 64U, 200U}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            fleet_driver driver(
                {.processes = size, .seed = seed, .loss = 0.02, .duplication = 0.02});
            driver.startAll(seconds(10));
            BOOST_TEST(driver.fractionAtVersion(1) == 1.0);
            for (unsigned i = 0; i < size / 10 + 1; ++i) {
                const unsigned index = static_cast<unsigned>(driver.random.below(size));
                driver.crash(index);
                driver.after(milliseconds(driver.random.below(3000)),
                             [&driver, index] { driver.start(index); });
            }
            driver.publish(2);
            const std::int64_t timeTo99PercentMs = timeUntil(
                driver, [&driver] { return driver.fractionAtVersion(2) >= 0.99; }, seconds(20));
            driver.run(seconds(3) - milliseconds(std::min<std::int64_t>(timeTo99PercentMs, 3000)));
            const std::int64_t timeToAllMs
                = std::max(timeTo99PercentMs,
                           3000
                               + timeUntil(
                                   driver, [&driver] { return driver.fractionAtVersion(2) == 1; },
                                   seconds(20)));
            BOOST_TEST_MESSAGE("processes=" << size << " seed=" << seed << " share99_ms="
                                            << timeTo99PercentMs << " all_ms<=" << timeToAllMs);
            BOOST_TEST(timeTo99PercentMs <= 2000);
            BOOST_TEST(timeToAllMs <= 12000);
            BOOST_TEST(driver.peakPlatformReadsPerSecond <= 2000U);
        }
    }
}

// Guards against gossip traffic per process that grows with the size of the fleet.
BOOST_AUTO_TEST_CASE(bytes_per_process_do_not_grow_with_the_fleet)
{
    std::map<unsigned, double> rates;
    for (const unsigned size : {16U, 64U, 200U}) {
        fleet_driver driver({.processes = size, .seed = 5});
        driver.startAll(seconds(30));
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

// Guards against suspecting live processes because messages are lost, and against directing callers
// to a gateway that has announced its shutdown.
BOOST_AUTO_TEST_CASE(announced_leave_reaches_all_within_3_s)
{
    fleet_driver driver({.processes = 200, .seed = 7, .loss = 0.05});
    driver.startAll(seconds(30));
    std::uint64_t suspicions = 0;
    for (const fleet_process &process : driver.processes)
        suspicions += process.counters->value("member_declared_total{state=\"suspect\"}");
    BOOST_TEST(suspicions == 0U);
    driver.leave(17);
    const std::int64_t elapsedMs = timeUntil(
        driver,
        [&driver] {
            for (unsigned i = 0; i < 200; ++i)
                for (const member_update &peer : driver.processes[i].instance->livePeers())
                    if (peer.process.vm == vmName(17))
                        return false;
            return true;
        },
        seconds(20));
    BOOST_TEST_MESSAGE("leave_known_by_200_ms=" << elapsedMs);
    BOOST_TEST(elapsedMs <= 3000);
}

// Guards against a change that no gateway reads from the platform because all readers have crashed,
// and against backup readers that do not stop after an outage of the platform.
BOOST_AUTO_TEST_CASE(readers_are_replaced_and_backup_readers_stop)
{
    fleet_driver driver({.processes = 64, .seed = 3});
    driver.startAll(seconds(20));
    BOOST_TEST(watcherCount(driver) == 2 * sampleFailureDomainCount);
    for (unsigned i = 0; i < 64; ++i)
        if (driver.dump(i)["reader"]["watching"] == true)
            driver.crash(i);
    driver.publish(2);
    const std::int64_t elapsedMs = timeUntil(
        driver, [&driver] { return driver.fractionAtVersion(2) == 1; }, seconds(30));
    BOOST_TEST_MESSAGE("change_after_loss_of_all_readers_ms=" << elapsedMs);
    BOOST_TEST(elapsedMs <= 12000);
    driver.platform.isUp = false;
    driver.run(seconds(30));
    BOOST_TEST(watcherCount(driver) > 2 * sampleFailureDomainCount);
    driver.platform.isUp = true;
    driver.publish(3);
    driver.run(seconds(20));
    BOOST_TEST(driver.fractionAtVersion(3) == 1);
    BOOST_TEST(watcherCount(driver) == 2 * sampleFailureDomainCount);
    BOOST_TEST(driver.peakPlatformReadsPerSecond <= 2000U);
}

// Guards against processes that still consider each other gone after a partition between them has
// ended.
BOOST_AUTO_TEST_CASE(partition_heals_within_12_s)
{
    fleet_driver driver({.processes = 64, .seed = 9, .loss = 0.02});
    driver.startAll(seconds(20));
    for (unsigned i = 0; i < 64; ++i)
        driver.processes[i].partitionId = i % sampleFailureDomainCount < 2 ? 0 : 1;
    driver.run(seconds(40));
    for (unsigned i = 0; i < 64; ++i)
        BOOST_TEST(driver.processes[i].instance->livePeers().size() == 31U);
    for (fleet_process &process : driver.processes)
        process.partitionId = 0;
    const std::int64_t elapsedMs = timeUntil(
        driver,
        [&driver] {
            return std::all_of(driver.processes.begin(), driver.processes.end(),
                               [](const fleet_process &process) {
                                   return process.instance->livePeers().size() == 63;
                               });
        },
        seconds(30));
    BOOST_TEST_MESSAGE("membership_of_64_after_partition_ms=" << elapsedMs);
    BOOST_TEST(elapsedMs <= 12000);
}

} // namespace almondnotch
