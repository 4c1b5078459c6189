#include "tests/decision/gateway/gateway_fixture.h"

#include <sstream>
#include <stdexcept>

#include "config/parser.h"
#include "core/digest.h"

namespace almondnotch {

std::string shopConfig(unsigned workers, unsigned gateways, unsigned maxGateways)
{
    std::ostringstream text;
    text << "[limits]\nmax_gateways = " << maxGateways << "\nentry_keep_ms = 2000\n";
    for (const char *domain : {"a", "b", "c"})
        text << "[[failure_domain]]\nname = \"" << domain << "\"\nregion = \"r\"\none_way_ms = 1\n";
    for (unsigned i = 0; i < gateways; ++i) {
        text << "[[entry_vm]]\nname = \"vm-" << i << "\"\nfailure_domain = \""
             << "abc"[i % 3] << "\"\nentry_address = \"127.0.0.1:" << 1000 + i
             << "\"\npeer_address = \"127.0.0.1:" << 3000 + i << "\"\n";
    }
    text << "[[budget]]\nname = \"b\"\nprobes_per_second = 10\nbytes_per_second = 20000\n"
            "[[class]]\nname = \"c\"\nrank = 0\n"
            "[[group]]\nname = \"g\"\nbudget = \"b\"\nslots = 6\nconnections = 220\n"
            "[[service]]\nname = \"shop\"\ngroup = \"g\"\nclass = \"c\"\ntimeout_ms = 5000\n"
            "[[rule]]\nname = \"read\"\npath_prefix = \"/read\"\nservice = \"shop\"\n"
            "idempotent = true\n"
            "[[rule]]\nname = \"book\"\npath_prefix = \"/book\"\nservice = \"shop\"\n"
            "idempotent = false\n";
    for (unsigned i = 0; i < workers; ++i) {
        text << "[[worker]]\nname = \"w-" << i << "\"\ngroup = \"g\"\nfailure_domain = \""
             << "abc"[i % 3] << "\"\nvm = \"h-" << i << "\"\naddress = \"127.0.0.1:" << 5000 + i
             << "\"\n";
    }
    return text.str();
}

gateway_settings shopSettings(unsigned index, std::uint64_t startNumber, std::uint64_t seed)
{
    gateway_settings settings;
    settings.seed = seed;
    settings.fleetSettings.self = {"vm-" + std::to_string(index), startNumber};
    settings.fleetSettings.failureDomain = std::string(1, "abc"[index % 3]);
    settings.fleetSettings.entryAddress = "127.0.0.1:" + std::to_string(1000 + index);
    settings.fleetSettings.peerAddress = "127.0.0.1:" + std::to_string(3000 + index);
    settings.balancerSettings.failureDomain = settings.fleetSettings.failureDomain;
    settings.balancerSettings.selectionSeed = seed;
    settings.claims.tokenSecrets = {"secret"};
    return settings;
}

void platform_values::publish(std::uint64_t newVersion, const std::string &text)
{
    const std::string hash = sha256Hex(text);
    parts[hash] = text;
    configVersion = newVersion;
    manifest = formatManifest({newVersion, {{"part", hash, text.size()}}});
}

result<platform_value> platform_values::read(const read_platform_value &command) const
{
    if (isDown)
        return fail(error_code::unavailable, "read", "platform", "down");
    switch (command.key) {
    case platform_key::manifest:
        return platform_value {configVersion, command.afterVersion < configVersion, manifest};
    case platform_key::vm_list:
        return platform_value {vmListVersion, command.afterVersion < vmListVersion, vmList};
    case platform_key::part:
        break;
    }
    const auto found = parts.find(command.partSha256);
    if (found == parts.end())
        return platform_value {};
    return platform_value {1, true, found->second};
}

gateway_fixture::gateway_fixture(unsigned workers, gateway_settings settings)
{
    platform.publish(1, shopConfig(workers, 1));
    gatewayUnderTest = std::move(*gateway::create(std::move(settings)));
    gatewayUnderTest->invariants().setFailureHandler(
        [](std::string_view name, const std::string &detail) {
            throw std::runtime_error(std::string(name) + ": " + detail);
        });
    gatewayUnderTest->start(now, actions);
    answerPlatformReads();
    advance(seconds(1));
}

void gateway_fixture::handle(const event &input)
{
    gatewayUnderTest->handle(now, input, actions);
    answerPlatformReads();
}

void gateway_fixture::answerPlatformReads()
{
    for (std::vector<read_platform_value> commands = take<read_platform_value>(); !commands.empty();
         commands = take<read_platform_value>()) {
        for (const read_platform_value &command : commands) {
            result<platform_value> value = platform.read(command);
            // A watch of a value that has not changed is left unanswered.
            if (value && !value->changed && command.wait > duration {0})
                continue;
            gatewayUnderTest->handle(
                now, platform_value_read_finished {command.read, std::move(value)}, actions);
        }
    }
}

void gateway_fixture::advance(duration length)
{
    const instant end = now + length;
    while (gatewayUnderTest->nextWake() <= end) {
        now = std::max(now, gatewayUnderTest->nextWake());
        handle(timer_expired {});
        answerProbes();
    }
    now = end;
}

void gateway_fixture::answerProbes()
{
    for (const start_probe &probe : take<start_probe>()) {
        // Worker w-N listens on port 5000 + N.
        const std::string port = probe.workerAddress.substr(probe.workerAddress.find(':') + 1);
        const std::string name = "w-" + std::to_string(std::stoi(port) - 5000);
        if (unreachableWorkers.contains(name))
            handle(probe_finished {probe.probe, std::nullopt, 0});
        else
            handle(probe_finished {probe.probe, load_report {0, 0, 6, worker_state::ready}, 300});
    }
}

call_id gateway_fixture::submitRead(const std::string &name, std::optional<duration> timeout,
                                    unsigned depth)
{
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "GET";
    request->target = "/read/" + name;
    request->timeout = timeout;
    request->depth = depth;
    const call_id call = static_cast<call_id>(m_nextCall++);
    handle(call_received {call, request});
    return call;
}

call_id gateway_fixture::submitBooking(const std::string &requestBody,
                                       const std::string &operationKey)
{
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "POST";
    request->target = "/book";
    request->body = requestBody;
    request->idempotencyKey = operationKey;
    const call_id call = static_cast<call_id>(m_nextCall++);
    handle(call_received {call, request});
    return call;
}

std::string gateway_fixture::newKey()
{
    if (m_keyRange.empty()) {
        handle(entry_query {static_cast<query_id>(1), "shop"});
        m_keyRange = take<send_entry_response>().at(0).keyRange;
    }
    return m_keyRange + "/" + std::to_string(m_nextKeyNumber++);
}

void gateway_fixture::answer(const start_attempt &attempt, int status, bool rejectedBeforeRun)
{
    std::shared_ptr<call_response> response = std::make_shared<call_response>();
    response->status = status;
    response->body = attempt.request->target + attempt.request->body;
    attempt_finished finished;
    finished.attempt = attempt.attempt;
    finished.end = attempt_end::answered;
    finished.response = response;
    finished.rejectedBeforeRun = rejectedBeforeRun;
    handle(finished);
}

void gateway_fixture::endAttempt(const start_attempt &attempt, attempt_end attemptEnd)
{
    attempt_finished finished;
    finished.attempt = attempt.attempt;
    finished.end = attemptEnd;
    handle(finished);
    answerProbes();
}

} // namespace almondnotch
