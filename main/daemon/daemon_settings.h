#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/log_line.h"
#include "core/settings.h"
#include "decision/gateway.h"
#include "decision/routing/routing_settings.h"
#include "servers/directory_endpoint/directory_endpoint.h"
#include "servers/http_entry/entry_settings.h"
#include "servers/operator_endpoint/operator_endpoint.h"

namespace almondnotch {

/// A secret shared by all gateways, and the key id that the envelopes of peer messages carry.
struct shared_key
{
    std::string id;
    std::string secret;

    bool operator==(const shared_key &) const = default;
};

/// Contents of the settings file of almondnotchd, converted to the settings of each service.
struct daemon_settings
{
    /// Start number and seeds are unset until `assignProcessIdentity` is called.
    gateway_settings gateway;
    /// True if the platform publishes each route and worker as a separate item of its key-value
    /// store, not as a manifest with parts. The decision core is then created from `routing`
    /// instead of `gateway`; the process id and the peer address still come from `gateway`.
    bool platformPublishesItems = false;
    routing_settings routing;
    /// Lookups of entry addresses and readiness checks; used only if `platformPublishesItems`.
    directory_endpoint_settings directory;
    entry_settings entry;
    operator_settings operatorEndpoint;
    /// Keys for peer messages. The first key signs; all keys are accepted for verification.
    std::vector<shared_key> keys;
    log_level level = log_level::info;
    /// 0 selects a random seed.
    std::uint64_t seed = 0;
    /// All parsed values. The transports read the settings that they declare from here.
    settings values;
};

/// Returns the declarations of all settings, including those of the transports, in the order of the
/// reference page.
std::vector<setting_declaration>
daemonDeclarations(const std::vector<setting_declaration> &transportDeclarations);

/// Parses and validates the text of a settings file.
/// \return the settings, or all faults, sorted by line.
tl::expected<daemon_settings, std::vector<setting_fault>>
parseDaemonSettings(std::string_view text, const std::vector<setting_declaration> &declarations);

/// Sets the start number of the process and the seeds.
/// \param unixMs wall-clock time, milliseconds since 1970.
/// \param randomBits random bits, different for each start.
void assignProcessIdentity(daemon_settings &target, std::int64_t unixMs, std::uint64_t randomBits);

/// Returns the contents of docs/CONFIGURATION.md.
std::string daemonReference(const std::vector<setting_declaration> &declarations);

} // namespace almondnotch
