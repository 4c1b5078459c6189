#include "tests/decision/gateway/fleet_simulation.h"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace almondnotch {

namespace {

/// Time after which a caller retransmits a call, and its maximum number of transmissions.
constexpr duration callerTimeout = milliseconds(800);
constexpr unsigned transmissionsMax = 4;
constexpr duration drainGracePeriod = seconds(3);

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
        worker.fake = std::make_unique<fake_worker>(m_queue, m_random.next(), profile);
        m_workers.push_back(std::move(worker));
    }
    m_nodes.resize(settings.gateways);
    for (unsigned i = 0; i < settings.gateways; ++i)
        startNode(i);
}

fleet_simulation::~fleet_simulation() = default;

void fleet_simulation::startNode(unsigned index)
{
    node &started = m_nodes[index];
    if (started.core)
        m_retiredInvariantChecks += started.core->invariants().checks();
    gateway_settings settings = shopSettings(index, m_nextStart++, m_random.next());
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
    started.up = true;
    started.paused = false;
    started.backlog.clear();
    ++started.generation;
    action_list actions;
    started.core->start(instant(m_queue.now() - started.origin), actions);
    applyActions(index, actions);
    armTimer(index);
}

void fleet_simulation::deliver(unsigned index, std::uint64_t generation, const event &input)
{
    node &target = m_nodes[index];
    if (!target.up || target.generation != generation)
        return;
    if (target.paused) {
        target.backlog.push_back(input);
        return;
    }
    action_list actions;
    target.core->handle(instant(m_queue.now() - target.origin), input, actions);
    applyActions(index, actions);
    armTimer(index);
}

