#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "decision/gateway.h"
#include "tests/decision/driver/event_queue.h"
#include "tests/decision/driver/fake_link.h"
#include "tests/decision/driver/fake_worker.h"
#include "tests/decision/gateway/gateway_fixture.h"

namespace almondnotch {

struct simulation_settings
{
    unsigned gateways = 5;
    unsigned workers = 6;
    std::uint64_t seed = 1;
    /// Fraction of lost messages between gateways, from and to workers, and from and to callers.
    /// Probes, reads of the platform, entry queries, responses to read calls and notices of failed
    /// sends are never lost.
    double loss = 0.002;
    /// Fraction of peer messages that are delivered twice.
    double duplication = 0.02;
    /// Gives the workers little capacity, so that many calls are rejected.
    bool lowCapacityWorkers = false;
};

/// Simulates several gateways, workers, callers and a platform in simulated time. Callers submit
/// bookings, which must be executed at most once, and reads. Counts how often workers executed each
/// booking and compares this with the outcome that its caller received.
class fleet_simulation
{
public:
    explicit fleet_simulation(simulation_settings settings);
    fleet_simulation(const fleet_simulation &) = delete;
    fleet_simulation &operator=(const fleet_simulation &) = delete;
    ~fleet_simulation();

    void run(duration length) { m_queue.runUntil(m_queue.now() + length); }
    instant now() const { return m_queue.now(); }
    random_source &random() { return m_random; }

    /// Faults and changes that a test injects. A killed gateway is replaced by a new process after
    /// `downTime`, a drained one 500 ms after its exit.
    void pause(unsigned gateway, duration length);
    void kill(unsigned gateway, duration downTime);
    void drain(unsigned gateway);
    /// Separates these gateways from the others until `endPartition`. Callers, workers and the
    /// platform remain reachable for all gateways.
    void partition(const std::set<unsigned> &isolatedGateways);
    void endPartition() { m_isolatedGateways.clear(); }
    void setPlatformDown(bool isDown) { m_platform.isDown = isDown; }
    void drainWorker(unsigned worker);
    void crashWorker(unsigned worker, duration downTime);
    /// Publishes the same configuration under a new version.
    void publish(std::uint64_t version);

    /// Requests a key range and entry addresses from a random gateway, and submits one booking with
    /// an idempotency key to these addresses. The booking is not transmitted if no key range is
    /// received.
    void submitBooking();
    /// Submits one read to a random gateway.
    void submitRead();

    /// Number of bookings and reads submitted so far.
    std::uint64_t submittedCalls() const { return m_bookings.size() + m_reads; }
    /// Number of bookings whose callers received the outcome `run`.
    std::uint64_t succeeded() const { return m_succeeded; }
    /// Number of bookings whose callers received the outcome `not_run`.
    std::uint64_t notRun() const { return m_notRun; }
    /// Number of bookings whose callers received neither `run` nor `not_run` after the maximum
    /// number of transmissions.
    std::uint64_t unknown() const { return m_unknown; }
    /// Violation: number of bookings that were executed more than once.
    std::uint64_t duplicateExecutions() const;
    /// Violation: number of bookings that were falsely reported as run or not run.
    std::uint64_t falseOutcomes() const;
    /// Violation: number of responses that belong to another call.
    std::uint64_t misroutedResponses() const { return m_misroutedResponses; }
    /// Violation: number of attempts that were sent to a worker more than 3 s after its drain
    /// began.
    std::uint64_t attemptsAfterDrain() const { return m_attemptsAfterDrain; }
    /// Number of responses to bookings with the outcome `unknown`, by type of problem.
    const std::map<std::string, unsigned> &unknownOutcomes() const { return m_unknownOutcomes; }
    /// Number of checks of invariants in all gateway processes, including those that have ended.
    std::uint64_t invariantChecks() const;

