#include "servers/decision_service/decision_service.h"

#include <string>
#include <utility>
#include <variant>

#include "core/log_line.h"

namespace almondnotch {

namespace {

const char *const logPrefix = "decision";

/// Time limit for sending the last responses before the process exits. Without it, a caller that
/// reads slowly would delay the shutdown.
constexpr duration flushTimeLimit = seconds(5);

/// Time limit for the last messages to other gateways. Longer than a round trip between regions.
constexpr duration peerFlushTimeLimit = milliseconds(250);

/// Looks up a service and stores it in `target`. Does nothing if `outcome` is already an error.
template <typename T>
void findService(const service_manager &owner, std::string_view name, T *&target,
                 result<void> &outcome)
{
    if (!outcome)
        return;
    const result<T *> found = owner.find<T>(name);
    if (found)
        target = *found;
    else
        outcome = tl::unexpected(found.error());
}

} // namespace

decision_service::decision_service(core_factory makeCore) : m_makeCore(std::move(makeCore)) { }

decision_service::core_factory gatewayFactory(const gateway_settings &settings)
{
    return [settings](std::int64_t unixMsAtOrigin) -> result<std::unique_ptr<decision_core>> {
        gateway_settings timed = settings;
        timed.unixMsAtOrigin = unixMsAtOrigin;
        return gateway::create(std::move(timed));
    };
}

result<void> decision_service::start(service_manager &owner)
{
    result<void> found;
    findService(owner, "loop", m_loop, found);
    findService(owner, "worker_transport", m_workers, found);
    findService(owner, "platform_client", m_platform, found);
    findService(owner, "peer_link", m_peers, found);
    findService(owner, "http_entry", m_entry, found);
    if (!found)
        return found;

    result<std::unique_ptr<decision_core>> created = m_makeCore(m_loop->unixMsAtOrigin());
    if (!created)
        return tl::unexpected(created.error());
    m_core = std::move(*created);
    m_core->invariants().setFailureHandler([](std::string_view name, const std::string &detail) {
        log_line(log_level::error, logPrefix, "invariant violated")
            .field("name", name)
            .field("detail", detail);
    });
    m_timer = std::make_unique<timer_watcher>(*m_loop, [this] { onTimerDue(); });

    action_list actions;
    m_handling = true;
    m_core->start(m_loop->now(), actions);
    executeActions(actions);
    m_handling = false;
    handleQueued();
    return {};
}

void decision_service::stop()
{
    m_timer.reset();
    m_queue.clear();
    m_core.reset();
}

void decision_service::deliver(event input)
{
    if (m_core == nullptr)
        return;
    m_queue.push_back(std::move(input));
    if (!m_handling)
        handleQueued();
}

void decision_service::handleQueued()
{
    m_handling = true;
    action_list actions;
    while (!m_queue.empty()) {
        const event input = std::move(m_queue.front());
        m_queue.pop_front();
        actions.clear();
        m_core->handle(m_loop->now(), input, actions);
        executeActions(actions);
    }
    m_handling = false;
    setTimer();
}

void decision_service::executeActions(const action_list &actions)
{
    for (const action &next : actions)
        std::visit([this](const auto &concreteAction) { execute(concreteAction); }, next);
}

void decision_service::onTimerDue()
{
    m_timerDue = instant::never();
    // libev timers may expire early by the granularity of its clock.
    const duration left = m_core->nextWake() - m_loop->now();
    if (left.count() > 0)
        setTimer();
    else
        deliver(timer_expired {});
}

void decision_service::setTimer()
{
    const instant due = m_core->nextWake();
    // Most events do not change the next wake-up time, so the timer need not be restarted.
    if (due == m_timerDue)
        return;
    m_timerDue = due;
    if (due == instant::never())
        m_timer->stop();
    else
        m_timer->start(due - m_loop->now());
}

nlohmann::json decision_service::dump() const
{
    return m_core == nullptr ? nlohmann::json::object() : m_core->dump(m_loop->now());
}

nlohmann::json decision_service::explain(std::string_view method, std::string_view target) const
{
    return m_core == nullptr ? nlohmann::json::object()
                             : m_core->explain(m_loop->now(), method, target);
}

const counter_set &decision_service::counters() const
{
    return m_core == nullptr ? m_emptyCounters : m_core->counters();
}

bool decision_service::isReady() const
{
    return m_core != nullptr && m_core->isReady(m_loop->now());
}

entry_addresses decision_service::selectEntryAddresses(const entry_lookup &lookup)
{
    return m_core == nullptr ? entry_addresses {}
                             : m_core->selectEntryAddresses(m_loop->now(), lookup);
}

void decision_service::execute(const start_attempt &command)
{
    m_workers->startAttempt(command);
}

void decision_service::execute(const cancel_attempt &command)
{
    m_workers->cancelAttempt(command);
}

void decision_service::execute(const withdraw_attempt &command)
{
    m_workers->withdrawAttempt(command);
}

void decision_service::execute(const send_response &command)
{
    m_entry->sendResponse(command);
}

void decision_service::execute(const start_probe &command)
{
    m_workers->startProbe(command);
}

void decision_service::execute(const send_entry_response &command)
{
    m_entry->sendEntryResponse(command);
}

void decision_service::execute(const send_peer_message &command)
{
    m_peers->sendPeerMessage(command);
}

void decision_service::execute(const read_platform_value &command)
{
    m_platform->readPlatformValue(command);
}

void decision_service::execute(const read_items &command)
{
    m_platform->readItems(command);
}

void decision_service::execute(const write_log &command)
{
    if (!isLogged(command.level))
        return;
    log_line record(command.level, command.prefix, command.message);
    for (const header_field &field : command.fields)
        record.field(field.name, field.value);
}

void decision_service::execute(const exit_process &command)
{
    if (m_exiting)
        return;
    m_exiting = true;
    log_line(log_level::info, logPrefix, "exiting").field("reason", command.reason);
    const auto flushed = [this] {
        if (--m_flushing == 0)
            m_loop->requestStop();
    };
    m_flushing = 2;
    m_peers->flush(peerFlushTimeLimit, flushed);
    m_entry->flush(flushTimeLimit, flushed);
}

} // namespace almondnotch
