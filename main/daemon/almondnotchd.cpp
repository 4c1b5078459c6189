#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "core/log_line.h"
#include "core/version.h"
#include "main/daemon/daemon_settings.h"
#include "main/daemon/gateway_process.h"
#include "servers/platform_client/platform_client_settings.h"
#include "servers/worker_transport/worker_transport_settings.h"

DEFINE_string(settings, "", "settings file in TOML");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(print_reference, false, "print the reference of all settings and exit");
DECLARE_bool(help);
DECLARE_bool(version);

namespace almondnotch {

namespace {

constexpr int exitCodeFailed = 1;
constexpr int exitCodeUsage = 2;

const char *const helpText
    = "almondnotchd, a gateway of the almondnotch load balancer\n"
      "\n"
      "usage: almondnotchd --settings FILE [--check_settings]\n"
      "\n"
      "  --settings FILE     settings file in TOML (docs/CONFIGURATION.md)\n"
      "  --check_settings    check the settings file and exit: 0 if it is valid, 2 if not\n"
      "  --print_reference   print the reference of all settings and exit\n"
      "  --version           print the version and exit\n"
      "\n"
      "SIGTERM drains the gateway and exits; a second SIGTERM, or SIGINT, exits immediately.\n";

std::vector<setting_declaration> allDeclarations()
{
    std::vector<setting_declaration> transportDeclarations = platformClientDeclarations();
    const std::vector<setting_declaration> workers = workerTransportDeclarations();
    transportDeclarations.insert(transportDeclarations.end(), workers.begin(), workers.end());
    return daemonDeclarations(transportDeclarations);
}

int reportFaults(const std::string &file, const std::vector<setting_fault> &faults)
{
    for (const setting_fault &fault : faults) {
        std::cerr << file << ':';
        if (fault.line > 0)
            std::cerr << fault.line << ':';
        std::cerr << ' ' << fault.name << (fault.name.empty() ? "" : ": ") << fault.message << '\n';
    }
    return exitCodeUsage;
}

std::int64_t readWallClock()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

int serve(daemon_settings &settings)
{
    std::random_device entropy;
    assignProcessIdentity(settings, readWallClock(),
                          (static_cast<std::uint64_t>(entropy()) << 32) | entropy());
    startLogging(settings.level);
    gateway_process process;
    const result<void> started = process.start(settings);
    if (!started) {
        std::cerr << "almondnotchd: " << toString(started.error()) << '\n';
        return exitCodeFailed;
    }
    return process.run();
}

int runDaemon(int argumentCount, char **arguments)
{
    gflags::ParseCommandLineNonHelpFlags(&argumentCount, &arguments, true);
    if (FLAGS_help) {
        std::cout << helpText;
        return 0;
    }
    if (FLAGS_version) {
        std::cout << "almondnotchd " ALMONDNOTCH_VERSION "\n";
        return 0;
    }
    const std::vector<setting_declaration> declarations = allDeclarations();
    if (FLAGS_print_reference) {
        std::cout << daemonReference(declarations);
        return 0;
    }
    if (argumentCount > 1 || FLAGS_settings.empty()) {
        std::cerr << helpText;
        return exitCodeUsage;
    }
    std::ifstream file(FLAGS_settings);
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file.is_open() || file.bad()) {
        std::cerr << FLAGS_settings << ": cannot be read\n";
        return exitCodeUsage;
    }
    tl::expected<daemon_settings, std::vector<setting_fault>> settings
        = parseDaemonSettings(text, declarations);
    if (!settings)
        return reportFaults(FLAGS_settings, settings.error());
    return FLAGS_check_settings ? 0 : serve(*settings);
}

} // namespace

} // namespace almondnotch

int main(int argumentCount, char **arguments)
{
    return almondnotch::runDaemon(argumentCount, arguments);
}
