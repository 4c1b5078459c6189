#include "tests/decision/gateway/fleet_simulation.h"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace almondnotch {

namespace {

/// Timeout of a call, after which its caller transmits a booking again.
constexpr duration callerTimeout = milliseconds(800);
/// Maximum number of transmissions of one booking.
constexpr unsigned transmissionsMax = 4;
/// Time after the beginning of a worker's drain during which attempts may still be sent to it.
constexpr duration workerDrainGracePeriod = seconds(3);

unsigned portOf(const std::string &address)
{
    return static_cast<unsigned>(std::stoul(address.substr(address.find(':') + 1)));
}

} // namespace

fleet_simulation::fleet_simulation(simulation_settings settings)
    : m_settings(settings), m_random(settings.seed), m_network(m_queue, m_random, microseconds(500))
{
    m_network.setJitter(milliseconds(1));
    m_network.setLoss(settings.loss);
    m_platform.publish(1, shopConfig(settings.workers, settings.gateways));
    worker_profile profile;
    profile.serviceMean = milliseconds(5);
    if (settings.lowCapacityWorkers) {
        profile.slots = 1;
        profile.queueMax = 1;
        profile.serviceMean = milliseconds(30);
    }
    for (unsigned i = 0; i < settings.workers; ++i) {
        worker_node worker;
        worker.fakeWorker = std::make_unique<fake_worker>(m_queue, m_random.next(), profile);
        m_workers.push_back(std::move(worker));
    }
    m_gateways.resize(settings.gateways);
    for (unsigned i = 0; i < settings.gateways; ++i)
        startGateway(i);
}

fleet_simulation::~fleet_simulation() = default;

void fleet_simulation::startGateway(unsigned index)
{
    gateway_node &started = m_gateways[index];
    if (started.core)
        m_earlierInvariantChecks += started.core->invariants().checks();
    gateway_settings settings = shopSettings(index, m_nextStartNumber++, m_random.next());
    for (unsigned peer = 0; peer < m_settings.gateways; ++peer) {
        if (peer != index)
            settings.fleetSettings.seedPeers.push_back("127.0.0.1:" + std::to_string(3000 + peer));
    }
    started.process = settings.fleetSettings.self;
    started.core = std::move(*gateway::create(std::move(settings)));
    started.core->invariants().setFailureHandler(
        [](std::string_view name, const std::string &detail) {
            throw std::runtime_error(std::string(name) + ": " + detail);
        });
    // The clocks of different processes are unrelated.
    started.origin = m_queue.now() - seconds(static_cast<std::int64_t>(m_random.below(1000)));
    started.isUp = true;
    started.isPaused = false;
    started.pendingEvents.clear();
    ++started.generation;
    action_list actions;
    started.core->start(instant(m_queue.now() - started.origin), actions);
    applyActions(index, actions);
    armTimer(index);
}

void fleet_simulation::deliver(unsigned index, std::uint64_t generation, const event &input)
{
    gateway_node &target = m_gateways[index];
    if (!target.isUp || target.generation != generation)
        return;
    if (target.isPaused) {
        target.pendingEvents.push_back(input);
        return;
    }
    action_list actions;
    target.core->handle(instant(m_queue.now() - target.origin), input, actions);
    applyActions(index, actions);
    armTimer(index);
}

void fleet_simulation::armTimer(unsigned index)
{
    gateway_node &target = m_gateways[index];
    const instant wake = target.core->nextWake();
    if (!target.isUp || wake == instant::never())
        return;
    const instant due = std::max(m_queue.now(), target.origin + wake.sinceOrigin());
    m_queue.at(due, [this, index, generation = target.generation, wake] {
        gateway_node &resumed = m_gateways[index];
        // Only the wake-up that was requested last is valid. A paused process handles it when it
        // resumes.
        if (resumed.generation == generation && !resumed.isPaused && resumed.isUp
            && resumed.core->nextWake() == wake)
            deliver(index, generation, timer_expired {});
    });
}

void fleet_simulation::applyActions(unsigned index, action_list &actions)
{
    for (const action &entry : actions)
        std::visit([this, index](const auto &command) { on(index, command); }, entry);
}

void fleet_simulation::sendWithDelay(event_queue::callback arrive)
{
    m_network.send(std::move(arrive));
}

bool fleet_simulation::isPartitioned(unsigned left, unsigned right) const
{
    return m_isolatedGateways.contains(left) != m_isolatedGateways.contains(right);
}

