#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/fleet/fleet.h"

namespace almondnotch {

/// One simulated process: a `fleet` with its dependencies, and the state that the simulation and
/// the tests need.
struct fleet_process
{
    /// Replaces the process with a new one without any state.
    /// \param lowestPeerVersion see `minimumFirstVersion`.
    void restart(instant now, random_source &seedSource, std::uint64_t lowestPeerVersion)
    {
        instance.reset();
        ++run;
        settings.self.startNumber
            = (static_cast<std::uint64_t>(1'700'000'000'000 + toMilliseconds(now.sinceOrigin()))
               << 20)
              + run;
        random = std::make_unique<random_source>(seedSource.next());
        invariants = std::make_unique<invariant_set>();
        invariants->setFailureHandler([](std::string_view name, const std::string &detail) {
            BOOST_ERROR("invariant " << name << ": " << detail);
        });
        counters = std::make_unique<counter_set>();
        clockOffset = seconds(1) + duration(seedSource.below(1'000'000'000));
        activeVersion = 0;
        minimumFirstVersion = lowestPeerVersion;
        leavingSince = instant::never();
        pausedUntil = instant();
        expectedWake = instant::never();
        scheduledWake = instant::never();
        leavingVms.clear();
        instance = fleet::create(settings, *random, *invariants, *counters);
    }

    fleet_settings settings;
    std::unique_ptr<random_source> random;
    std::unique_ptr<invariant_set> invariants;
    std::unique_ptr<counter_set> counters;
    std::unique_ptr<fleet> instance;
    /// Incremented by each start and crash, so that events for an earlier run are dropped.
    unsigned run = 0;
    /// Clock of the process minus simulated time.
    duration clockOffset {0};
    instant pausedUntil;
    /// Time at which the process wants to be woken, by its own clock.
    instant expectedWake = instant::never();
    /// Time for which a timer is scheduled, by the clock of the process.
    instant scheduledWake = instant::never();
    /// Version of the active configuration; 0 if there is none.
    std::uint64_t activeVersion = 0;
    /// Lowest active version among the reachable peers when the process started. The first version
    /// that the process activates must not be lower.
    std::uint64_t minimumFirstVersion = 0;
    /// Simulated time at which the shutdown of the process began; `never` before.
    instant leavingSince = instant::never();
    /// Processes can exchange messages only with processes of the same partition.
    unsigned partitionId = 0;
    /// Leaving VMs that the process reported last.
    std::vector<listed_vm> leavingVms;
};

} // namespace almondnotch
