#include "main/daemon/gateway_process.h"

#include <array>
#include <csignal>

#include <sys/resource.h>

#include "core/log_line.h"
#include "core/version.h"
#include "decision/routing/route_gateway.h"
#include "platform/callers.h"
#include "platform/directory.h"
#include "platform/store.h"
#include "platform/workers.h"
#include "servers/decision_service/register_services.h"
#include "servers/directory_endpoint/register_services.h"
#include "servers/event_loop/register_services.h"
#include "servers/http_entry/register_services.h"
#include "servers/operator_endpoint/register_services.h"
#include "servers/peer_link/register_services.h"
#include "servers/platform_client/register_services.h"
#include "servers/worker_transport/register_services.h"

namespace almondnotch {

namespace {

const char *const logPrefix = "main";
/// Exit codes of a process that was ended by a signal, as shells report them.
constexpr int exitCodeInterrupted = 128 + SIGINT;
constexpr int exitCodeTerminated = 128 + SIGTERM;

/// Raises the soft limit of file descriptors to the hard limit. Each connection to a caller or a
/// worker takes a descriptor, and the usual soft limit is too low for all of them.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

peer_link_settings peerSettings(const daemon_settings &settings)
{
    peer_link_settings peers;
    peers.listenAddress = settings.gateway.fleetSettings.peerAddress;
    peers.self = settings.gateway.fleetSettings.self;
    for (const shared_key &key : settings.keys)
        peers.keys.push_back({key.id, key.secret});
    return peers;
}

/// Returns the factory of the decision core for the way in which the platform publishes the
/// configuration.
decision_service::core_factory coreFactory(const daemon_settings &settings)
{
    if (settings.platformPublishesItems)
        return [routing = settings.routing](std::int64_t /*unixMsAtOrigin*/) {
            return route_gateway::create(routing);
        };
    return gatewayFactory(settings.gateway);
}

/// Discards the value of a registration and keeps its error.
template <typename T>
result<void> discardValue(const result<T> &registered)
{
    if (!registered)
        return tl::unexpected(registered.error());
    return {};
}

} // namespace

result<void> gateway_process::registerServices(const daemon_settings &settings)
{
    const result<event_loop *> loop = registerEventLoop(m_services);
    if (!loop)
        return tl::unexpected(loop.error());
    m_loop = *loop;
    const bool usesItemStore = settings.platformPublishesItems;
    result<void> registered = discardValue(registerWorkerTransport(
        m_services, readWorkerTransportSettings(settings.values),
        usesItemStore ? platform::workerProtocol() : nativeWorkerProtocol()));
    if (registered)
        registered = discardValue(
            registerPlatformClient(m_services, readPlatformClientSettings(settings.values),
                                   usesItemStore ? &platform::storeProtocol() : nullptr));
    if (registered)
        registered = discardValue(registerPeerLink(m_services, peerSettings(settings)));
    if (registered)
        registered = registerDecisionService(m_services, coreFactory(settings));
    if (registered)
        registered = discardValue(
            registerHttpEntry(m_services, settings.entry,
                              usesItemStore ? platform::callerProtocol() : nativeCallerProtocol()));
    if (registered && usesItemStore)
        registered = registerDirectoryEndpoint(m_services, settings.directory,
                                               platform::directoryProtocol());
    if (registered)
        registered = discardValue(registerOperatorEndpoint(m_services, settings.operatorEndpoint));
    return registered;
}

result<void> gateway_process::start(const daemon_settings &settings)
{
    // A write to a closed connection must return an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    const result<void> registered = registerServices(settings);
    if (!registered)
        return registered;
    const result<void> started = m_services.start();
    if (!started)
        return started;
    const result<event_sink *> decision = m_services.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    m_decisionService = *decision;
    m_terminateWatcher
        = std::make_unique<signal_watcher>(*m_loop, SIGTERM, [this] { onTerminateSignal(); });
    // Settings are read only at the start. Without a handler, SIGHUP would end the process.
    m_hangUpWatcher = std::make_unique<signal_watcher>(*m_loop, SIGHUP, [] {
        log_line(log_level::info, logPrefix,
                 "SIGHUP received; changed settings take effect at the next start");
    });
    m_interruptWatcher = std::make_unique<signal_watcher>(*m_loop, SIGINT,
                                                          [this] { exitNow(exitCodeInterrupted); });
    log_line(log_level::info, logPrefix, "started")
        .field("version", ALMONDNOTCH_VERSION)
        .field("process", toString(settings.gateway.fleetSettings.self))
        .field("entry", settings.entry.address)
        .field("peer", settings.gateway.fleetSettings.peerAddress)
        .field("operator", settings.operatorEndpoint.address);
    return {};
}

int gateway_process::run()
{
    m_loop->run();
    m_services.stop();
    ignoreSignals();
    log_line(log_level::info, logPrefix, "stopped").field("code", m_exitCode);
    return m_exitCode;
}

/// Ignores further signals while the process exits; with their default action, its exit code would
/// be lost. Until the services have stopped, the watchers keep that action from being taken.
void gateway_process::ignoreSignals()
{
    constexpr std::array<int, 3> signals {SIGTERM, SIGINT, SIGHUP};
    sigset_t blocked;
    sigset_t previous;
    sigemptyset(&blocked);
    for (const int number : signals)
        sigaddset(&blocked, number);
    // A watcher restores the default action when it is destroyed. Blocked until that is replaced.
    pthread_sigmask(SIG_BLOCK, &blocked, &previous);
    m_terminateWatcher.reset();
    m_interruptWatcher.reset();
    m_hangUpWatcher.reset();
    for (const int number : signals)
        std::signal(number, SIG_IGN);
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

void gateway_process::onTerminateSignal()
{
    if (m_isDraining) {
        exitNow(exitCodeTerminated);
        return;
    }
    m_isDraining = true;
    log_line(log_level::info, logPrefix, "draining").field("reason", "SIGTERM");
    m_decisionService->deliver(drain_requested {});
}

void gateway_process::exitNow(int code)
{
    log_line(log_level::warning, logPrefix, "exiting immediately").field("code", code);
    m_exitCode = code;
    m_loop->requestStop();
}

} // namespace almondnotch
