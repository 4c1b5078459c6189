#include "main/daemon/daemon_settings.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <set>
#include <utility>

#include "core/digest.h"
#include "core/duration_text.h"
#include "core/random_source.h"
#include "servers/http_daemon/socket_address.h"

namespace almondnotch {

namespace {

/// Minimum length of a secret, bytes. A shorter one could be guessed from one recorded message.
constexpr std::size_t secretBytesMin = 16;

/// Splits a comma-separated list. Blanks and tabs around the items are removed.
std::vector<std::string> splitCommaSeparated(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view item = text.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_last_not_of(" \t") + 1);
        items.emplace_back(item);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return items;
}

std::optional<shared_key> parseKey(std::string_view item)
{
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    return shared_key {std::string(item.substr(0, colon)), std::string(item.substr(colon + 1))};
}

/// Checks text settings for faults that the declared type and range do not cover. Messages never
/// contain secrets.
class string_setting_validator
{
public:
    string_setting_validator(const toml::table &file,
                             const std::vector<setting_declaration> &declarations)
        : m_file(file), m_declarations(declarations)
    { }

    std::vector<setting_fault> run()
    {
        checkAddress("entry.address");
        checkAddress("peer.address");
        checkAddress("platform.address");
        checkSeeds();
        checkKeys();
        checkRouting();
        checkOperator();
        const result<log_level> level = parseLogLevel(value("log.level"));
        if (!level)
            addFault("log.level", "expected debug, info, warning or error, found \""
                                      + value("log.level") + "\"");
        return std::move(m_faults);
    }

private:
    std::string value(const std::string &name) const
    {
        const std::optional<std::string> configured = m_file.at_path(name).value<std::string>();
        if (configured)
            return *configured;
        for (const setting_declaration &declaration : m_declarations) {
            if (declaration.name == name)
                return std::get<std::string>(declaration.defaultValue);
        }
        return {};
    }

    void addFault(const std::string &name, std::string message)
    {
        const toml::node *node = m_file.at_path(name).node();
        const int line = node == nullptr ? 0 : static_cast<int>(node->source().begin.line);
        m_faults.push_back({line, name, std::move(message)});
    }

    /// Checks an address to which other hosts connect. `settings::parse` reports a missing one.
    void checkAddress(const std::string &name)
    {
        const std::string text = value(name);
        if (!text.empty() && !isConnectable(text))
            addFault(name, "expected a numeric address and port that others can connect to, as in "
                           "192.0.2.1:80, found \""
                               + text + "\"");
    }

    static bool isConnectable(const std::string &text)
    {
        const result<socket_address> address = socket_address::parse(text);
        return address && !address->isWildcard() && address->port() != 0;
    }

    void checkSeeds()
    {
        for (const std::string &seed : splitCommaSeparated(value("peer.seeds"))) {
            if (!isConnectable(seed))
                addFault("peer.seeds",
                         "expected numeric addresses with ports, found \"" + seed + "\"");
        }
    }

    void checkRouting()
    {
        const std::string kind = value("routing.configuration");
        if (kind != "parts" && kind != "items")
            addFault("routing.configuration", "expected parts or items, found \"" + kind + "\"");
        for (const std::string &address :
             splitCommaSeparated(value("routing.directory_addresses"))) {
            if (!isConnectable(address))
                addFault("routing.directory_addresses",
                         "expected numeric addresses with ports, found \"" + address + "\"");
        }
        for (const char *const name : {"routing.grace", "routing.entry_keep"}) {
            if (!parseDuration(value(name)))
                addFault(name,
                         "expected a number with the unit ms or s, found \"" + value(name) + "\"");
        }
    }

    void checkKeys()
    {
        std::set<std::string> ids;
        for (const std::string &item : splitCommaSeparated(value("peer.keys"))) {
            const std::optional<shared_key> key = parseKey(item);
            if (!key)
                addFault("peer.keys", "expected keys as id:secret");
            else if (key->secret.size() < secretBytesMin)
                addFault("peer.keys", "key \"" + key->id + "\": expected a secret of at least "
                                          + std::to_string(secretBytesMin) + " bytes, found "
                                          + std::to_string(key->secret.size()));
            else if (!ids.insert(key->id).second)
                addFault("peer.keys", "key \"" + key->id + "\": the id is not unique");
        }
    }

    void checkOperator()
    {
        const result<void> checked
            = checkOperatorSettings({value("operator.address"), value("operator.token")});
        if (!checked)
            addFault("operator.address",
                     checked.error().message + ", found \"" + value("operator.address") + "\"");
    }

    const toml::table &m_file;
    const std::vector<setting_declaration> &m_declarations;
    std::vector<setting_fault> m_faults;
};

std::vector<setting_fault>
validateStringSettings(std::string_view text, const std::vector<setting_declaration> &declarations)
{
    try {
        const toml::table file = toml::parse(text);
        return string_setting_validator(file, declarations).run();
    } catch (const toml::parse_error &) {
        // `settings::parse` reports the syntax error.
        return {};
    }
}

/// Copies numeric values, which `settings::parse` has checked, to the fields of settings
/// structures.
class setting_reader
{
public:
    explicit setting_reader(const settings &values) : m_values(values) { }

