#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/fleet/fleet.h"
#include "tests/decision/fleet/event_queue.h"
#include "tests/decision/fleet/fleet_process.h"
#include "tests/decision/fleet/platform_fake.h"
#include "tests/decision/fleet/sample_config.h"

namespace almondnotch {

struct driver_options
{
    unsigned processes = 16;
    std::uint64_t seed = 1;
    /// Fractions of messages that are lost or delivered twice.
    double loss = 0;
    double duplication = 0;
    /// Maximum random delay of a message, in addition to a fixed delay of 1 ms.
    duration delayMax {milliseconds(3)};
    /// Number of other processes that each process has as seed peers.
    unsigned seedPeerCount = 3;
};

/// Simulates a fleet: runs many `fleet` objects in simulated time, with unreliable links and a fake
/// platform.
class fleet_driver : public event_queue
{
public:
    explicit fleet_driver(driver_options initialOptions)
        : options(initialOptions), random(initialOptions.seed)
    {
        processes.resize(options.processes);
        publish(1);
        for (unsigned i = 0; i < options.processes; ++i) {
            fleet_settings &settings = processes[i].settings;
            settings.self.vm = vmName(i);
            settings.failureDomain = failureDomainName(i);
            settings.entryAddress = entryAddressOf(i);
            settings.peerAddress = peerAddressOf(i);
            for (unsigned k = 1; k <= options.seedPeerCount; ++k)
                settings.seedPeers.push_back(peerAddressOf((i + k * 5 + 1) % options.processes));
        }
    }

    /// Starts a process, or replaces the running one by a new process without any state.
    void start(unsigned index)
    {
        processes[index].restart(now, random, lowestReachableVersion(processes[index].partitionId));
        handleInput(index, [](fleet &target, instant at, action_list &actions) {
            target.start(at, actions);
            return fleet_changes {};
        });
    }

    /// Starts all processes and runs the simulation for `settleTime`, so that they converge.
    void startAll(duration settleTime)
    {
        for (unsigned i = 0; i < processes.size(); ++i)
            start(i);
        run(settleTime);
    }

    /// Ends a process without an announcement to its peers.
    void crash(unsigned index)
    {
        ++processes[index].run;
        processes[index].instance.reset();
    }

    /// Begins the graceful shutdown of a process.
    void leave(unsigned index)
    {
        handleInput(index, [this, index](fleet &target, instant at, action_list &actions) {
            processes[index].leavingSince = now;
            target.beginLeaving(at, actions);
            return fleet_changes {};
        });
    }

    /// Delays all inputs of a process until the pause is over, as if the process had been stopped.
    void pause(unsigned index, duration length) { processes[index].pausedUntil = now + length; }

    /// True if the process is running and not paused.
    bool isUp(unsigned index) const
    {
        return processes[index].instance != nullptr && processes[index].pausedUntil <= now;
    }

    /// Publishes a configuration whose content depends on the version.
    void publish(std::uint64_t version)
    {
        platform.publishConfigSet(sampleConfigSet(version, options.processes));
        answerWatches();
    }

    /// Publishes a VM list in which exactly these VMs are leaving.
    void publishLeavingVms(const std::vector<std::string> &leaving)
    {
        platform.setLeavingVms(leaving);
        answerWatches();
    }

    /// Fraction of the running processes whose active configuration has at least this version.
    double fractionAtVersion(std::uint64_t version) const
    {
        unsigned up = 0;
        unsigned reached = 0;
        for (unsigned i = 0; i < processes.size(); ++i) {
            up += isUp(i) ? 1 : 0;
            reached += isUp(i) && processes[i].activeVersion >= version ? 1 : 0;
        }
        return up == 0 ? 0 : static_cast<double>(reached) / up;
    }

    /// State of a process as JSON.
    nlohmann::json dump(unsigned index) const
    {
        return processes[index].instance->dump(now + processes[index].clockOffset);
    }

    /// Entry addresses that a process returns for the service of the sample configuration.
    std::vector<std::string> entryResponse(unsigned index)
    {
        fleet_process &process = processes[index];
        return process.instance->entryAddresses(now + process.clockOffset, "catalogue");
    }

    driver_options options;
    random_source random;
    std::vector<fleet_process> processes;
    platform_fake platform;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesSent = 0;
    /// Largest number of reads of the platform that all processes started within one second.
    std::size_t peakPlatformReadsPerSecond = 0;

private:
    /// A watch that has not ended. `index` and `run` identify the process.
    struct watch
    {
        unsigned index;
        unsigned run;
        read_platform_value read;
    };
    /// Passes an input to a `fleet`. The time is that of the process's clock.
    using handler = std::function<fleet_changes(fleet &, instant, action_list &)>;

    /// Lowest active version among the running processes of a partition; 0 if none has a
    /// configuration.
    std::uint64_t lowestReachableVersion(unsigned partitionId) const
    {
        std::uint64_t lowest = 0;
        for (const fleet_process &peer : processes)
            if (peer.instance != nullptr && peer.partitionId == partitionId
                && peer.activeVersion > 0)
                lowest = lowest == 0 ? peer.activeVersion : std::min(lowest, peer.activeVersion);
        return lowest;
    }