void fleet_simulation::armTimer(unsigned index)
{
    node &target = m_nodes[index];
    const instant wake = target.core->nextWake();
    if (!target.up || wake == instant::never())
        return;
    const instant due = std::max(m_queue.now(), target.origin + wake.sinceOrigin());
    m_queue.at(due, [this, index, generation = target.generation, wake] {
        node &resumed = m_nodes[index];
        // Only the latest timer is valid. A paused process handles it when it resumes.
        if (resumed.generation == generation && !resumed.paused && resumed.up
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
    return m_partition.contains(left) != m_partition.contains(right);
}

void fleet_simulation::on(unsigned index, const start_attempt &command)
{
    const unsigned worker = portOf(command.workerAddress) - 5000;
    const std::uint64_t generation = m_nodes[index].generation;
    m_attempts[{index, command.attempt}] = {index, generation, worker, 0};
    if (m_queue.now() > m_workers[worker].drainedAt + drainGracePeriod)
        ++m_attemptsAfterDrain;
    attempt_finished timeout;
    timeout.attempt = command.attempt;
    timeout.end = attempt_end::timed_out;
    m_queue.after(command.timeLimit,
                  [this, index, generation, timeout] { endAttempt(index, generation, timeout); });
    sendWithDelay([this, index, generation, command, worker] {
        execute(index, generation, command, worker);
    });
}

void fleet_simulation::execute(unsigned index, std::uint64_t generation,
                               const start_attempt &command, unsigned worker)
{
    worker_node &target = m_workers[worker];
    attempt_finished finished;
    finished.attempt = command.attempt;
    if (!target.up) {
        finished.end = attempt_end::not_sent;
        sendWithDelay(
            [this, index, generation, finished] { endAttempt(index, generation, finished); });
        return;
    }
    const std::uint64_t before = target.fake->accepted();
    const std::string identity
        = command.request->body.empty() ? command.request->target : command.request->body;
    const std::uint64_t job
        = target.fake->submit([this, index, generation, finished, identity,
                               worker](const fake_response &workerResponse) mutable {
              if (!m_workers[worker].up)
                  return;
              std::shared_ptr<call_response> response = std::make_shared<call_response>();
              response->status = workerResponse.status;
              response->body = identity;
              finished.end = attempt_end::answered;
              finished.response = response;
              finished.load = workerResponse.load;
              finished.rejectedBeforeRun = workerResponse.rejectedBeforeRun;
              sendWithDelay(
                  [this, index, generation, finished] { endAttempt(index, generation, finished); });
          });
    if (target.fake->accepted() > before && !command.request->body.empty())
        ++m_operations[std::stoul(command.request->body)]->executions;
    const auto running = m_attempts.find({index, command.attempt});
    if (running != m_attempts.end() && running->second.generation == generation)
        running->second.job = job;
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
    const std::uint64_t generation = m_nodes[index].generation;
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
    const auto call = m_calls.find({index, command.call});
    if (call == m_calls.end())
        return;
    const unsigned id = call->second;
    m_calls.erase(call);
    if (command.response->outcome == call_outcome::unknown)
        ++m_unknownOutcomes[nlohmann::json::parse(command.response->body).value("type", "")];
    sendWithDelay([this, id, response = command.response] {
        operation &booking = *m_operations[id];
        if (booking.ended)
            return;
        if (response->outcome == call_outcome::run && response->status == 200
            && response->body != std::to_string(id))
            ++m_misroutedResponses;
        if (response->outcome != call_outcome::unknown)
            finishOperation(booking, response->outcome);
    });
}

void fleet_simulation::on(unsigned index, const start_probe &command)
{
    const unsigned worker = portOf(command.workerAddress) - 5000;
    const std::uint64_t generation = m_nodes[index].generation;
    probe_finished finished;
    finished.probe = command.probe;
    if (m_workers[worker].up) {
        finished.load = m_workers[worker].fake->report();
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
    if (target >= m_nodes.size() || isPartitioned(index, target))
        return;
    const std::uint64_t generation = m_nodes[index].generation;
    const process_id from = m_nodes[index].process;
    if (!m_nodes[target].up) {
        m_queue.after(milliseconds(1), [this, index, generation, command] {
            deliver(index, generation, peer_send_failed {command.peerAddress, command.messageId});
        });
        return;
    }
    const unsigned copies = m_random.uniform() < m_settings.duplication ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        sendWithDelay([this, target, from, message = command.message] {
            deliver(target, m_nodes[target].generation, peer_message_received {from, message});
        });
    }
}

void fleet_simulation::on(unsigned index, const read_platform_value &command)
{
    const std::uint64_t generation = m_nodes[index].generation;
    watchPlatform(index, generation, command, m_queue.now() + command.wait);
}

void fleet_simulation::watchPlatform(unsigned index, std::uint64_t generation,
                                     const read_platform_value &command, instant until)
{
    if (m_nodes[index].generation != generation)
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
    replace(index, milliseconds(500));
}

void fleet_simulation::pause(unsigned gateway, duration length)
{
    node &target = m_nodes[gateway];
    if (!target.up || target.paused)
        return;
    target.paused = true;
    m_queue.after(length, [this, gateway, generation = target.generation] {
        node &resumed = m_nodes[gateway];
        if (resumed.generation != generation || !resumed.up)
            return;
        resumed.paused = false;
        // Events that arrived during the pause are handled either before or after the overdue
        // timer.
        std::vector<event> backlog = std::move(resumed.backlog);
        resumed.backlog.clear();
        if (m_random.uniform() < 0.5)
            deliver(gateway, generation, timer_expired {});
        for (const event &input : backlog)
            deliver(gateway, generation, input);
        armTimer(gateway);
    });
}

void fleet_simulation::replace(unsigned index, duration downFor)
{
    node &target = m_nodes[index];
    target.up = false;
    const std::uint64_t generation = target.generation;
    m_queue.after(downFor, [this, index, generation] {
        if (m_nodes[index].generation == generation)
            startNode(index);
    });
}

void fleet_simulation::kill(unsigned gateway, duration downFor)
{
    if (m_nodes[gateway].up)
        replace(gateway, downFor);
}

void fleet_simulation::drain(unsigned gateway)
{
    deliver(gateway, m_nodes[gateway].generation, drain_requested {});
}

void fleet_simulation::partition(const std::set<unsigned> &isolatedGateways)
{
    m_partition = isolatedGateways;
}

void fleet_simulation::drainWorker(unsigned worker)
{
    m_workers[worker].fake->setDraining(true);
    m_workers[worker].drainedAt = std::min(m_workers[worker].drainedAt, m_queue.now());
}

void fleet_simulation::crashWorker(unsigned worker, duration downFor)
{
    m_workers[worker].up = false;
    for (const std::pair<const std::pair<unsigned, attempt_id>, running_attempt> &entry :
         std::map(m_attempts)) {
        if (entry.second.worker != worker)
            continue;
        attempt_finished finished;
        finished.attempt = entry.first.second;
        finished.end = attempt_end::broken;
        endAttempt(entry.first.first, entry.second.generation, finished);
    }
    m_queue.after(downFor, [this, worker] { m_workers[worker].up = true; });
}

void fleet_simulation::publish(std::uint64_t version)
{
    m_platform.publish(version, shopConfig(m_settings.workers, m_settings.gateways));
}

void fleet_simulation::submitRead()
{
    ++m_reads;
    const unsigned target = static_cast<unsigned>(m_random.below(m_nodes.size()));
    if (!m_nodes[target].up)
        return;
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "GET";
    request->target = "/read/" + std::to_string(m_reads);
    request->timeout = callerTimeout;
    const call_id call = static_cast<call_id>(m_nextCall++);
    m_readCalls[{target, call}] = request->target;
    sendWithDelay([this, target, generation = m_nodes[target].generation, call, request] {
        deliver(target, generation, call_received {call, request});
    });
}

void fleet_simulation::submitBooking()
{
    const unsigned id = static_cast<unsigned>(m_operations.size());
    m_operations.push_back(std::make_unique<operation>());
    m_operations.back()->id = id;
    const unsigned queried = static_cast<unsigned>(m_random.below(m_nodes.size()));
    const std::uint64_t query = m_nextQuery++;
    m_queries[query] = [this, id](const send_entry_response &answer) {
        operation &booking = *m_operations[id];
        if (answer.keyRange.empty())
            return;
        booking.key = answer.keyRange + "/" + std::to_string(id + 1);
        for (const std::string &address : answer.addresses)
            booking.targets.push_back(portOf(address) - 1000);
        transmit(id);
    };
    deliver(queried, m_nodes[queried].generation,
            entry_query {static_cast<query_id>(query), "shop"});
}

void fleet_simulation::transmit(unsigned id)
{
    operation &booking = *m_operations[id];
    if (booking.ended)
        return;
    if (booking.transmissions >= transmissionsMax) {
        finishOperation(booking, call_outcome::unknown);
        return;
    }
    // Later transmissions go to random gateways, to cover gateways with different views of the
    // fleet.
    const unsigned target = booking.transmissions < booking.targets.size()
                                ? booking.targets[booking.transmissions]
                                : static_cast<unsigned>(m_random.below(m_nodes.size()));
    ++booking.transmissions;
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "POST";
    request->target = "/book";
    request->body = std::to_string(id);
    request->idempotencyKey = booking.key;
    request->timeout = callerTimeout;
    const call_id call = static_cast<call_id>(m_nextCall++);
    m_calls[{target, call}] = id;
    // Some copies are delayed in the network for longer than the timeout of their caller.
    const duration delay = m_random.uniform() < 0.05
                               ? duration(static_cast<std::int64_t>(m_random.below(5000000)))
                               : duration {0};
    const std::uint64_t generation = m_nodes[target].generation;
    m_queue.after(delay, [this, target, generation, call, request] {
        sendWithDelay([this, target, generation, call, request] {
            deliver(target, generation, call_received {call, request});
        });
    });
    m_queue.after(callerTimeout, [this, id] { transmit(id); });
}

void fleet_simulation::finishOperation(operation &booking, call_outcome outcome)
{
    booking.ended = true;
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
        m_operations.begin(), m_operations.end(),
        [](const std::unique_ptr<operation> &booking) { return booking->executions > 1; }));
}

std::uint64_t fleet_simulation::falseOutcomes() const
{
    return static_cast<std::uint64_t>(std::count_if(
        m_operations.begin(), m_operations.end(), [](const std::unique_ptr<operation> &booking) {
            return booking->ended
                   && ((booking->outcome == call_outcome::run && booking->executions == 0)
                       || (booking->outcome == call_outcome::not_run && booking->executions > 0));
        }));
}

std::uint64_t fleet_simulation::invariantChecks() const
{
    std::uint64_t sum = m_retiredInvariantChecks;
    for (const node &entry : m_nodes)
        sum += entry.core->invariants().checks();
    return sum;
}

} // namespace almondnotch