    gateway &core(unsigned gateway) { return *m_gateways[gateway].core; }

private:
    /// A gateway: its current process, or its last one while it is down.
    struct gateway_node
    {
        std::unique_ptr<gateway> core;
        process_id process;
        /// Simulated time at which the process's clock read zero.
        instant origin;
        bool isUp = false;
        bool isPaused = false;
        /// Events that arrived while the process was paused.
        std::vector<event> pendingEvents;
        /// Incremented by each start, so that events for an earlier process are dropped.
        std::uint64_t generation = 0;
    };
    struct worker_node
    {
        std::unique_ptr<fake_worker> fakeWorker;
        bool isUp = true;
        instant drainStartedAt = instant::never();
    };
    /// A booking as its caller sees it, and the number of its executions.
    struct booking_record
    {
        /// Index in `m_bookings`.
        unsigned id = 0;
        /// Idempotency key.
        std::string key;
        /// Indexes of the gateways in the entry response, the preferred one first.
        std::vector<unsigned> entryGateways;
        unsigned transmissions = 0;
        bool isFinished = false;
        call_outcome outcome = call_outcome::unknown;
        std::uint32_t executions = 0;
    };
    /// An attempt that has not ended, and the gateway process that started it.
    struct running_attempt
    {
        unsigned gatewayIndex = 0;
        std::uint64_t generation = 0;
        unsigned worker = 0;
        /// Identifier of the call for `fake_worker::cancel`; 0 until the attempt has arrived.
        std::uint64_t workerCallId = 0;
    };

    void startGateway(unsigned index);
    /// Ends the process of a gateway and starts a new one after `downTime`.
    void replaceGateway(unsigned index, duration downTime);
    /// Passes an event to a gateway, unless the process that it is meant for has ended.
    void deliver(unsigned index, std::uint64_t generation, const event &input);
    /// Schedules the wake-up that the gateway requested last.
    void armTimer(unsigned index);
    void applyActions(unsigned index, action_list &actions);
    void on(unsigned index, const start_attempt &command);
    void on(unsigned index, const cancel_attempt &command);
    void on(unsigned index, const send_response &command);
    void on(unsigned index, const start_probe &command);
    void on(unsigned index, const send_entry_response &command);
    void on(unsigned index, const send_peer_message &command);
    void on(unsigned index, const read_platform_value &command);
    /// The gateways of this simulation read no published items.
    void on(unsigned /*index*/, const read_items & /*command*/) { }
    void on(unsigned /*index*/, const withdraw_attempt & /*command*/) { }
    void on(unsigned index, const write_log &command);
    void on(unsigned index, const exit_process &command);
    /// Submits an attempt to its worker, or ends it as `not_sent` if the worker is down.
    void submitToWorker(unsigned index, std::uint64_t generation, const start_attempt &command,
                        unsigned worker);
    /// Reports the end of an attempt to its gateway, unless the end was reported before.
    void endAttempt(unsigned index, std::uint64_t generation, const attempt_finished &finished);
    /// Answers a read of the platform once the value has changed, at the latest at `until`.
    void watchPlatform(unsigned index, std::uint64_t generation, const read_platform_value &command,
                       instant until);
    /// Transmits a booking to its next gateway, and again after `callerTimeout` until it is
    /// finished.
    void transmit(unsigned bookingIndex);
    void finishBooking(booking_record &booking, call_outcome outcome);
    /// True if a partition separates the two gateways.
    bool isPartitioned(unsigned left, unsigned right) const;
    /// Runs `arrive` after a random network delay, unless the message is lost.
    void sendWithDelay(event_queue::callback arrive);
    unsigned indexOfPeer(const std::string &address) const;

    simulation_settings m_settings;
    random_source m_random;
    event_queue m_queue;
    fake_link m_network;
    platform_values m_platform;
    std::vector<gateway_node> m_gateways;
    std::vector<worker_node> m_workers;
    std::vector<std::unique_ptr<booking_record>> m_bookings;
    /// Index of the booking of each transmission, by gateway and call.
    std::map<std::pair<unsigned, call_id>, unsigned> m_bookingCalls;
    /// Expected body of the response to each read, by gateway and call.
    std::map<std::pair<unsigned, call_id>, std::string> m_readCalls;
    /// Attempts that have not ended, by gateway and attempt.
    std::map<std::pair<unsigned, attempt_id>, running_attempt> m_attempts;
    /// Handlers of the entry responses, by query.
    std::map<std::uint64_t, std::function<void(const send_entry_response &)>> m_queries;
    /// Gateways on one side of the partition; empty without a partition.
    std::set<unsigned> m_isolatedGateways;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_nextQuery = 1;
    std::uint64_t m_nextStartNumber = 1;
    std::uint64_t m_reads = 0;
    std::uint64_t m_succeeded = 0;
    std::uint64_t m_notRun = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_misroutedResponses = 0;
    std::uint64_t m_attemptsAfterDrain = 0;
    /// Checks of invariants in the processes that were replaced.
    std::uint64_t m_earlierInvariantChecks = 0;
    std::map<std::string, unsigned> m_unknownOutcomes;
};

} // namespace almondnotch
