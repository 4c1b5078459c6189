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

/// A secret that all gateways share, under the name that envelopes carry.
struct shared_key
{
    std::string id;
    std::string secret;

    bool operator==(const shared_key &) const = default;
};

/// Everything that the daemon's settings file says, in the form that the services take.
struct daemon_settings
{
    /// Start number and seeds are still unset; `identify` fills them in.
    gateway_settings decisions;
    /// True if routes and workers are published as items: `routing` then holds in place of
    /// `decisions`.
    bool publishesItems = false;
    routing_settings routing;
    directory_endpoint_settings directory;
    entry_settings entry;
    operator_settings operators;
    /// The first signs, all are accepted.
    std::vector<shared_key> keys;
    log_level level = log_level::info;
    /// 0 asks for a random one.
    std::uint64_t seed = 0;
    /// For the settings that transports declare themselves.
    settings values;
};

/// Declarations of all settings that no transport declares itself, with those of the transports, in
/// the order of the reference page.
std::vector<setting_declaration>
daemonDeclarations(const std::vector<setting_declaration> &transportDeclarations);

/// Reads a settings file.
/// \return the settings, or every fault that was found, by line.
tl::expected<daemon_settings, std::vector<setting_fault>>
parseDaemonSettings(std::string_view text, const std::vector<setting_declaration> &declarations);

/// Gives the process its start number and seeds.
/// \param unixMs wall clock, milliseconds since 1970.
/// \param randomBits differ with each start.
void identify(daemon_settings &target, std::int64_t unixMs, std::uint64_t randomBits);

/// docs/CONFIGURATION.md.
std::string daemonReference(const std::vector<setting_declaration> &declarations);

} // namespace almondnotch
