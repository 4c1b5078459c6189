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
    /// Fraction of messages that are lost between any two processes.
    double loss = 0.002;
    /// Fraction of peer messages that are delivered twice.
    double duplication = 0.02;
    /// Gives the workers little capacity, so that many calls are rejected.
    bool lowCapacityWorkers = false;
};

/// Simulates several gateways, workers, callers and a platform in simulated time. Counts the
/// operations that workers executed and compares them with the outcomes that callers received.
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

    /// Injected faults. A killed gateway is replaced by a new process after `downTime`, a drained
    /// one after its exit.
    void pause(unsigned gateway, duration length);
    void kill(unsigned gateway, duration downTime);
    void drain(unsigned gateway);
    void partition(const std::set<unsigned> &isolatedGateways);
    void endPartition() { m_isolatedGateways.clear(); }
    void setPlatformDown(bool isDown) { m_platform.isDown = isDown; }
    void drainWorker(unsigned worker);
    void crashWorker(unsigned worker, duration downTime);
    void publish(std::uint64_t version);

    /// Submits one booking (with an idempotency key) or one read to a random gateway now.
    void submitBooking();
    void submitRead();

    /// Totals that the tests check.
    std::uint64_t submittedCalls() const { return m_bookings.size() + m_reads; }
    std::uint64_t succeeded() const { return m_succeeded; }
    std::uint64_t notRun() const { return m_notRun; }
    std::uint64_t unknown() const { return m_unknown; }
    /// Violations: bookings executed more than once; bookings falsely reported as run or not run;
    /// responses that belong to another call; attempts sent to a worker more than 3 s after its
    /// drain began.
    std::uint64_t duplicateExecutions() const;
    std::uint64_t falseOutcomes() const;
    std::uint64_t misroutedResponses() const { return m_misroutedResponses; }
    std::uint64_t attemptsAfterDrain() const { return m_attemptsAfterDrain; }
    /// Number of responses to bookings with the outcome `unknown`, by type of problem.
    const std::map<std::string, unsigned> &unknownOutcomes() const { return m_unknownOutcomes; }
    std::uint64_t invariantChecks() const;

    gateway &core(unsigned gateway) { return *m_gateways[gateway].core; }

private:
    struct gateway_node
    {
        std::unique_ptr<gateway> core;
        process_id process;
        /// Simulated time at which the process's clock read zero.
        instant origin;
        bool isUp = false;
        bool isPaused = false;
        std::vector<event> pendingEvents;
        std::uint64_t generation = 0;
    };
    struct worker_node
    {
        std::unique_ptr<fake_worker> fakeWorker;
        bool isUp = true;
        instant drainStartedAt = instant::never();
    };
    struct booking_record
    {
        unsigned id = 0;
        std::string key;
        std::vector<unsigned> entryGateways;
        unsigned transmissions = 0;
        bool isFinished = false;
        call_outcome outcome = call_outcome::unknown;
        std::uint32_t executions = 0;
    };
    struct running_attempt
    {
        unsigned gatewayIndex = 0;
        std::uint64_t generation = 0;
        unsigned worker = 0;
        std::uint64_t workerCallId = 0;
    };

    void startGateway(unsigned index);
    void replaceGateway(unsigned index, duration downTime);
    void deliver(unsigned index, std::uint64_t generation, const event &input);
    void armTimer(unsigned index);
    void applyActions(unsigned index, action_list &actions);
    void on(unsigned index, const start_attempt &command);
    void on(unsigned index, const cancel_attempt &command);
    void on(unsigned index, const send_response &command);
    void on(unsigned index, const start_probe &command);
    void on(unsigned index, const send_entry_response &command);
    void on(unsigned index, const send_peer_message &command);
    void on(unsigned index, const read_platform &command);
    /// The gateways of this simulation read no published items.
    void on(unsigned /*index*/, const read_items & /*command*/) { }
    void on(unsigned index, const write_log &command);
    void on(unsigned index, const exit_process &command);
    void submitToWorker(unsigned index, std::uint64_t generation, const start_attempt &command,
                        unsigned worker);
    void endAttempt(unsigned index, std::uint64_t generation, const attempt_finished &finished);
    void watchPlatform(unsigned index, std::uint64_t generation, const read_platform &command,
                       instant until);
    void transmit(unsigned bookingIndex);
    void finishBooking(booking_record &booking, call_outcome outcome);
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
    std::map<std::pair<unsigned, call_id>, unsigned> m_bookingCalls;
    std::map<std::pair<unsigned, call_id>, std::string> m_readCalls;
    std::map<std::pair<unsigned, attempt_id>, running_attempt> m_attempts;
    std::map<std::uint64_t, std::function<void(const send_entry_response &)>> m_queries;
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
    std::uint64_t m_earlierInvariantChecks = 0;
    std::map<std::string, unsigned> m_unknownOutcomes;
};

} // namespace almondnotch