void fleet_simulation::on(unsigned index, const start_attempt &command)
{
    const unsigned worker = portOf(command.workerAddress) - 5000;
    const std::uint64_t generation = m_gateways[index].generation;
    m_attempts[{index, command.attempt}] = {index, generation, worker, 0};
    if (m_queue.now() > m_workers[worker].drainStartedAt + workerDrainGracePeriod)
        ++m_attemptsAfterDrain;
    attempt_finished timeout;
    timeout.attempt = command.attempt;
    timeout.end = attempt_end::timed_out;
    m_queue.after(command.timeLimit,
                  [this, index, generation, timeout] { endAttempt(index, generation, timeout); });
    sendWithDelay([this, index, generation, command, worker] {
        submitToWorker(index, generation, command, worker);
    });
}

void fleet_simulation::submitToWorker(unsigned index, std::uint64_t generation,
                                      const start_attempt &command, unsigned worker)
{
    worker_node &target = m_workers[worker];
    attempt_finished finished;
    finished.attempt = command.attempt;
    if (!target.isUp) {
        finished.end = attempt_end::not_sent;
        sendWithDelay(
            [this, index, generation, finished] { endAttempt(index, generation, finished); });
        return;
    }
    const std::uint64_t before = target.fakeWorker->acceptedCount();
    const std::string echoedText
        = command.request->body.empty() ? command.request->target : command.request->body;
    const std::uint64_t workerCallId
        = target.fakeWorker->submit([this, index, generation, finished, echoedText,
                                     worker](const fake_response &workerResponse) mutable {
              if (!m_workers[worker].isUp)
                  return;
              std::shared_ptr<call_response> response = std::make_shared<call_response>();
              response->status = workerResponse.status;
              response->body = echoedText;
              finished.end = attempt_end::answered;
              finished.response = response;
              finished.load = workerResponse.load;
              finished.rejectedBeforeRun = workerResponse.rejectedBeforeRun;
              sendWithDelay(
                  [this, index, generation, finished] { endAttempt(index, generation, finished); });
          });
    if (target.fakeWorker->acceptedCount() > before && !command.request->body.empty())
        ++m_bookings[std::stoul(command.request->body)]->executions;
    const auto running = m_attempts.find({index, command.attempt});
    if (running != m_attempts.end() && running->second.generation == generation)
        running->second.workerCallId = workerCallId;
}

void fleet_simulation::endAttempt(unsigned index, std::uint64_t generation,
                                  const attempt_finished &finished)
{
    const auto running = m_attempts.find({index, finished.attempt});
    if (running == m_attempts.end() || running->second.generation != generation)
        return;
    m_attempts.erase(running);
    deliver(index, generation, finished);
}

void fleet_simulation::on(unsigned index, const cancel_attempt &command)
{
    const std::uint64_t generation = m_gateways[index].generation;
    attempt_finished finished;
    finished.attempt = command.attempt;
    finished.end = attempt_end::cancelled;
    m_queue.after(duration(1),
                  [this, index, generation, finished] { endAttempt(index, generation, finished); });
}

void fleet_simulation::on(unsigned index, const send_response &command)
{
    const auto read = m_readCalls.find({index, command.call});
    if (read != m_readCalls.end()) {
        if (command.response->outcome == call_outcome::run
            && command.response->body != read->second)
            ++m_misroutedResponses;
        m_readCalls.erase(read);
        return;
    }
    const auto call = m_bookingCalls.find({index, command.call});
    if (call == m_bookingCalls.end())
        return;
    const unsigned bookingIndex = call->second;
    m_bookingCalls.erase(call);
    if (command.response->outcome == call_outcome::unknown)
        ++m_unknownOutcomes[nlohmann::json::parse(command.response->body).value("type", "")];
    sendWithDelay([this, bookingIndex, response = command.response] {
        booking_record &booking = *m_bookings[bookingIndex];
        if (booking.isFinished)
            return;
        if (response->outcome == call_outcome::run && response->status == 200
            && response->body != std::to_string(bookingIndex))
            ++m_misroutedResponses;
        if (response->outcome != call_outcome::unknown)
            finishBooking(booking, response->outcome);
    });
}

void fleet_simulation::on(unsigned index, const start_probe &command)
{
    const unsigned worker = portOf(command.workerAddress) - 5000;
    const std::uint64_t generation = m_gateways[index].generation;
    probe_finished finished;
    finished.probe = command.probe;
    if (m_workers[worker].isUp) {
        finished.load = m_workers[worker].fakeWorker->report();
        finished.bytes = 300;
    }
    m_queue.after(milliseconds(2),
                  [this, index, generation, finished] { deliver(index, generation, finished); });
}