    template <typename Number>
    void read(std::string_view name, Number &target) const
    {
        target = static_cast<Number>(m_values.integer(name));
    }
    void readMilliseconds(std::string_view name, duration &target) const
    {
        target = milliseconds(m_values.integer(name));
    }
    void readSeconds(std::string_view name, duration &target) const
    {
        target = seconds(m_values.integer(name));
    }

private:
    const settings &m_values;
};

void readFleet(const settings &values, gateway_settings &target)
{
    const setting_reader reader(values);
    fleet_settings &fleetSettings = target.fleetSettings;
    fleetSettings.self.vm = values.text("vm.name");
    fleetSettings.failureDomain = values.text("vm.failure_domain");
    fleetSettings.entryAddress = values.text("entry.address");
    fleetSettings.peerAddress = values.text("peer.address");
    fleetSettings.seedPeers = splitCommaSeparated(values.text("peer.seeds"));
    reader.read("fleet.fanout", fleetSettings.fanout);
    reader.readMilliseconds("fleet.exchange_interval_ms", fleetSettings.exchangeInterval);
    reader.readSeconds("fleet.ask_peers_s", fleetSettings.startupPeerTimeout);
    reader.read("fleet.readers", fleetSettings.readersPerDomain);
    reader.readSeconds("fleet.reader_silence_s", fleetSettings.readerFailoverTimeout);
    reader.readSeconds("fleet.watch_s", fleetSettings.watchTimeout);
    reader.readSeconds("fleet.suspect_after_s", fleetSettings.suspectAfter);
    reader.readSeconds("fleet.gone_after_s", fleetSettings.goneAfter);
    reader.read("fleet.platform_calls_per_second", fleetSettings.platformCallsPerSecond);
    reader.read("fleet.gateways_assumed", fleetSettings.assumedGatewayCount);
    reader.readMilliseconds("fleet.pause_threshold_ms", target.pauseThreshold);
    reader.readSeconds("fleet.drain_time_max_s", target.drainTimeMax);
}

void readCalls(const settings &values, gateway_settings &target)
{
    const setting_reader reader(values);
    reader.read("calls.in_progress_max", target.calls.inProgressMax);
    reader.read("calls.attempts_max", target.calls.attemptsMax);
    reader.readMilliseconds("calls.timeout_max_ms", target.calls.timeoutMax);
    reader.readMilliseconds("calls.response_reserve_ms", target.calls.responseReserve);
    reader.readSeconds("calls.quarantine_s", target.calls.quarantineTime);
    reader.read("calls.crash_records_max", target.calls.crashRecordsMax);
    reader.read("claims.claims_max", target.claims.claimsMax);
    reader.read("claims.stored_response_bytes_max", target.claims.storedResponseBytesMax);
    reader.read("claims.stored_bytes_max", target.claims.storedBytesMax);
    reader.readSeconds("claims.accept_s", target.claims.acceptPeriod);
    reader.readSeconds("claims.repeat_s", target.claims.replayPeriod);
    reader.read("claims.chunk_claims_max", target.claims.chunkClaimsMax);
    target.balancerSettings.failureDomain = values.text("vm.failure_domain");
    reader.readMilliseconds("balancer.probe_timeout_ms", target.balancerSettings.probeTimeout);
    reader.readMilliseconds("balancer.slow_start_ms", target.balancerSettings.slowStart);
    reader.readMilliseconds("balancer.ejection_time_ms", target.balancerSettings.baseEjectionTime);
}

void readRouting(const settings &values, const gateway_settings &gatewaySettings,
                 daemon_settings &target)
{
    /// Fraction of the configured retries that the gateways use. The rest is a safety margin for
    /// requests that are counted in another budget window than their retries.
    constexpr double retrySafetyFactor = 0.8;
    const setting_reader reader(values);
    target.platformPublishesItems = values.text("routing.configuration") == "items";
    target.directory.addresses = splitCommaSeparated(values.text("routing.directory_addresses"));
    routing_settings &routing = target.routing;
    routing.drainTimeout
        = parseDuration(values.text("routing.grace")).value_or(routing.drainTimeout);
    routing.entryCacheTime
        = parseDuration(values.text("routing.entry_keep")).value_or(routing.entryCacheTime);
    reader.readSeconds("routing.watch_s", routing.watchTimeout);
    routing.budgets.retryFraction = retrySafetyFactor * values.real("routing.retry_share");
    reader.read("routing.retry_slack", routing.budgets.retryBurst);
    routing.hedges.share = values.real("routing.hedge_share");
    routing.hedges.quantile = values.real("routing.hedge_quantile");
    routing.budgets.probesPerWorker = values.real("routing.probes_per_worker");
    routing.coldRequests
        = {values.real("routing.cold_overshoot"), values.real("routing.cold_slack")};
    routing.pauseThreshold = gatewaySettings.pauseThreshold;
    routing.bounds.inProgressMax = gatewaySettings.calls.inProgressMax;
    routing.bounds.quarantineTime = gatewaySettings.calls.quarantineTime;
    routing.bounds.crashRecordsMax = gatewaySettings.calls.crashRecordsMax;
    const fleet_settings &fleetSettings = gatewaySettings.fleetSettings;
    routing.peers.failureDomain = fleetSettings.failureDomain;
    routing.peers.entryAddress = fleetSettings.entryAddress;
    routing.peers.peerAddress = fleetSettings.peerAddress;
    routing.peers.seeds = fleetSettings.seedPeers;
    routing.peers.fanout = fleetSettings.fanout;
    routing.peers.exchangeInterval = fleetSettings.exchangeInterval;
    routing.peers.suspectAfter = fleetSettings.suspectAfter;
    routing.peers.goneAfter = fleetSettings.goneAfter;
    routing.peers.assumedGatewayCount = fleetSettings.assumedGatewayCount;
    routing.peers.capacity
        = static_cast<std::uint32_t>(std::lround(100 * values.real("vm.processor_share")));
    routing.readers.readerCount = fleetSettings.readersPerDomain;
}

void readEntry(const settings &values, entry_settings &target)
{
    const setting_reader reader(values);
    target.address = values.text("entry.address");
    target.idleTimeout = seconds(values.integer("entry.idle_timeout_s"));
    reader.read("entry.connections_max", target.connectionsMax);
    reader.readMilliseconds("entry.receive_time_max_ms", target.receiveTimeMax);
    reader.readMilliseconds("entry.unread_time_max_ms", target.unreadTimeMax);
    reader.read("entry.pipelined_requests_max", target.pipelinedRequestsMax);
    reader.read("entry.body_bytes_max", target.bodyBytesMax);
    reader.read("entry.header_bytes_max", target.headerBytesMax);
    reader.read("entry.held_body_bytes_max", target.heldBodyBytesMax);
    reader.read("entry.held_response_bytes_max", target.heldResponseBytesMax);
}

} // namespace

