#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "config/parser.h"
#include "decision/peer_messages.h"

namespace almondnotch {

constexpr unsigned sampleFailureDomainCount = 4;

std::string vmName(unsigned index);
std::string failureDomainName(unsigned index);
std::string entryAddressOf(unsigned index);
std::string peerAddressOf(unsigned index);
/// Index of the process with this peer address.
unsigned indexOfPeerAddress(const std::string &address);

/// A configuration set: the manifest as text and parsed, and the texts of its parts by hash.
struct sample_config_set
{
    std::string manifest;
    std::map<std::string, std::string> parts;
    config_manifest parsedManifest;
};

/// A valid set of two parts: `fleet.toml`, which is the same in all versions and lists `gateways`
/// entry VMs, and `services.toml`.
sample_config_set sampleConfigSet(std::uint64_t version, unsigned gateways);

/// Builds a set from the given parts, which the manifest lists in this order.
sample_config_set makeSampleConfigSet(std::uint64_t version, const std::vector<config_text> &texts);

/// Approximate size of a message on the wire, in bytes: protobuf fields, the envelope with its MAC,
/// and HTTP/2 framing.
std::uint64_t messageBytes(const peer_message &message);

} // namespace almondnotch
