#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "main/daemon/daemon_settings.h"

using namespace almondnotch;

namespace {

const char *const validText = R"(seed = 7
[vm]
name = "vm1"
failure_domain = "fd1"
[entry]
address = "10.0.0.1:80"
[peer]
address = "10.0.0.1:7000"
seeds = "10.0.0.2:7000, 10.0.0.3:7000"
keys = "new:0123456789abcdef, old:fedcba:9876543210"
[platform]
address = "10.0.0.9:9000"
[calls]
timeout_max_ms = 1500
[operator]
address = "10.0.0.1:8099"
token = "operator secret"
)";

std::vector<setting_declaration> declarations()
{
    setting_declaration platform;
    platform.name = "platform.address";
    platform.defaultValue = std::string();
    platform.required = true;
    setting_declaration calls;
    calls.name = "calls.response_bytes_max";
    calls.defaultValue = std::int64_t {4194304};
    calls.maximum = 1e9;
    return daemonDeclarations({platform, calls});
}

std::vector<setting_fault> faultsOf(const std::string &text)
{
    const tl::expected<daemon_settings, std::vector<setting_fault>> parsed
        = parseDaemonSettings(text, declarations());
    return parsed ? std::vector<setting_fault> {} : parsed.error();
}

bool hasFault(const std::vector<setting_fault> &faults, const std::string &name, int line)
{
    return std::any_of(faults.begin(), faults.end(), [&name, line](const setting_fault &fault) {
        return fault.name == name && fault.line == line;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(daemon_settings_suite)

// Guards against a declared setting that is not passed to its service, or is passed in a wrong
// unit.
BOOST_AUTO_TEST_CASE(settingsReachServiceStructures)
{
    const tl::expected<daemon_settings, std::vector<setting_fault>> parsed
        = parseDaemonSettings(validText, declarations());
    BOOST_REQUIRE(parsed.has_value());
    const fleet_settings &fleetSettings = parsed->gateway.fleetSettings;
    BOOST_TEST(fleetSettings.self.vm == "vm1");
    BOOST_TEST(fleetSettings.seedPeers.size() == 2U);
    BOOST_TEST(fleetSettings.seedPeers.back() == "10.0.0.3:7000");
    BOOST_TEST(toMilliseconds(parsed->gateway.calls.timeoutMax) == 1500);
    BOOST_TEST(parsed->entry.address == fleetSettings.entryAddress);
    BOOST_TEST(parsed->operatorEndpoint.token == "operator secret");
    BOOST_REQUIRE(parsed->keys.size() == 2U);
    BOOST_TEST(parsed->keys[0].id == "new");
    BOOST_TEST(parsed->keys[1].secret == "fedcba:9876543210");
    BOOST_REQUIRE(parsed->gateway.claims.tokenSecrets.size() == 2U);
    BOOST_TEST(parsed->gateway.claims.tokenSecrets[0] != parsed->keys[0].secret);
    BOOST_TEST(parsed->seed == 7U);
    // The reference page is wrong if a declared default differs from the component's default.
    BOOST_TEST((parsed->gateway.claims.acceptPeriod == claim_settings().acceptPeriod));
    BOOST_TEST((parsed->gateway.balancerSettings.slowStart == balancer_settings().slowStart));
    BOOST_TEST((fleetSettings.readerFailoverTimeout == fleet_settings().readerFailoverTimeout));
    BOOST_TEST((parsed->entry.receiveTimeMax == entry_settings().receiveTimeMax));
    BOOST_TEST((parsed->gateway.drainTimeMax == gateway_settings().drainTimeMax));
}

// Guards against a check that stops at the first fault, reports no line number or prints a secret.
BOOST_AUTO_TEST_CASE(reportsEveryFaultWithItsLine)
{
    const std::vector<setting_fault> faults = faultsOf(R"([vm]
name = "vm1"
nam = "x"
[entry]
address = "0.0.0.0:80"
body_bytes_max = 5
[peer]
address = "host:1"
seeds = "10.0.0.2"
keys = "a:short-secret, a:0123456789abcdef, a:0123456789abcdef, nokey-secret"
[operator]
address = "0.0.0.0:1"
[log]
level = "loud"
[platform]
address = "10.0.0.9:0"
)");
    BOOST_TEST(hasFault(faults, "vm.failure_domain", 0));
    BOOST_TEST(hasFault(faults, "vm.nam", 3));
    BOOST_TEST(hasFault(faults, "entry.address", 5));
    BOOST_TEST(hasFault(faults, "entry.body_bytes_max", 6));
    BOOST_TEST(hasFault(faults, "peer.address", 8));
    BOOST_TEST(hasFault(faults, "peer.seeds", 9));
    BOOST_TEST(hasFault(faults, "peer.keys", 10));
    BOOST_TEST(hasFault(faults, "operator.address", 12));
    BOOST_TEST(hasFault(faults, "log.level", 14));
    BOOST_TEST(hasFault(faults, "platform.address", 16));
    BOOST_TEST(faults.size() == 12U);
    for (const setting_fault &fault : faults)
        BOOST_TEST(fault.message.find("secret,") == std::string::npos);
    for (const setting_fault &fault : faults) {
        BOOST_TEST(fault.message.find("short-secret") == std::string::npos);
        BOOST_TEST(fault.message.find("nokey") == std::string::npos);
        BOOST_TEST(fault.message.find("0123456789abcdef") == std::string::npos);
    }
    BOOST_TEST(hasFault(faultsOf("a = \n"), "", 1));
}

// Guards against two runs with equal start numbers or request identifiers, a start number that
// decreases after a restart, and gateways with the same configured seed that select the same
// workers. The seed of the decisions (`gateway.seed`) must nevertheless be the same in every run
// with the same configured seed.
BOOST_AUTO_TEST_CASE(startNumbersIncreaseAndDerivedSeedsDiffer)
{
    const tl::expected<daemon_settings, std::vector<setting_fault>> parsed
        = parseDaemonSettings(validText, declarations());
    BOOST_REQUIRE(parsed.has_value());
    daemon_settings first = *parsed;
    daemon_settings second = *parsed;
    second.gateway.fleetSettings.self.vm = "vm2";
    assignProcessIdentity(first, 1'700'000'000'000, 0xffffffffffffffffULL);
    assignProcessIdentity(second, 1'700'000'000'001, 1);
    const std::uint64_t start = first.gateway.fleetSettings.self.startNumber;
    BOOST_TEST((start >> 20) == 1'700'000'000'000U);
    BOOST_TEST(start < second.gateway.fleetSettings.self.startNumber);
    // A configured seed gives the same seed of the decisions in every run.
    BOOST_TEST(first.gateway.seed == second.gateway.seed);
    BOOST_TEST(first.gateway.balancerSettings.selectionSeed
               != second.gateway.balancerSettings.selectionSeed);
    BOOST_TEST(first.entry.seed != second.entry.seed);
}

// Guards against a table that the reference lists twice because two packages declare its settings,
// and against defaults outside their declared range.
BOOST_AUTO_TEST_CASE(referenceListsEachTableOnce)
{
    const std::vector<setting_declaration> all = declarations();
    const std::string reference = daemonReference(all);
    const std::size_t calls = reference.find("## [calls]");
    BOOST_TEST(calls != std::string::npos);
    BOOST_TEST(reference.find("## [calls]", calls + 1) == std::string::npos);
    BOOST_TEST(reference.find("calls.response_bytes_max") < reference.find("## [claims]"));
    for (const setting_declaration &declaration : all) {
        if (const std::int64_t *value = std::get_if<std::int64_t>(&declaration.defaultValue))
            BOOST_TEST((*value >= declaration.minimum && *value <= declaration.maximum),
                       declaration.name);
        BOOST_TEST((declaration.name == "platform.address"
                    || declaration.name.find("calls.response") == 0 || !declaration.doc.empty()),
                   declaration.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
