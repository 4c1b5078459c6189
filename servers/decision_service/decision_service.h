#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/service_manager.h"
#include "core/time.h"
#include "decision/gateway.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

/// Service "decision": passes events and timer expiries to the decision core and executes the
/// resulting actions, in order, through the other services. All functions are called on the event
/// loop's thread.
class decision_service : public event_sink, public decision_inspection, public entry_directory
{
public:
    /// Creates the decision core.
    /// \param unixMsAtOrigin wall-clock time that corresponds to 0 of the event loop's clock,
    /// milliseconds since 1970.
    using core_factory
        = std::function<result<std::unique_ptr<decision_core>>(std::int64_t unixMsAtOrigin)>;

    explicit decision_service(core_factory makeCore);

    /// Looks up the services "loop", "worker_transport", "platform_client", "peer_link" and
    /// "http_entry", creates the decision core and executes its first actions.
    result<void> start(service_manager &owner) override;
    void stop() override;

    /// Drops events that are delivered before `start` or after `stop`.
    void deliver(event input) override;

    nlohmann::json dump() const override;
    nlohmann::json explain(std::string_view method, std::string_view target) const override;
    const counter_set &counters() const override;
    bool isReady() const override;
    entry_addresses selectEntryAddresses(const entry_lookup &lookup) override;

private:
    void handleQueued();
    void executeActions(const action_list &actions);
    void onTimerDue();
    void setTimer();

    void execute(const start_attempt &command);
    void execute(const cancel_attempt &command);
    void execute(const withdraw_attempt &command);
    void execute(const send_response &command);
    void execute(const start_probe &command);
    void execute(const send_entry_response &command);
    void execute(const send_peer_message &command);
    void execute(const read_platform_value &command);
    void execute(const read_items &command);
    void execute(const write_log &command);
    void execute(const exit_process &command);

    core_factory m_makeCore;
    counter_set m_emptyCounters;
    event_loop *m_loop = nullptr;
    worker_transport_interface *m_workers = nullptr;
    platform_client_interface *m_platform = nullptr;
    peer_link_interface *m_peers = nullptr;
    http_entry_interface *m_entry = nullptr;
    std::unique_ptr<decision_core> m_core;
    std::unique_ptr<timer_watcher> m_timer;
    instant m_timerDue = instant::never();
    /// Events that services deliver while another event is being handled; all others are handled at
    /// once. The queue is empty whenever control returns to the event loop, so it needs no limit.
    std::deque<event> m_queue;
    bool m_handling = false;
    bool m_exiting = false;
    /// Number of services that still have output to flush before the process exits.
    unsigned m_flushing = 0;
};

/// Factory for a `gateway`, the decision core for callers that use idempotency keys
/// (`route_gateway` is the one for routes by host and path).
decision_service::core_factory gatewayFactory(const gateway_settings &settings);

} // namespace almondnotch
