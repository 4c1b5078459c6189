#include "tests/decision/routing/routing_fixture.h"

#include <limits>
#include <stdexcept>
#include <utility>

namespace almondnotch {

routing_settings localGatewaySettings(std::uint64_t seed)
{
    routing_settings settings;
    settings.seed = seed;
    settings.peers.self = {"vm-1", 1};
    settings.peers.failureDomain = "near";
    settings.peers.entryAddress = "10.0.0.1:80";
    settings.peers.peerAddress = "10.0.0.1:90";
    settings.budgets.retryFraction = 0.1;
    settings.budgets.retryBurst = 320;
    settings.startupWatchHoldoff = duration {0};
    return settings;
}

published_worker workerEntry(const std::string &name, const std::string &service,
                             const std::string &failureDomain)
{
    published_worker entry;
    entry.name = name;
    entry.address = "10.1.0.1:80";
    entry.service = service;
    entry.failureDomain = failureDomain;
    entry.slots = 4;
    entry.startedUnixMs = 1;
    return entry;
}

published_item workerItem(const published_worker &entry)
{
    published_item item;
    item.name = entry.name;
    item.worker = entry;
    return item;
}

published_item removedItem(const std::string &name)
{
    published_item item;
    item.name = name;
    item.removed = true;
    return item;
}

published_item withRevision(published_item item, std::uint64_t revision)
{
    item.revision = revision;
    return item;
}

item_page pageOf(std::vector<published_item> items, std::uint64_t revision)
{
    item_page page;
    page.items = std::move(items);
    page.revision = revision;
    return page;
}

published_item drainingWorkerItem(const std::string &name, std::uint64_t revision)
{
    published_worker entry = workerEntry(name, "reads");
    entry.leaving = true;
    return withRevision(workerItem(entry), revision);
}

fleet_digest localDigest(const std::string &vm, unsigned number)
{
    fleet_digest digest;
    digest.self.process = {vm, 1};
    digest.self.failureDomain = "near";
    digest.self.entryAddress = "10.0.1." + std::to_string(number) + ":80";
    digest.self.peerAddress = "10.0.1." + std::to_string(number) + ":90";
    return digest;
}

route_config shopRoutes(std::uint64_t version)
{
    const auto makeRoute = [](const std::string &prefix, const std::string &service,
                              delivery_semantics delivery, unsigned priority) {
        host_route route;
        route.name = prefix;
        route.host = "shop.example";
        route.prefix = prefix;
        route.delivery = delivery;
        route.timeout = milliseconds(600);
        route.latencyObjective = milliseconds(200);
        route.priority = priority;
        route.attemptsMax = 2;
        route.targets = {{service, 1}};
        return route;
    };
    route_config config;
    config.version = version;
    config.routes = {makeRoute("/read/", "reads", delivery_semantics::idempotent, 1),
                     makeRoute("/urgent/", "reads", delivery_semantics::idempotent, 0),
                     makeRoute("/book/", "books", delivery_semantics::at_most_once, 0)};
    config.services = {{"reads", {"/health", 100}}, {"books", {"/health", 100}}};
    return config;
}

published_item configItem(const route_config &config)
{
    published_item item;
    item.name = "configuration";
    item.config = std::make_shared<const route_config>(config);
    return item;
}

routing_fixture::routing_fixture(routing_settings settings, instant startAt) : now(startAt)
{
    result<std::unique_ptr<decision_core>> created = route_gateway::create(std::move(settings));
    if (!created)
        throw std::runtime_error(toString(created.error()));
    gateway = std::move(*created);
    gateway->invariants().setFailureHandler([](std::string_view name, const std::string &detail) {
        throw std::runtime_error("invariant " + std::string(name) + " failed: " + detail);
    });
    action_list newActions;
    gateway->start(now, newActions);
    dispatchActions(newActions);
}

void routing_fixture::dispatchActions(action_list &newActions)
{
    std::vector<start_probe> started;
    for (action &one : newActions) {
        const read_items *read = std::get_if<read_items>(&one);
        if (read != nullptr && read->revisionOnly)
            revisionReads.push_back(*read);
        else if (read != nullptr)
            m_inFlightReads[read->scope] = *read;
        else if (const start_probe *probe = std::get_if<start_probe>(&one))
            started.push_back(*probe);
        else
            actions.push_back(std::move(one));
    }
    for (const start_probe &probe : started) {
        probes.push_back(probe);
        if (!answersProbes)
            continue;
        if (unreachableWorkers.contains(probe.workerName)) {
            answerProbe(probe, std::nullopt);
            continue;
        }
        const auto load = loads.find(probe.workerName);
        answerProbe(probe, load == loads.end() ? load_report {0, 0, 4} : load->second);
    }
}

void routing_fixture::becomeReady(const std::vector<published_worker> &workers,
                                  const route_config &config)
{
    item_page configPage;
    configPage.items = {configItem(config)};
    configPage.revision = listRevision;
    answerRead(item_scope::configuration, configPage);
    item_page workerPage;
    for (const published_worker &entry : workers)
        workerPage.items.push_back(workerItem(entry));
    workerPage.revision = listRevision;
    answerRead(item_scope::workers, workerPage);
}

void routing_fixture::handle(const event &input)
{
    action_list newActions;
    gateway->handle(now, input, newActions);
    dispatchActions(newActions);
}

void routing_fixture::advance(duration length)
{
    const instant end = now + length;
    while (gateway->nextWake() <= end) {
        now = std::max(now, gateway->nextWake());
        handle(timer_expired {});
    }
    now = end;
}

call_id routing_fixture::call(const std::string &method, const std::string &target,
                              duration timeout)
{
    const call_id id {m_nextCall++};
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = method;
    request->target = target;
    request->host = "shop.example";
    request->timeout = timeout;
    request->requestId = "r-" + std::to_string(static_cast<std::uint64_t>(id));
    handle(call_received {id, request});
    return id;
}

worker_signals routing_fixture::signalsOf(const std::string &worker) const
{
    const auto found = requestLimits.find(worker);
    worker_signals signals;
    signals.requestRateMax
        = found == requestLimits.end() ? std::numeric_limits<double>::infinity() : found->second;
    signals.isLeaving = leavingWorkers.contains(worker);
    return signals;
}

void routing_fixture::answer(const start_attempt &attempt, int status)
{
    attempt_finished outcome;
    outcome.attempt = attempt.attempt;
    outcome.end = attempt_end::answered;
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = status;
    response->body = attempt.workerName;
    outcome.response = std::move(response);
    outcome.signals = signalsOf(attempt.workerName);
    handle(outcome);
}

void routing_fixture::rejectBeforeRun(const start_attempt &attempt, duration pause)
{
    attempt_finished outcome;
    outcome.attempt = attempt.attempt;
    outcome.end = attempt_end::answered;
    outcome.rejectedBeforeRun = true;
    outcome.signals = signalsOf(attempt.workerName);
    outcome.signals.pause = pause;
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = 503;
    outcome.response = std::move(response);
    handle(outcome);
}

void routing_fixture::endAttempt(const start_attempt &attempt, attempt_end attemptEnd)
{
    attempt_finished outcome;
    outcome.attempt = attempt.attempt;
    outcome.end = attemptEnd;
    handle(outcome);
}

const read_items *routing_fixture::inFlightRead(item_scope scope) const
{
    const auto found = m_inFlightReads.find(scope);
    return found == m_inFlightReads.end() ? nullptr : &found->second;
}

void routing_fixture::answerRead(item_scope scope, result<item_page> page)
{
    const auto found = m_inFlightReads.find(scope);
    if (found == m_inFlightReads.end())
        throw std::runtime_error("no read of this scope is in flight");
    endRead(found->second.read, std::move(page));
}

void routing_fixture::endRead(read_id read, result<item_page> page)
{
    std::erase_if(m_inFlightReads, [read](const std::pair<const item_scope, read_items> &entry) {
        return entry.second.read == read;
    });
    handle(items_read_finished {read, std::move(page)});
}

void routing_fixture::answerProbe(const start_probe &probe, const std::optional<load_report> &load)
{
    probe_finished outcome;
    outcome.probe = probe.probe;
    outcome.load = load;
    if (load)
        outcome.signals = signalsOf(probe.workerName);
    handle(outcome);
}

std::string headerOf(const shared_response &response, const std::string &name)
{
    for (const header_field &field : response->headers) {
        if (field.name == name)
            return field.value;
    }
    return {};
}

} // namespace almondnotch