tl::expected<daemon_settings, std::vector<setting_fault>>
parseDaemonSettings(std::string_view text, const std::vector<setting_declaration> &declarations)
{
    std::vector<setting_fault> faults = validateStringSettings(text, declarations);
    tl::expected<settings, std::vector<setting_fault>> parsed = settings::parse(text, declarations);
    if (!parsed)
        faults.insert(faults.end(), parsed.error().begin(), parsed.error().end());
    if (!faults.empty()) {
        std::stable_sort(faults.begin(), faults.end(),
                         [](const setting_fault &left, const setting_fault &right) {
                             return left.line < right.line;
                         });
        return tl::unexpected(faults);
    }

    daemon_settings result;
    result.values = std::move(*parsed);
    readFleet(result.values, result.gateway);
    readCalls(result.values, result.gateway);
    readEntry(result.values, result.entry);
    readRouting(result.values, result.gateway, result);
    result.operatorEndpoint
        = {result.values.text("operator.address"), result.values.text("operator.token")};
    for (const std::string &item : splitCommaSeparated(result.values.text("peer.keys"))) {
        result.keys.push_back(parseKey(item).value_or(shared_key {}));
        // Key range tokens are signed with a derived key, so that the MAC of a peer message is
        // never valid for a token, nor the reverse.
        result.gateway.claims.tokenSecrets.push_back(
            hmacSha256(result.keys.back().secret, "almondnotch key range token"));
    }
    result.level = parseLogLevel(result.values.text("log.level")).value_or(log_level::info);
    result.seed = static_cast<std::uint64_t>(result.values.integer("seed"));
    return result;
}

void assignProcessIdentity(daemon_settings &target, std::int64_t unixMs, std::uint64_t randomBits)
{
    constexpr unsigned startNumberRandomBits = 20;
    process_id &self = target.gateway.fleetSettings.self;
    self.startNumber = (static_cast<std::uint64_t>(unixMs) << startNumberRandomBits)
                       | (randomBits >> (64 - startNumberRandomBits));

    random_source seeds(target.seed != 0 ? target.seed : mixBits(randomBits));
    target.gateway.seed = seeds.next();
    target.routing.peers.self = self;
    target.routing.seed = seeds.next() ^ mixBits(std::hash<std::string> {}(self.vm));
    // Gateways that are configured with the same seed must not make the same choices.
    target.gateway.balancerSettings.selectionSeed
        = seeds.next() ^ mixBits(std::hash<std::string> {}(self.vm));
    // Request identifiers must differ between runs, even if a configured seed makes the decisions
    // reproducible.
    target.entry.seed = mixBits(randomBits ^ self.startNumber);
}

} // namespace almondnotch