void fleet_simulation::on(unsigned, const send_entry_response &command)
{
    const auto queried = m_queries.find(static_cast<std::uint64_t>(command.query));
    if (queried == m_queries.end())
        return;
    queried->second(command);
    m_queries.erase(queried);
}

unsigned fleet_simulation::indexOfPeer(const std::string &address) const
{
    return portOf(address) - 3000;
}

void fleet_simulation::on(unsigned index, const send_peer_message &command)
{
    const unsigned target = indexOfPeer(command.peerAddress);
    if (target >= m_gateways.size() || isPartitioned(index, target))
        return;
    const std::uint64_t generation = m_gateways[index].generation;
    const process_id from = m_gateways[index].process;
    if (!m_gateways[target].isUp) {
        m_queue.after(milliseconds(1), [this, index, generation, command] {
            deliver(index, generation, peer_send_failed {command.peerAddress, command.messageId});
        });
        return;
    }
    const unsigned copies = m_random.uniform() < m_settings.duplication ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        sendWithDelay([this, target, from, message = command.message] {
            deliver(target, m_gateways[target].generation, peer_message_received {from, message});
        });
    }
}

void fleet_simulation::on(unsigned index, const read_platform_value &command)
{
    const std::uint64_t generation = m_gateways[index].generation;
    watchPlatform(index, generation, command, m_queue.now() + command.wait);
}

void fleet_simulation::watchPlatform(unsigned index, std::uint64_t generation,
                                     const read_platform_value &command, instant until)
{
    if (m_gateways[index].generation != generation)
        return;
    result<platform_value> value = m_platform.read(command);
    if (value && !value->changed && m_queue.now() < until) {
        m_queue.after(milliseconds(100), [this, index, generation, command, until] {
            watchPlatform(index, generation, command, until);
        });
        return;
    }
    m_queue.after(milliseconds(3), [this, index, generation, command, value] {
        deliver(index, generation, platform_value_read_finished {command.read, value});
    });
}

void fleet_simulation::on(unsigned, const write_log &) { }

void fleet_simulation::on(unsigned index, const exit_process &)
{
    replaceGateway(index, milliseconds(500));
}

void fleet_simulation::pause(unsigned gateway, duration length)
{
    gateway_node &target = m_gateways[gateway];
    if (!target.isUp || target.isPaused)
        return;
    target.isPaused = true;
    m_queue.after(length, [this, gateway, generation = target.generation] {
        gateway_node &resumed = m_gateways[gateway];
        if (resumed.generation != generation || !resumed.isUp)
            return;
        resumed.isPaused = false;
        // Events that arrived during the pause are handled either before or after the overdue
        // timer.
        std::vector<event> pendingEvents = std::move(resumed.pendingEvents);
        resumed.pendingEvents.clear();
        if (m_random.uniform() < 0.5)
            deliver(gateway, generation, timer_expired {});
        for (const event &input : pendingEvents)
            deliver(gateway, generation, input);
        armTimer(gateway);
    });
}

void fleet_simulation::replaceGateway(unsigned index, duration downTime)
{
    gateway_node &target = m_gateways[index];
    target.isUp = false;
    const std::uint64_t generation = target.generation;
    m_queue.after(downTime, [this, index, generation] {
        if (m_gateways[index].generation == generation)
            startGateway(index);
    });
}

void fleet_simulation::kill(unsigned gateway, duration downTime)
{
    if (m_gateways[gateway].isUp)
        replaceGateway(gateway, downTime);
}

void fleet_simulation::drain(unsigned gateway)
{
    deliver(gateway, m_gateways[gateway].generation, drain_requested {});
}

void fleet_simulation::partition(const std::set<unsigned> &isolatedGateways)
{
    m_isolatedGateways = isolatedGateways;
}

void fleet_simulation::drainWorker(unsigned worker)
{
    m_workers[worker].fakeWorker->setDraining(true);
    m_workers[worker].drainStartedAt = std::min(m_workers[worker].drainStartedAt, m_queue.now());
}

void fleet_simulation::crashWorker(unsigned worker, duration downTime)
{
    m_workers[worker].isUp = false;
    for (const std::pair<const std::pair<unsigned, attempt_id>, running_attempt> &entry :
         std::map(m_attempts)) {
        if (entry.second.worker != worker)
            continue;
        attempt_finished finished;
        finished.attempt = entry.first.second;
        finished.end = attempt_end::broken;
        endAttempt(entry.first.first, entry.second.generation, finished);
    }
    m_queue.after(downTime, [this, worker] { m_workers[worker].isUp = true; });
}