    /// Passes an input to a process, checks its active version and executes the resulting actions.
    /// If the process is paused, the input is delayed until the end of the pause.
    void handleInput(unsigned index, const handler &handle)
    {
        fleet_process &process = processes[index];
        if (process.instance == nullptr)
            return;
        if (process.pausedUntil > now) {
            deliver(process.pausedUntil - now, index, handle);
            return;
        }
        const instant at = now + process.clockOffset;
        action_list actions;
        if (process.expectedWake != instant::never()
            && at - process.expectedWake > milliseconds(500))
            process.instance->pauseDetected(at, actions);
        const fleet_changes changes = handle(*process.instance, at, actions);
        if (changes.leavingVmList)
            process.leavingVms = *changes.leavingVmList;
        const std::uint64_t version
            = process.instance->config() == nullptr ? 0 : process.instance->config()->version();
        if (version < process.activeVersion)
            BOOST_ERROR("active version decreased from " << process.activeVersion << " to "
                                                         << version);
        if (process.activeVersion == 0 && version != 0 && version < process.minimumFirstVersion)
            BOOST_ERROR("new process activated version "
                        << version << ", but the lowest version of its peers was "
                        << process.minimumFirstVersion);
        process.activeVersion = version;
        for (const action &each : actions)
            executeAction(index, each);
        process.expectedWake = process.instance->nextWake();
        scheduleTimer(index);
    }

    /// Schedules one timer for each wake time, not one for each event.
    void scheduleTimer(unsigned index)
    {
        const fleet_process &process = processes[index];
        const instant wake = process.expectedWake;
        if (wake == instant::never() || wake == process.scheduledWake)
            return;
        processes[index].scheduledWake = wake;
        after(std::max(duration {0}, wake - (now + process.clockOffset)),
              [this, index, wake, run = process.run] {
                  if (processes[index].run != run || processes[index].expectedWake != wake)
                      return;
                  processes[index].scheduledWake = instant::never();
                  handleInput(index, [](fleet &target, instant at, action_list &actions) {
                      return target.timerExpired(at, actions);
                  });
              });
    }

    /// Passes an input to a process after `delay`, unless the process was restarted or crashed
    /// meanwhile.
    void deliver(duration delay, unsigned index, handler handle)
    {
        const unsigned run = processes[index].run;
        after(delay, [this, index, run, work = std::move(handle)] {
            if (processes[index].run == run)
                handleInput(index, work);
        });
    }

    void executeAction(unsigned index, const action &command)
    {
        if (const send_peer_message *message = std::get_if<send_peer_message>(&command))
            sendMessage(index, *message);
        else if (const read_platform_value *read = std::get_if<read_platform_value>(&command))
            startRead(index, *read);
    }

    void sendMessage(unsigned index, const send_peer_message &message)
    {
        ++messagesSent;
        bytesSent += messageBytes(message.message);
        const unsigned target = indexOfPeerAddress(message.peerAddress);
        const process_id from = processes[index].settings.self;
        if (target >= processes.size()
            || processes[target].partitionId != processes[index].partitionId)
            return;
        if (processes[target].instance == nullptr) {
            deliver(milliseconds(1), index,
                    [address = message.peerAddress](fleet &recipient, instant at, action_list &) {
                        recipient.peerSendFailed(at, address);
                        return fleet_changes {};
                    });
            return;
        }
        const std::shared_ptr<const peer_message> content
            = std::make_shared<const peer_message>(message.message);
        const unsigned copies = random.uniform() < options.duplication ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy)
            if (random.uniform() >= options.loss)
                deliver(milliseconds(1) + duration(random.below(options.delayMax.count())), target,
                        [from, content](fleet &recipient, instant at, action_list &actions) {
                            return recipient.peerMessage(at, from, *content, actions);
                        });
    }

    void startRead(unsigned index, const read_platform_value &read)
    {
        m_recentReadTimes.push_back(now);
        while (now - m_recentReadTimes.front() >= seconds(1))
            m_recentReadTimes.pop_front();
        peakPlatformReadsPerSecond = std::max(peakPlatformReadsPerSecond, m_recentReadTimes.size());
        const unsigned run = processes[index].run;
        if (!platform.isUp) {
            finishRead(index, run, read.read,
                       fail(error_code::unavailable, "read", "platform", "down"));
        } else if (read.wait > duration {0} && platform.versionOf(read.key) <= read.afterVersion) {
            m_watches.push_back({index, run, read});
            after(read.wait, [this, index, run, id = read.read] {
                const std::size_t removedCount = std::erase_if(m_watches, [&](const watch &each) {
                    return each.index == index && each.run == run && each.read.read == id;
                });
                if (removedCount > 0)
                    finishRead(index, run, id, platform_value {});
            });
        } else {
            finishRead(index, run, read.read, platform.valueOf(read));
        }
    }

    void finishRead(unsigned index, unsigned run, read_id id, const result<platform_value> &value)
    {
        if (processes[index].run == run)
            deliver(milliseconds(2) + duration(random.below(3000)), index,
                    [id, value](fleet &recipient, instant at, action_list &actions) {
                        return recipient.platformReadFinished(at, {id, value}, actions);
                    });
    }

    /// Ends the watches whose value now has a newer version than their `afterVersion`.
    void answerWatches()
    {
        std::vector<watch> openWatches = std::exchange(m_watches, {});
        for (const watch &each : openWatches)
            if (platform.versionOf(each.read.key) > each.read.afterVersion && platform.isUp)
                finishRead(each.index, each.run, each.read.read, platform.valueOf(each.read));
            else
                m_watches.push_back(each);
    }

    std::vector<watch> m_watches;
    /// Start times of the reads of the platform within the last second.
    std::deque<instant> m_recentReadTimes;
};

} // namespace almondnotch
