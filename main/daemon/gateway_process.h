#pragma once

#include <memory>

#include "core/error.h"
#include "core/service_manager.h"
#include "main/daemon/daemon_settings.h"
#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/signal_watcher.h"
#include "servers/service_interfaces.h"

namespace almondnotch {

/// All services of one almondnotchd process.
class gateway_process
{
public:
    gateway_process() = default;
    gateway_process(const gateway_process &) = delete;
    gateway_process &operator=(const gateway_process &) = delete;

    /// Registers and starts the services, and installs the signal handlers.
    /// \return the error of the first service that failed.
    result<void> start(const daemon_settings &settings);

    /// Runs the event loop until the gateway has drained or a signal ends the process.
    /// \return the exit code: 0, or 128 plus the signal number if a signal ended the process before
    /// it had drained.
    int run();

private:
    result<void> registerServices(const daemon_settings &settings);
    /// Starts a drain; exits immediately if one is already in progress.
    void onTerminateSignal();
    void ignoreSignals();
    void exitNow(int code);

    service_manager m_services;
    event_loop *m_loop = nullptr;
    /// Service that makes the decisions about calls; receives `drain_requested`.
    event_sink *m_decisionService = nullptr;
    std::unique_ptr<signal_watcher> m_terminateWatcher;
    std::unique_ptr<signal_watcher> m_interruptWatcher;
    std::unique_ptr<signal_watcher> m_hangUpWatcher;
    bool m_isDraining = false;
    int m_exitCode = 0;
};

} // namespace almondnotch