void fleet_simulation::publish(std::uint64_t version)
{
    m_platform.publish(version, shopConfig(m_settings.workers, m_settings.gateways));
}

void fleet_simulation::submitRead()
{
    ++m_reads;
    const unsigned target = static_cast<unsigned>(m_random.below(m_gateways.size()));
    if (!m_gateways[target].isUp)
        return;
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "GET";
    request->target = "/read/" + std::to_string(m_reads);
    request->timeout = callerTimeout;
    const call_id call = static_cast<call_id>(m_nextCall++);
    m_readCalls[{target, call}] = request->target;
    sendWithDelay([this, target, generation = m_gateways[target].generation, call, request] {
        deliver(target, generation, call_received {call, request});
    });
}

void fleet_simulation::submitBooking()
{
    const unsigned bookingIndex = static_cast<unsigned>(m_bookings.size());
    m_bookings.push_back(std::make_unique<booking_record>());
    m_bookings.back()->id = bookingIndex;
    const unsigned queried = static_cast<unsigned>(m_random.below(m_gateways.size()));
    const std::uint64_t query = m_nextQuery++;
    m_queries[query] = [this, bookingIndex](const send_entry_response &answer) {
        booking_record &booking = *m_bookings[bookingIndex];
        if (answer.keyRange.empty())
            return;
        booking.key = answer.keyRange + "/" + std::to_string(bookingIndex + 1);
        for (const std::string &address : answer.addresses)
            booking.entryGateways.push_back(portOf(address) - 1000);
        transmit(bookingIndex);
    };
    deliver(queried, m_gateways[queried].generation,
            entry_query {static_cast<query_id>(query), "shop"});
}

void fleet_simulation::transmit(unsigned bookingIndex)
{
    booking_record &booking = *m_bookings[bookingIndex];
    if (booking.isFinished)
        return;
    if (booking.transmissions >= transmissionsMax) {
        finishBooking(booking, call_outcome::unknown);
        return;
    }
    // After the gateways in the entry response, transmissions go to random gateways, to cover
    // gateways with different views of the fleet.
    const unsigned target = booking.transmissions < booking.entryGateways.size()
                                ? booking.entryGateways[booking.transmissions]
                                : static_cast<unsigned>(m_random.below(m_gateways.size()));
    ++booking.transmissions;
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "POST";
    request->target = "/book";
    request->body = std::to_string(bookingIndex);
    request->idempotencyKey = booking.key;
    request->timeout = callerTimeout;
    const call_id call = static_cast<call_id>(m_nextCall++);
    m_bookingCalls[{target, call}] = bookingIndex;
    // Some transmissions are delayed by up to 5 s, so that they can arrive after later ones or
    // after the caller has received the outcome.
    const duration delay = m_random.uniform() < 0.05
                               ? duration(static_cast<std::int64_t>(m_random.below(5000000)))
                               : duration {0};
    const std::uint64_t generation = m_gateways[target].generation;
    m_queue.after(delay, [this, target, generation, call, request] {
        sendWithDelay([this, target, generation, call, request] {
            deliver(target, generation, call_received {call, request});
        });
    });
    m_queue.after(callerTimeout, [this, bookingIndex] { transmit(bookingIndex); });
}

void fleet_simulation::finishBooking(booking_record &booking, call_outcome outcome)
{
    booking.isFinished = true;
    booking.outcome = outcome;
    if (outcome == call_outcome::run)
        ++m_succeeded;
    else if (outcome == call_outcome::not_run)
        ++m_notRun;
    else
        ++m_unknown;
}

std::uint64_t fleet_simulation::duplicateExecutions() const
{
    return static_cast<std::uint64_t>(std::count_if(
        m_bookings.begin(), m_bookings.end(),
        [](const std::unique_ptr<booking_record> &booking) { return booking->executions > 1; }));
}

std::uint64_t fleet_simulation::falseOutcomes() const
{
    return static_cast<std::uint64_t>(std::count_if(
        m_bookings.begin(), m_bookings.end(), [](const std::unique_ptr<booking_record> &booking) {
            return booking->isFinished
                   && ((booking->outcome == call_outcome::run && booking->executions == 0)
                       || (booking->outcome == call_outcome::not_run && booking->executions > 0));
        }));
}

std::uint64_t fleet_simulation::invariantChecks() const
{
    std::uint64_t sum = m_earlierInvariantChecks;
    for (const gateway_node &entry : m_gateways)
        sum += entry.core->invariants().checks();
    return sum;
}

} // namespace almondnotch
