#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "tests/decision/fleet/fleet_driver.h"

namespace almondnotch {

namespace {

/// Injects random faults, then removes them all and checks that the processes converge.
class random_fault_run
{
public:
    explicit random_fault_run(std::uint64_t seed)
        : m_driver({.processes = 16,
                    .seed = seed,
                    .loss = 0.05,
                    .duplication = 0.05,
                    .delayMax = milliseconds(50)})
    { }

    void run()
    {
        m_driver.startAll(seconds(5));
        for (unsigned step = 0; step < 80; ++step) {
            injectFault();
            m_driver.run(milliseconds(100 + below(1500)));
            checkEntryResponses();
        }
        heal();
        m_driver.run(seconds(12));
        checkConvergence();
    }

private:
    std::uint64_t below(std::uint64_t bound) { return m_driver.random.below(bound); }

    void injectFault()
    {
        const unsigned index = static_cast<unsigned>(below(m_driver.processes.size()));
        const duration length = milliseconds(200 + below(8000));
        switch (below(9)) {
        case 0:
        case 1:
            m_driver.publish(++m_publishedVersion);
            break;
        case 2:
            m_driver.crash(index);
            m_driver.after(length / 4, [this, index] { m_driver.start(index); });
            break;
        case 3:
            m_driver.pause(index, length);
            break;
        case 4:
            for (fleet_process &process : m_driver.processes)
                process.partitionId = static_cast<unsigned>(below(2));
            m_driver.after(length, [this] { endPartition(); });
            break;
        case 5:
            m_driver.platform.isUp = false;
            m_driver.after(length, [this] { m_driver.platform.isUp = true; });
            break;
        case 6:
            m_driver.platform.rollBack(1 + below(3));
            break;
        case 7:
            m_driver.leave(index);
            m_driver.after(seconds(5), [this, index] { m_driver.start(index); });
            break;
        case 8:
            m_driver.publishLeavingVms(below(2) == 0
                                           ? std::vector<std::string> {}
                                           : std::vector<std::string> {vmName(index), "host"});
            break;
        default:
            break;
        }
    }

    void endPartition()
    {
        for (fleet_process &process : m_driver.processes) {
            if (process.partitionId != 0)
                m_partitionEnd = m_driver.now;
            process.partitionId = 0;
        }
    }

    bool isPartitioned() const
    {
        return std::any_of(m_driver.processes.begin(), m_driver.processes.end(),
                           [](const fleet_process &process) { return process.partitionId != 0; });
    }

    /// Checks that no entry response contains a gateway more than 3 s after it has announced its
    /// shutdown.
    void checkEntryResponses()
    {
        for (unsigned i = 0; i < m_driver.processes.size(); ++i) {
            if (!m_driver.isUp(i) || isPartitioned())
                continue;
            for (const std::string &address : m_driver.entryResponse(i)) {
                for (unsigned other = 0; other < m_driver.processes.size(); ++other) {
                    const fleet_process &otherProcess = m_driver.processes[other];
                    // A partitioned or paused process cannot have received the announcement.
                    const instant knownSince
                        = std::max({otherProcess.leavingSince, m_partitionEnd,
                                    m_driver.processes[i].pausedUntil, otherProcess.pausedUntil});
                    if (address == entryAddressOf(other) && otherProcess.instance != nullptr
                        && otherProcess.leavingSince != instant::never()
                        && m_driver.now - knownSince > seconds(3))
                        BOOST_ERROR(vmName(i)
                                    << " returns the entry address of the leaving gateway "
                                    << vmName(other));
                }
            }
        }
    }

    /// Ends all faults and restarts the processes that have crashed or are leaving.
    void heal()
    {
        endPartition();
        m_driver.platform.isUp = true;
        m_driver.publishLeavingVms({});
        for (unsigned i = 0; i < m_driver.processes.size(); ++i) {
            m_driver.processes[i].pausedUntil = m_driver.now;
            if (m_driver.processes[i].instance == nullptr
                || m_driver.processes[i].leavingSince != instant::never())
                m_driver.start(i);
        }
    }

    /// Checks that all processes have the newest configuration, know each other and know of no
    /// leaving VM, and that the platform was not read too often.
    void checkConvergence()
    {
        std::uint64_t newest = m_driver.platform.configVersion();
        for (const fleet_process &process : m_driver.processes)
            newest = std::max(newest, process.activeVersion);
        for (unsigned i = 0; i < m_driver.processes.size(); ++i) {
            const fleet_process &process = m_driver.processes[i];
            BOOST_TEST(process.activeVersion == newest, vmName(i) << " has version "
                                                                  << process.activeVersion
                                                                  << ", expected " << newest);
            BOOST_TEST(process.instance->livePeers().size() == m_driver.processes.size() - 1,
                       vmName(i) << " has a wrong number of live peers: "
                                 << process.instance->livePeers().size());
            BOOST_TEST(process.leavingVms.empty());
        }
        BOOST_TEST(m_driver.peakPlatformReadsPerSecond <= 2000U);
    }

    fleet_driver m_driver;
    /// Version of the last published configuration.
    std::uint64_t m_publishedVersion = 1;
    /// End of the last partition.
    instant m_partitionEnd;
};

} // namespace

// Guards against active versions that decrease, entry responses that contain a leaving gateway, too
// many reads of the platform, and processes that do not converge after restarts, pauses,
// partitions, and outages and rollbacks of the platform. ALMONDNOTCH_SEED selects a single seed.
BOOST_AUTO_TEST_CASE(fleet_converges_after_random_faults)
{
    const char *seedText = std::getenv("ALMONDNOTCH_SEED");
    const std::uint64_t first = seedText == nullptr ? 1 : std::strtoull(seedText, nullptr, 10);
    const std::uint64_t last = seedText == nullptr ? 20 : first;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_fault_run(seed).run();
        }
    }
}

} // namespace almondnotch
