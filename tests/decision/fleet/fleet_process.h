#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/fleet/fleet.h"

namespace almondnotch {

/// One simulated process: a `fleet` with its dependencies, and the state that the tests check.
struct fleet_process
{
    /// Replaces the running process by a new one without any state.
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
    duration clockOffset {0};
    instant pausedUntil;
    instant expectedWake = instant::never();
    instant scheduledWake = instant::never();
    std::uint64_t activeVersion = 0;
    /// Lowest version among its peers when the process started. The first version that the process
    /// activates must not be lower.
    std::uint64_t minimumFirstVersion = 0;
    instant leavingSince = instant::never();
    unsigned partitionId = 0;
    std::vector<listed_vm> leavingVms;
};

} // namespace almondnotch
