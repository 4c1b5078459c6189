#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

#include "tests/decision/gateway/fleet_simulation.h"

namespace almondnotch {

namespace {

/// Number in an environment variable, or `fallback` if the variable is not set.
std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

duration randomLength(random_source &random, std::int64_t fromMs, std::int64_t toMs)
{
    return milliseconds(
        fromMs
        + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(toMs - fromMs))));
}

/// Injects one random fault into the gateways, the network, the platform or the workers, ends a
/// fault, or publishes a configuration.
void injectFault(fleet_simulation &simulation, unsigned gateways, unsigned workers,
                 std::uint64_t &version)
{
    random_source &random = simulation.random();
    const unsigned gateway = static_cast<unsigned>(random.below(gateways));
    switch (random.below(9)) {
    case 0:
    case 1:
        simulation.pause(gateway, randomLength(random, 100, 5000));
        break;
    case 2:
        simulation.kill(gateway, randomLength(random, 200, 3000));
        break;
    case 3:
        simulation.drain(gateway);
        break;
    case 4:
        simulation.partition({gateway, static_cast<unsigned>(random.below(gateways))});
        break;
    case 5:
        simulation.endPartition();
        break;
    case 6:
        simulation.setPlatformDown(random.uniform() < 0.5);
        break;
    case 7:
        simulation.crashWorker(static_cast<unsigned>(random.below(workers)),
                               randomLength(random, 200, 2000));
        break;
    default:
        simulation.publish(++version);
        break;
    }
}

/// Totals over all seeds. `succeeded`, `notRun` and `unknown` count bookings.
struct totals
{
    std::uint64_t submittedCalls = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t invariantCheckCount = 0;
};

/// Runs one simulation with random faults, checks that there were no violations, and adds its
/// counts to `sum`.
void runSeed(std::uint64_t seed, totals &sum)
{
    constexpr unsigned gateways = 5;
    constexpr unsigned workers = 6;
    fleet_simulation simulation({gateways, workers, seed, 0.002, 0.02, seed % 2 == 0});
    std::uint64_t version = 1;
    simulation.run(seconds(3));
    for (int step = 0; step < 3000; ++step) {
        simulation.run(milliseconds(10));
        simulation.submitBooking();
        if (step % 4 == 0)
            simulation.submitRead();
        if (simulation.random().uniform() < 0.01)
            injectFault(simulation, gateways, workers, version);
    }
    simulation.endPartition();
    simulation.run(seconds(40));

    BOOST_TEST(simulation.duplicateExecutions() == 0U,
               "seed " << seed << ": bookings were executed more than once");
    BOOST_TEST(simulation.falseOutcomes() == 0U,
               "seed " << seed << ": bookings were falsely reported as run or not run");
    BOOST_TEST(simulation.misroutedResponses() == 0U,
               "seed " << seed << ": calls got the response of another call");
    sum.submittedCalls += simulation.submittedCalls();
    sum.succeeded += simulation.succeeded();
    sum.notRun += simulation.notRun();
    sum.unknown += simulation.unknown();
    sum.invariantCheckCount += simulation.invariantChecks();
}

/// Drains and replaces all gateways one after the other without other faults, while bookings
/// continue. Fails if the outcome of a booking is unknown.
void replaceGatewaysInTurn(std::uint64_t seed)
{
    constexpr unsigned gateways = 3;
    fleet_simulation simulation({gateways, 6, seed, 0, 0, false});
    simulation.run(seconds(3));
    for (int step = 0; step < 4000; ++step) {
        simulation.run(milliseconds(5));
        simulation.submitBooking();
        if (step % 1200 == 100)
            simulation.drain(static_cast<unsigned>(step / 1200) % gateways);
    }
    simulation.run(seconds(10));
    for (const std::pair<const std::string, unsigned> &entry : simulation.unknownOutcomes())
        BOOST_ERROR("seed " << seed << ": " << entry.second << " unknown outcomes of type "
                            << entry.first);
}

} // namespace

// Guards against bookings with an unknown outcome during a rolling replacement of gateways. The
// outcome is unknown if a call is sent to a process without a configuration, or if a process exits
// while it has forwarded calls in progress.
BOOST_AUTO_TEST_CASE(rolling_replacement_leaves_no_unknown_outcome)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        replaceGatewaysInTurn(seed);
}

// Guards against double execution, false outcomes and misrouted responses under random loss, delay,
// duplication, pauses, kills, drains, partitions, platform outages and worker crashes.
// ALMONDNOTCH_SEED sets the first seed and ALMONDNOTCH_SEEDS the number of seeds, to reproduce one
// run or to test for longer.
BOOST_AUTO_TEST_CASE(operations_run_at_most_once_under_random_faults)
{
    const std::uint64_t first = fromEnvironment("ALMONDNOTCH_SEED", 1);
    const std::uint64_t count = fromEnvironment("ALMONDNOTCH_SEEDS", 28);
    totals sum;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        runSeed(seed, sum);
    std::cout << "seeds=" << count << " operations=" << sum.submittedCalls
              << " succeeded=" << sum.succeeded << " not_run=" << sum.notRun
              << " unknown=" << sum.unknown << " invariant_checks=" << sum.invariantCheckCount
              << std::endl;
    BOOST_TEST(sum.succeeded > 0U);
}

} // namespace almondnotch
