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
        integer(
            "seed", 0, 0, 4294967295.0, "",
            "Seed of the random number generator, for reproducible runs; 0 selects a random seed."),
        requiredText("vm.name", "Name of this VM, as in the platform's VM list."),
        requiredText("vm.failure_domain",
                     "Failure domain of this VM, as in the published configuration."),
        real("vm.processor_share", 0, 0, 1024, "cores",
             "CPU capacity available to this VM; 0 if unknown. Used only if "
             "routing.configuration is \"items\": the gateways on the VMs with the largest "
             "capacity watch the platform's store for the other gateways of their failure "
             "domain (fleet.readers gives their number)."),
        requiredText(
            "entry.address",
            "Address to which callers connect, as ip:port. Callers receive it when they look up "
            "entry addresses, so they must be able to reach it."),
        integer(
            "entry.connections_max", 10000, 1, 100000, "connections",
            "Maximum number of connections from callers. Further connections wait in the listen "
            "queue."),
        integer("entry.idle_timeout_s", 60, 1, 3600, "s",
                "A caller's connection without traffic in either direction is closed after this "
                "time, except while a call is in progress."),
        integer(
            "entry.receive_time_max_ms", 30000, 100, 600000, "ms",
            "Maximum time for receiving a request, from the request line to the end of the body."),
        integer("entry.unread_time_max_ms", 10000, 100, 600000, "ms",
                "A connection whose caller reads no byte of a pending response for this time is "
                "closed."),
        integer("entry.pipelined_requests_max", 16, 1, 1000, "requests",
                "Maximum number of requests of one connection that are in progress at the same "
                "time. Only GET and HEAD requests without a body are; any other request waits for "
                "those before it, and those behind it wait for its response. 1 makes all of them "
                "wait."),
        integer("entry.body_bytes_max", 1048576, 1024, 16777216, "bytes",
                "Maximum size of a request body; a larger one is rejected with 413."),
        integer("entry.header_bytes_max", 16384, 1024, 65536, "bytes",
                "Maximum total size of the request line and the header fields; if it is "
                "exceeded, the request is rejected with 431."),
        integer("entry.held_body_bytes_max", 67108864, 1048576, 4294967296.0, "bytes",
                "Maximum total size of the bodies of all requests that are being received or "
                "answered; further requests are rejected with 503."),
        integer("entry.held_response_bytes_max", 33554432, 65536, 4294967296.0, "bytes",
                "Maximum total size of the bodies of all responses that callers have not read yet. "
                "Further responses of more than 16 KiB are replaced by 502."),
        text("operator.address", "127.0.0.1:9901", "Address of the operator endpoint, as ip:port."),
        secret(text("operator.token", "",
                    "Token for `Authorization: Bearer`. Required if operator.address is not a "
                    "loopback address; if set, it is checked on a loopback address too.")),
        requiredText("peer.address", "Address for messages from other gateways, as ip:port."),
        text("peer.seeds", "",
             "Peer addresses, separated by commas, from which a new process requests the "
             "configuration before it knows any other gateway."),
        secret(requiredText(
            "peer.keys", "Keys shared by all gateways as id:secret, separated by commas, with "
                         "secrets of at least 16 bytes. The first key signs; all keys are accepted "
                         "for verification.")),
    };
}

std::vector<setting_declaration> fleetDeclarations()
{
    return {
        integer("fleet.fanout", 2, 1, 16, "gateways",
                "Number of randomly selected gateways contacted in each gossip round."),
        integer("fleet.exchange_interval_ms", 500, 50, 10000, "ms",
                "Interval between gossip rounds."),
        integer(
            "fleet.ask_peers_s", 2, 0, 60, "s",
            "How long a new process waits for a peer to report its configuration version before it "
            "uses the platform's configuration without this confirmation."),
        integer("fleet.readers", 2, 1, 16, "gateways",
                "Number of readers in each failure domain: gateways that watch the platform's "
                "configuration for changes on behalf of the others."),
        integer("fleet.reader_silence_s", 3, 1, 60, "s",
                "Time without a successful read of the platform by any reader, after which other "
                "gateways act as backup readers."),
        integer("fleet.watch_s", 10, 1, 60, "s",
                "Maximum duration of one watch (long poll) for changes on the platform. If "
                "routing.configuration is \"items\", routing.watch_s applies instead."),
        integer("fleet.suspect_after_s", 3, 1, 60, "s",
                "Time without direct or indirect contact after which a gateway is suspected."),
        integer("fleet.gone_after_s", 10, 1, 600, "s",
                "Time in the suspect state after which a gateway is declared gone."),
        integer("fleet.platform_calls_per_second", 2000, 1, 1000000, "calls/s",
                "Maximum rate of calls to the platform, summed over all gateways."),
        integer("fleet.gateways_assumed", 256, 1, 1000, "gateways",
                "Number of gateways among which the calls to the platform are divided while no "
                "configuration is known."),
        integer("fleet.pause_threshold_ms", 500, 50, 60000, "ms",
                "If a timer fires late by more than this, the process is considered to have been "
                "paused."),
        integer("fleet.drain_time_max_s", 120, 1, 86400, "s",
                "Maximum time from the start of a drain to the exit. If routing.configuration is "
                "\"items\", routing.grace applies instead."),
    };
}

