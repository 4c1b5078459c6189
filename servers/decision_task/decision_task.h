#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/kernel.h"
#include "core/time.h"
#include "decision/gateway.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

/// Service "decision": drives the decisions of a gateway with events and time, and carries out its
/// actions in order on the ports. All functions are called on the loop's thread.
class decision_task : public event_sink, public decision_inspection, public entry_directory
{
public:
    /// Makes the decisions' state machine. \param unixMsAtOrigin wall clock at the origin of the
    /// monotonic clock, milliseconds since 1970.
    using core_factory
        = std::function<result<std::unique_ptr<decision_core>>(std::int64_t unixMsAtOrigin)>;

    explicit decision_task(core_factory makeCore);

    /// Finds the ports "worker_transport", "platform_client", "peer_link" and "http_entry", creates
    /// the gateway and lets it take its first actions.
    result<void> start(kernel &owner) override;
    void stop() override;

    /// Events that arrive after `stop` are dropped.
    void deliver(event input) override;

    nlohmann::json dump() const override;
    nlohmann::json explain(std::string_view method, std::string_view target) const override;
    const counter_set &counters() const override;
    bool isReady() const override;
    entry_addresses chooseEntry(const entry_lookup &question) override;

private:
    void handleQueued();
    void executeActions(const action_list &actions);
    void onTimerDue();
    void setTimer();

    void execute(const start_attempt &command);
    void execute(const cancel_attempt &command);
    void execute(const send_response &command);
    void execute(const start_probe &command);
    void execute(const send_entry_response &command);
    void execute(const send_peer_message &command);
    void execute(const read_platform &command);
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
    /// Holds only what ports deliver from within a call that carries out an action, since events
    /// are otherwise handled at once; so it needs no bound of its own.
    std::deque<event> m_queue;
    bool m_handling = false;
    bool m_exiting = false;
    /// Ports whose last output has not left yet.
    unsigned m_flushing = 0;
};

/// Makes a `gateway`, which serves callers with idempotency keys.
decision_task::core_factory gatewayFactory(const gateway_settings &settings);

} // namespace almondnotch
