#include "tests/decision/gateway/fleet_world.h"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace almondnotch {

namespace {

/// How long a caller waits before it sends a call again, and how often it sends it.
constexpr duration callerPatience = milliseconds(800);
constexpr unsigned transmissionsMax = 4;
constexpr duration drainLimit = seconds(3);

unsigned portOf(const std::string &address)
{
    return static_cast<unsigned>(std::stoul(address.substr(address.find(':') + 1)));
}

} // namespace

fleet_world::fleet_world(world_settings settings)
    : m_settings(settings), m_random(settings.seed), m_network(m_queue, m_random, microseconds(500))
{
    m_network.setJitter(milliseconds(1));
    m_network.setLoss(settings.loss);
    m_platform.publish(1, shopConfig(settings.workers, settings.gateways));
    worker_profile profile;
    profile.serviceMean = milliseconds(5);
    if (settings.tightWorkers) {
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

fleet_world::~fleet_world() = default;

void fleet_world::startNode(unsigned index)
{
    node &started = m_nodes[index];
    if (started.decisions)
        m_pastChecks += started.decisions->invariants().checks();
    gateway_settings settings = shopSettings(index, m_nextStart++, m_random.next());
    for (unsigned peer = 0; peer < m_settings.gateways; ++peer) {
        if (peer != index)
            settings.fleetPart.seedPeers.push_back("127.0.0.1:" + std::to_string(3000 + peer));
    }
    started.process = settings.fleetPart.self;
    started.decisions = std::move(*gateway::create(std::move(settings)));
    started.decisions->invariants().setFailureHandler(
        [](std::string_view name, const std::string &detail) {
            throw std::runtime_error(std::string(name) + ": " + detail);
        });
    // Clocks of different processes have nothing in common.
    started.origin = m_queue.now() - seconds(static_cast<std::int64_t>(m_random.below(1000)));
    started.up = true;
    started.paused = false;
    started.backlog.clear();
    ++started.generation;
    action_list actions;
    started.decisions->start(instant(m_queue.now() - started.origin), actions);
    perform(index, actions);
    armTimer(index);
}

void fleet_world::deliver(unsigned index, std::uint64_t generation, const event &input)
{
    node &target = m_nodes[index];
    if (!target.up || target.generation != generation)
        return;
    if (target.paused) {
        target.backlog.push_back(input);
        return;
    }
    action_list actions;
    target.decisions->handle(instant(m_queue.now() - target.origin), input, actions);
    perform(index, actions);
    armTimer(index);
}

void fleet_world::armTimer(unsigned index)
{
    node &target = m_nodes[index];
    const instant wake = target.decisions->nextWake();
    if (!target.up || wake == instant::never())
        return;
    const instant due = std::max(m_queue.now(), target.origin + wake.sinceOrigin());
    m_queue.at(due, [this, index, generation = target.generation, wake] {
        node &woken = m_nodes[index];
        // Only the newest timer counts; a paused process handles it when it wakes up.
        if (woken.generation == generation && !woken.paused && woken.up
            && woken.decisions->nextWake() == wake)
            deliver(index, generation, timer_expired {});
    });
}

void fleet_world::perform(unsigned index, action_list &actions)
{
    for (const action &entry : actions)
        std::visit([this, index](const auto &order) { on(index, order); }, entry);
}

void fleet_world::sendOver(event_queue::callback arrive)
{
    m_network.send(std::move(arrive));
}

bool fleet_world::isCut(unsigned left, unsigned right) const
{
    return m_cutOff.contains(left) != m_cutOff.contains(right);
}

void fleet_world::on(unsigned index, const start_attempt &order)
{
    const unsigned worker = portOf(order.workerAddress) - 5000;
    const std::uint64_t generation = m_nodes[index].generation;
    m_attempts[{index, order.attempt}] = {index, generation, worker, 0};
    if (m_queue.now() > m_workers[worker].drainedAt + drainLimit)
        ++m_lateAttempts;
    attempt_finished timeout;
    timeout.attempt = order.attempt;
    timeout.end = attempt_end::timed_out;
    m_queue.after(order.timeLimit,
                  [this, index, generation, timeout] { endAttempt(index, generation, timeout); });
    sendOver(
        [this, index, generation, order, worker] { execute(index, generation, order, worker); });
}

void fleet_world::execute(unsigned index, std::uint64_t generation, const start_attempt &order,
                          unsigned worker)
{
    worker_node &target = m_workers[worker];
    attempt_finished finished;
    finished.attempt = order.attempt;
    if (!target.up) {
        finished.end = attempt_end::not_sent;
        sendOver([this, index, generation, finished] { endAttempt(index, generation, finished); });
        return;
    }
    const std::uint64_t before = target.fake->accepted();
    const std::string identity
        = order.request->body.empty() ? order.request->target : order.request->body;
    const std::uint64_t job = target.fake->submit([this, index, generation, finished, identity,
                                                   worker](const fake_response &given) mutable {
        if (!m_workers[worker].up)
            return;
        std::shared_ptr<call_response> response = std::make_shared<call_response>();
        response->status = given.status;
        response->body = identity;
        finished.end = attempt_end::answered;
        finished.response = response;
        finished.load = given.load;
        finished.refusedNotRun = given.refusedNotRun;
        sendOver([this, index, generation, finished] { endAttempt(index, generation, finished); });
    });
    if (target.fake->accepted() > before && !order.request->body.empty())
        ++m_operations[std::stoul(order.request->body)]->executions;
    const auto running = m_attempts.find({index, order.attempt});
    if (running != m_attempts.end() && running->second.generation == generation)
        running->second.job = job;
}

void fleet_world::endAttempt(unsigned index, std::uint64_t generation,
                             const attempt_finished &finished)
{
    const auto running = m_attempts.find({index, finished.attempt});
    if (running == m_attempts.end() || running->second.generation != generation)
        return;
    m_attempts.erase(running);
    deliver(index, generation, finished);
}

void fleet_world::on(unsigned index, const cancel_attempt &order)
{
    const std::uint64_t generation = m_nodes[index].generation;
    attempt_finished finished;
    finished.attempt = order.attempt;
    finished.end = attempt_end::cancelled;
    m_queue.after(duration(1),
                  [this, index, generation, finished] { endAttempt(index, generation, finished); });
}

void fleet_world::on(unsigned index, const send_response &order)
{
    const auto read = m_readCalls.find({index, order.call});
    if (read != m_readCalls.end()) {
        if (order.response->outcome == call_outcome::run && order.response->body != read->second)
            ++m_misdelivered;
        m_readCalls.erase(read);
        return;
    }
    const auto call = m_calls.find({index, order.call});
    if (call == m_calls.end())
        return;
    const unsigned id = call->second;
    m_calls.erase(call);
    if (order.response->outcome == call_outcome::unknown)
        ++m_doubtful[nlohmann::json::parse(order.response->body).value("type", "")];
    sendOver([this, id, response = order.response] {
        operation &booking = *m_operations[id];
        if (booking.ended)
            return;
        if (response->outcome == call_outcome::run && response->status == 200
            && response->body != std::to_string(id))
            ++m_misdelivered;
        if (response->outcome != call_outcome::unknown)
            finishOperation(booking, response->outcome);
    });
}

void fleet_world::on(unsigned index, const start_probe &order)
{
    const unsigned worker = portOf(order.workerAddress) - 5000;
    const std::uint64_t generation = m_nodes[index].generation;
    probe_finished finished;
    finished.probe = order.probe;
    if (m_workers[worker].up) {
        finished.load = m_workers[worker].fake->report();
        finished.bytes = 300;
    }
    m_queue.after(milliseconds(2),
                  [this, index, generation, finished] { deliver(index, generation, finished); });
}

void fleet_world::on(unsigned, const send_entry_response &order)
{
    const auto asked = m_queries.find(static_cast<std::uint64_t>(order.query));
    if (asked == m_queries.end())
        return;
    asked->second(order);
    m_queries.erase(asked);
}

unsigned fleet_world::indexOfPeer(const std::string &address) const
{
    return portOf(address) - 3000;
}

void fleet_world::on(unsigned index, const send_peer_message &order)
{
    const unsigned target = indexOfPeer(order.peerAddress);
    if (target >= m_nodes.size() || isCut(index, target))
        return;
    const std::uint64_t generation = m_nodes[index].generation;
    const process_id from = m_nodes[index].process;
    if (!m_nodes[target].up) {
        m_queue.after(milliseconds(1), [this, index, generation, order] {
            deliver(index, generation, peer_send_failed {order.peerAddress, order.messageId});
        });
        return;
    }
    const unsigned copies = m_random.uniform() < m_settings.duplication ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        sendOver([this, target, from, message = order.message] {
            deliver(target, m_nodes[target].generation, peer_message_received {from, message});
        });
    }
}

void fleet_world::on(unsigned index, const read_platform &order)
{
    const std::uint64_t generation = m_nodes[index].generation;
    watchPlatform(index, generation, order, m_queue.now() + order.wait);
}

void fleet_world::watchPlatform(unsigned index, std::uint64_t generation,
                                const read_platform &order, instant until)
{
    if (m_nodes[index].generation != generation)
        return;
    result<platform_value> value = m_platform.read(order);
    if (value && !value->changed && m_queue.now() < until) {
        m_queue.after(milliseconds(100), [this, index, generation, order, until] {
            watchPlatform(index, generation, order, until);
        });
        return;
    }
    m_queue.after(milliseconds(3), [this, index, generation, order, value] {
        deliver(index, generation, platform_read_finished {order.read, value});
    });
}

void fleet_world::on(unsigned, const write_log &) { }

void fleet_world::on(unsigned index, const exit_process &)
{
    replace(index, milliseconds(500));
}

void fleet_world::pause(unsigned gateway, duration length)
{
    node &target = m_nodes[gateway];
    if (!target.up || target.paused)
        return;
    target.paused = true;
    m_queue.after(length, [this, gateway, generation = target.generation] {
        node &woken = m_nodes[gateway];
        if (woken.generation != generation || !woken.up)
            return;
        woken.paused = false;
        // What arrived in the meantime is read in any order with the overdue timer.
        std::vector<event> backlog = std::move(woken.backlog);
        woken.backlog.clear();
        if (m_random.uniform() < 0.5)
            deliver(gateway, generation, timer_expired {});
        for (const event &input : backlog)
            deliver(gateway, generation, input);
        armTimer(gateway);
    });
}

void fleet_world::replace(unsigned index, duration downFor)
{
    node &target = m_nodes[index];
    target.up = false;
    const std::uint64_t generation = target.generation;
    m_queue.after(downFor, [this, index, generation] {
        if (m_nodes[index].generation == generation)
            startNode(index);
    });
}

void fleet_world::kill(unsigned gateway, duration downFor)
{
    if (m_nodes[gateway].up)
        replace(gateway, downFor);
}

void fleet_world::drain(unsigned gateway)
{
    deliver(gateway, m_nodes[gateway].generation, drain_requested {});
}

void fleet_world::partition(const std::set<unsigned> &side)
{
    m_cutOff = side;
}

void fleet_world::drainWorker(unsigned worker)
{
    m_workers[worker].fake->setDraining(true);
    m_workers[worker].drainedAt = std::min(m_workers[worker].drainedAt, m_queue.now());
}

void fleet_world::crashWorker(unsigned worker, duration downFor)
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

void fleet_world::publish(std::uint64_t version)
{
    m_platform.publish(version, shopConfig(m_settings.workers, m_settings.gateways));
}

void fleet_world::offerRead()
{
    ++m_reads;
    const unsigned target = static_cast<unsigned>(m_random.below(m_nodes.size()));
    if (!m_nodes[target].up)
        return;
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "GET";
    request->target = "/read/" + std::to_string(m_reads);
    request->timeout = callerPatience;
    const call_id call = static_cast<call_id>(m_nextCall++);
    m_readCalls[{target, call}] = request->target;
    sendOver([this, target, generation = m_nodes[target].generation, call, request] {
        deliver(target, generation, call_received {call, request});
    });
}

void fleet_world::offerBooking()
{
    const unsigned id = static_cast<unsigned>(m_operations.size());
    m_operations.push_back(std::make_unique<operation>());
    m_operations.back()->id = id;
    const unsigned asked = static_cast<unsigned>(m_random.below(m_nodes.size()));
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
    deliver(asked, m_nodes[asked].generation, entry_query {static_cast<query_id>(query), "shop"});
}

void fleet_world::transmit(unsigned id)
{
    operation &booking = *m_operations[id];
    if (booking.ended)
        return;
    if (booking.transmissions >= transmissionsMax) {
        finishOperation(booking, call_outcome::unknown);
        return;
    }
    // Later transmissions go anywhere, so that views that differ are tried too.
    const unsigned target = booking.transmissions < booking.targets.size()
                                ? booking.targets[booking.transmissions]
                                : static_cast<unsigned>(m_random.below(m_nodes.size()));
    ++booking.transmissions;
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "POST";
    request->target = "/book";
    request->body = std::to_string(id);
    request->idempotencyKey = booking.key;
    request->timeout = callerPatience;
    const call_id call = static_cast<call_id>(m_nextCall++);
    m_calls[{target, call}] = id;
    // Some copies are delayed on the way for longer than their caller waits.
    const duration delay = m_random.uniform() < 0.05
                               ? duration(static_cast<std::int64_t>(m_random.below(5000000)))
                               : duration {0};
    const std::uint64_t generation = m_nodes[target].generation;
    m_queue.after(delay, [this, target, generation, call, request] {
        sendOver([this, target, generation, call, request] {
            deliver(target, generation, call_received {call, request});
        });
    });
    m_queue.after(callerPatience, [this, id] { transmit(id); });
}

void fleet_world::finishOperation(operation &booking, call_outcome outcome)
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

std::uint64_t fleet_world::doubled() const
{
    return static_cast<std::uint64_t>(std::count_if(
        m_operations.begin(), m_operations.end(),
        [](const std::unique_ptr<operation> &booking) { return booking->executions > 1; }));
}

std::uint64_t fleet_world::falselyReported() const
{
    return static_cast<std::uint64_t>(std::count_if(
        m_operations.begin(), m_operations.end(), [](const std::unique_ptr<operation> &booking) {
            return booking->ended
                   && ((booking->outcome == call_outcome::run && booking->executions == 0)
                       || (booking->outcome == call_outcome::not_run && booking->executions > 0));
        }));
}

std::uint64_t fleet_world::invariantChecks() const
{
    std::uint64_t sum = m_pastChecks;
    for (const node &entry : m_nodes)
        sum += entry.decisions->invariants().checks();
    return sum;
}

} // namespace almondnotch