std::vector<setting_declaration> routingDeclarations()
{
    return {
        text("routing.configuration", "parts",
             "How the platform publishes the configuration: \"parts\" for a manifest and its "
             "parts, \"items\" for each route and worker as a separate item of its key-value "
             "store. The other settings of this table apply only to \"items\", the tables claims "
             "and balancer only to \"parts\"."),
        text("routing.directory_addresses", "",
             "Listen addresses for lookups of entry addresses and for readiness checks, as "
             "ip:port, separated by commas."),
        text(
            "routing.grace", "6s",
            "Maximum time from SIGTERM to the exit of the process, as a number with the unit ms or "
            "s."),
        text("routing.entry_keep", "4s",
             "How long callers may cache the entry addresses, as a number with the unit ms or s."),
        integer("routing.watch_s", 4, 1, 60, "s",
                "Maximum duration of one watch (long poll) for changes of the platform's store. A "
                "watch of the workers that the store has lost is detected 0.4 s after its end, so "
                "a shorter duration bounds the age of what is known of them, and a longer one "
                "saves calls to the platform."),
        real("routing.retry_share", 0.2, 0, 1, "",
             "Maximum number of retries and hedges of a service, summed over all gateways, as a "
             "fraction of its requests. The gateways enforce a lower limit as a safety margin."),
        integer(
            "routing.retry_slack", 50, 0, 1000000, "retries",
            "Number of retries and hedges of a service in ten seconds, summed over all gateways, "
            "that are allowed in addition to routing.retry_share."),
        real(
            "routing.hedge_share", 1, 0, 1, "hedges/request",
            "Maximum number of hedges of a service, summed over all gateways, as a fraction of its "
            "idempotent requests. A hedge is a second copy of a request whose answer is late. 0 "
            "switches hedges off; with 1, only routing.retry_share and routing.retry_slack limit "
            "them, within which they count at any value."),
        real(
            "routing.hedge_quantile", 0, 0, 0.999, "",
            "Quantile of the recent latencies of a route after which a hedge is due, or 0 if it is "
            "due only at the last moment at which it can meet the route's latency objective. At "
            "any value it is due at that moment."),
        real("routing.probes_per_worker", 60, 1, 100000, "probes/s",
             "Maximum rate of probes per worker, summed over all gateways and averaged over all "
             "workers."),
        real("routing.cold_overshoot", 1, 0, 1000, "",
             "Factor on the rate that a service names for its cold workers. It bounds, together "
             "with routing.cold_slack, what a cold worker gets from all gateways in any second."),
        real("routing.cold_slack", 0, 0, 1000000, "requests",
             "Number of requests that a cold worker may get in any second in addition to the rate "
             "times routing.cold_overshoot. Applies only to services that name a rate."),
    };
}

std::vector<setting_declaration> callDeclarations()
{
    return {
        integer("calls.in_progress_max", 20000, 1, 1000000, "calls",
                "Maximum number of calls in progress; further calls are rejected."),
        integer("calls.attempts_max", 3, 1, 10, "attempts",
                "Maximum number of attempts of one call, including the first."),
        integer("calls.timeout_max_ms", 600000, 1, 600000, "ms",
                "Maximum timeout that a caller may request."),
        integer(
            "calls.response_reserve_ms", 2, 0, 1000, "ms",
            "Part of a call's timeout that is reserved for returning the response to the caller."),
        integer("calls.quarantine_s", 600, 0, 86400, "s",
                "Time for which a request that crashed two workers is rejected."),
        integer("calls.crash_records_max", 4096, 1, 1000000, "requests",
                "Maximum number of requests that are recorded because they crashed a worker."),
        integer("claims.claims_max", 100000, 1, 10000000, "claims",
                "Maximum number of claims (recorded operations with an idempotency key)."),
        integer("claims.stored_response_bytes_max", 16384, 0, 4194304, "bytes",
                "Maximum size of a response that is stored for duplicate requests."),
        integer("claims.stored_bytes_max", 67108864, 0, 4294967296.0, "bytes",
                "Maximum total size of all stored responses."),
        integer(
            "claims.accept_s", 600, 1, 86400, "s",
            "Time after a gateway has issued a range of idempotency keys during which the range "
            "accepts new operations."),
        integer("claims.repeat_s", 600, 1, 86400, "s",
                "Additional time, after that of claims.accept_s, for which claims are kept to "
                "answer duplicate requests."),
        integer("claims.chunk_claims_max", 256, 1, 4096, "claims",
                "Maximum number of claims in one message when a leaving gateway hands its claims "
                "over to another one."),
        integer("balancer.probe_timeout_ms", 500, 10, 10000, "ms",
                "Time after which a load probe counts as failed."),
        integer("balancer.slow_start_ms", 5000, 0, 600000, "ms",
                "Time in which the traffic share of a new or readmitted worker grows to the full "
                "share."),
        integer(
            "balancer.ejection_time_ms", 2000, 10, 600000, "ms",
            "Duration of the first ejection of a failing worker. Repeated ejections last longer."),
        text("log.level", "info", "Minimum level of log records: debug, info, warning or error."),
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
    // Several packages may declare settings of one table. The reference lists each table once, in
    // the order of the first setting of each.
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
           "the output of\n`almondnotchd --print_reference`; a test checks that it is up to date.\n"
           + settingsReference(declarations);
}

} // namespace almondnotch
