#include <algorithm>
#include <utility>

#include "main/daemon/daemon_settings.h"

namespace almondnotch {

namespace {

template <typename Number>
setting_declaration number(std::string name, Number value, double minimum, double maximum,
                           std::string unit, std::string doc)
{
    setting_declaration declaration;
    declaration.name = std::move(name);
    declaration.defaultValue = value;
    declaration.minimum = minimum;
    declaration.maximum = maximum;
    declaration.unit = std::move(unit);
    declaration.doc = std::move(doc);
    return declaration;
}

setting_declaration integer(std::string name, std::int64_t value, double minimum, double maximum,
                            std::string unit, std::string doc)
{
    return number(std::move(name), value, minimum, maximum, std::move(unit), std::move(doc));
}

setting_declaration real(std::string name, double value, double minimum, double maximum,
                         std::string unit, std::string doc)
{
    return number(std::move(name), value, minimum, maximum, std::move(unit), std::move(doc));
}

setting_declaration text(std::string name, std::string value, std::string doc)
{
    setting_declaration declaration;
    declaration.name = std::move(name);
    declaration.defaultValue = std::move(value);
    declaration.doc = std::move(doc);
    return declaration;
}

setting_declaration requiredText(std::string name, std::string doc)
{
    setting_declaration declaration = text(std::move(name), "", std::move(doc));
    declaration.required = true;
    return declaration;
}

setting_declaration secret(setting_declaration declaration)
{
    declaration.secret = true;
    return declaration;
}

std::vector<setting_declaration> processDeclarations()
{
    return {
        integer("seed", 0, 0, 4294967295.0, "",
                "Seed of the random source, for repeatable runs; 0 takes a random one."),
        requiredText("vm.name", "Name of this VM, as on the platform's VM list."),
        requiredText("vm.failure_domain",
                     "Failure domain of this VM, as in the published configuration."),
        real(
            "vm.processor_share", 0, 0, 1024, "cores",
            "Processor share of this VM, 0 if unknown. Larger VMs read the platform for the others "
            "of their failure domain."),
        requiredText("entry.address",
                     "Address that callers connect to, as ip:port. Entry responses name it, so it "
                     "must be one that callers reach."),
        integer("entry.connections_max", 10000, 1, 100000, "connections",
                "Callers' connections. Further ones wait in the listen queue."),
        integer("entry.idle_timeout_s", 60, 1, 3600, "s",
                "A caller's connection without a byte in either direction is closed after this "
                "time, except while a call is in progress."),
        integer("entry.receive_time_max_ms", 30000, 100, 600000, "ms",
                "Longest time from a request line to the end of the body."),
        integer("entry.body_bytes_max", 1048576, 1024, 16777216, "bytes",
                "Longest request body; a longer one is refused with 413."),
        integer("entry.header_bytes_max", 16384, 1024, 65536, "bytes",
                "Request line and header fields together; more are refused with 431."),
        integer("entry.held_body_bytes_max", 67108864, 1048576, 4294967296.0, "bytes",
                "Bodies of all requests that are being received or answered; more are refused "
                "with 503."),
        text("operator.address", "127.0.0.1:9901", "Address of the operator endpoint, as ip:port."),
        secret(text("operator.token", "",
                    "Token for `Authorization: Bearer`. Required if operator.address is not a "
                    "loopback address; if set, it is checked there too.")),
        requiredText("peer.address", "Address for messages of other gateways, as ip:port."),
        text("peer.seeds", "",
             "Peer addresses, separated by commas, that a new process asks for the configuration "
             "before it knows any other gateway."),
        secret(requiredText("peer.keys",
                            "Keys shared by all gateways as id:secret, separated by commas, with "
                            "secrets of at least 16 bytes. The first signs, all are accepted.")),
    };
}

std::vector<setting_declaration> fleetDeclarations()
{
    return {
        integer("fleet.fanout", 2, 1, 16, "gateways",
                "Random gateways that each round of the exchange reaches."),
        integer("fleet.exchange_interval_ms", 500, 50, 10000, "ms",
                "Time between two rounds of the exchange."),
        integer("fleet.ask_peers_s", 2, 0, 60, "s",
                "How long a new process waits for the configuration of peers before it serves the "
                "platform's."),
        integer("fleet.readers", 2, 1, 16, "gateways",
                "Gateways of a failure domain that watch the platform."),
        integer("fleet.reader_silence_s", 3, 1, 60, "s",
                "Silence of all readers after which others take over."),
        integer("fleet.watch_s", 10, 1, 60, "s", "Longest watch of the platform."),
        integer("fleet.suspect_after_s", 3, 1, 60, "s",
                "Time without direct or indirect contact after which a gateway is suspected."),
        integer("fleet.gone_after_s", 10, 1, 600, "s",
                "Time as a suspect after which a gateway counts as gone."),
        integer("fleet.platform_calls_per_second", 2000, 1, 1000000, "calls/s",
                "Calls to the platform by all gateways together."),
        integer("fleet.gateways_assumed", 256, 1, 1000, "gateways",
                "Gateways that share the calls to the platform while no configuration is known."),
        integer("fleet.pause_threshold_ms", 500, 50, 60000, "ms",
                "A timer that is later than this shows that the process did not run."),
        integer("fleet.drain_time_max_s", 120, 1, 86400, "s",
                "Longest time from the start of a drain to the exit."),
    };
}

std::vector<setting_declaration> routingDeclarations()
{
    return {
        text("routing.configuration", "parts",
             "How the platform publishes the configuration: \"parts\" for a manifest and its "
             "parts, \"items\" for routes and workers as items of a store. The other settings "
             "of this table hold for items."),
        text("routing.directory_addresses", "",
             "Addresses that answer which entry addresses to use and whether the gateway is "
             "ready, as ip:port, separated by commas."),
        text("routing.grace", "6s",
             "Time from SIGTERM to the end of the process, as a number with the unit ms or s."),
        text("routing.entry_keep", "4s",
             "How long callers may use an answer to which addresses to use."),
        real("routing.retry_share", 0.2, 0, 1, "",
             "Retries and hedges of a service by all gateways together, as a share of its "
             "requests. The gateways stay well below it."),
        integer("routing.retry_slack", 50, 0, 1000000, "retries",
                "Retries and hedges of a service by all gateways together in ten seconds, beyond "
                "their share."),
        real("routing.probes_per_worker", 60, 1, 100000, "probes/s",
             "Probes of a worker by all gateways together, on the average over all workers."),
    };
}

std::vector<setting_declaration> callDeclarations()
{
    return {
        integer("calls.in_progress_max", 20000, 1, 1000000, "calls",
                "Calls in progress; more are refused."),
        integer("calls.attempts_max", 3, 1, 10, "attempts",
                "Attempts of one call, the first one included."),
        integer("calls.timeout_max_ms", 600000, 1, 600000, "ms",
                "Longest time that a caller may ask for."),
        integer("calls.response_reserve_ms", 2, 0, 1000, "ms",
                "Part of a call's time that is kept for the way back to the caller."),
        integer("calls.quarantine_s", 600, 0, 86400, "s",
                "Time for which a request that crashed two workers is refused."),
        integer("calls.crash_records_max", 4096, 1, 1000000, "requests",
                "Requests remembered for crashing a worker."),
        integer("claims.claims_max", 100000, 1, 10000000, "claims",
                "Operations with an idempotency key that are remembered."),
        integer("claims.stored_response_bytes_max", 16384, 0, 4194304, "bytes",
                "Longest response that is kept for a repeated request."),
        integer("claims.stored_bytes_max", 67108864, 0, 4294967296.0, "bytes",
                "All kept responses together."),
        integer("claims.accept_s", 600, 1, 86400, "s",
                "How long new numbers of a key range are accepted."),
        integer("claims.repeat_s", 600, 1, 86400, "s",
                "How much longer claims are kept for repeated requests."),
        integer("claims.chunk_claims_max", 256, 1, 4096, "claims",
                "Claims in one message of a handover."),
        integer("balancer.probe_timeout_ms", 500, 10, 10000, "ms",
                "Time after which a load probe counts as failed."),
        integer("balancer.slow_start_ms", 5000, 0, 600000, "ms",
                "Time in which the share of a new or returning worker grows to the full share."),
        integer("balancer.ejection_time_ms", 2000, 10, 600000, "ms",
                "Time for which a failing worker is left out after its first ejection."),
        text("log.level", "info", "Lowest level that is logged: debug, info, warning or error."),
    };
}

std::string tablePrefix(const setting_declaration &declaration)
{
    return declaration.name.substr(0, declaration.name.rfind('.') + 1);
}

} // namespace

std::vector<setting_declaration>
daemonDeclarations(const std::vector<setting_declaration> &transportDeclarations)
{
    std::vector<setting_declaration> all = processDeclarations();
    for (const std::vector<setting_declaration> &part :
         {fleetDeclarations(), routingDeclarations(), callDeclarations(), transportDeclarations})
        all.insert(all.end(), part.begin(), part.end());
    // A transport may declare settings of a table that others declare too. The reference lists
    // each table once, in the order of its first setting.
    std::vector<std::string> tablePrefixes;
    for (const setting_declaration &declaration : all) {
        if (std::find(tablePrefixes.begin(), tablePrefixes.end(), tablePrefix(declaration))
            == tablePrefixes.end())
            tablePrefixes.push_back(tablePrefix(declaration));
    }
    std::stable_sort(
        all.begin(), all.end(),
        [&tablePrefixes](const setting_declaration &left, const setting_declaration &right) {
            return std::find(tablePrefixes.begin(), tablePrefixes.end(), tablePrefix(left))
                   < std::find(tablePrefixes.begin(), tablePrefixes.end(), tablePrefix(right));
        });
    return all;
}

std::string daemonReference(const std::vector<setting_declaration> &declarations)
{
    return "# Settings of almondnotchd\n\nThe file given with `--settings` is in TOML. This page "
           "is "
           "the output of\n`almondnotchd --print_reference`; a test compares them.\n"
           + settingsReference(declarations);
}

} // namespace almondnotch
