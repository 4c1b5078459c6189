#include "main/daemon/gateway_process.h"

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
/// Exit codes of a process that a signal ended, as shells report them.
constexpr int exitCodeInterrupted = 128 + SIGINT;
constexpr int exitCodeTerminated = 128 + SIGTERM;

/// Each caller and each worker connection takes a descriptor, more than the usual soft limit.
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
    peers.listenAddress = settings.decisions.fleetSettings.peerAddress;
    peers.self = settings.decisions.fleetSettings.self;
    for (const shared_key &key : settings.keys)
        peers.keys.push_back({key.id, key.secret});
    return peers;
}

/// Makes the decisions for the way in which the platform publishes the configuration.
decision_service::core_factory coreFactory(const daemon_settings &settings)
{
    if (settings.publishesItems)
        return [routing = settings.routing](std::int64_t /*unixMsAtOrigin*/) {
            return route_gateway::create(routing);
        };
    return gatewayFactory(settings.decisions);
}

/// The error of a registration, if it failed.
template <typename T>
result<void> withoutValue(const result<T> &registered)
{
    if (!registered)
        return tl::unexpected(registered.error());
    return {};
}

} // namespace

result<void> gateway_process::registerAll(const daemon_settings &settings)
{
    const result<event_loop *> loop = registerEventLoop(m_kernel);
    if (!loop)
        return tl::unexpected(loop.error());
    m_loop = *loop;
    const bool hasItems = settings.publishesItems;
    result<void> registered = withoutValue(
        registerWorkerTransport(m_kernel, readWorkerTransportSettings(settings.values),
                                hasItems ? platform::workerProtocol() : nativeWorkerProtocol()));
    if (registered)
        registered = withoutValue(
            registerPlatformClient(m_kernel, readPlatformClientSettings(settings.values),
                                   hasItems ? &platform::storeProtocol() : nullptr));
    if (registered)
        registered = withoutValue(registerPeerLink(m_kernel, peerSettings(settings)));
    if (registered)
        registered = registerDecisionService(m_kernel, coreFactory(settings));
    if (registered)
        registered = withoutValue(
            registerHttpEntry(m_kernel, settings.entry,
                              hasItems ? platform::callerProtocol() : nativeCallerProtocol()));
    if (registered && hasItems)
        registered = registerDirectoryEndpoint(m_kernel, settings.directory,
                                               platform::directoryProtocol());
    if (registered)
        registered = withoutValue(registerOperatorEndpoint(m_kernel, settings.operators));
    return registered;
}

result<void> gateway_process::start(const daemon_settings &settings)
{
    // A lost connection is reported by the failing write.
    std::signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    const result<void> registered = registerAll(settings);
    if (!registered)
        return registered;
    const result<void> started = m_kernel.start();
    if (!started)
        return started;
    const result<event_sink *> decision = m_kernel.find<event_sink>("decision");
    if (!decision)
        return tl::unexpected(decision.error());
    m_decision = *decision;
    m_onTerminate = std::make_unique<signal_watcher>(*m_loop, SIGTERM, [this] { terminate(); });
    // The settings that may change while the process runs are read again at the next start.
    m_onHangUp = std::make_unique<signal_watcher>(*m_loop, SIGHUP, [] {
        log_line(log_level::info, logPrefix, "settings changed; they hold from the next start");
    });
    m_onInterrupt = std::make_unique<signal_watcher>(*m_loop, SIGINT,
                                                     [this] { exitNow(exitCodeInterrupted); });
    log_line(log_level::info, logPrefix, "started")
        .field("version", ALMONDNOTCH_VERSION)
        .field("process", toString(settings.decisions.fleetSettings.self))
        .field("entry", settings.entry.address)
        .field("peer", settings.decisions.fleetSettings.peerAddress)
        .field("operator", settings.operators.address);
    return {};
}

int gateway_process::run()
{
    m_loop->run();
    m_onTerminate.reset();
    m_onInterrupt.reset();
    m_onHangUp.reset();
    m_kernel.stop();
    log_line(log_level::info, logPrefix, "stopped").field("code", m_exitCode);
    return m_exitCode;
}

void gateway_process::terminate()
{
    if (m_isDraining) {
        exitNow(exitCodeTerminated);
        return;
    }
    m_isDraining = true;
    log_line(log_level::info, logPrefix, "draining").field("reason", "SIGTERM");
    m_decision->deliver(drain_requested {});
}

void gateway_process::exitNow(int code)
{
    log_line(log_level::warning, logPrefix, "exiting at once").field("code", code);
    m_exitCode = code;
    m_loop->requestStop();
}

} // namespace almondnotch
