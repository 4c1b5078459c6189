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

/// A manifest and its parts by hash.
struct sample_config_set
{
    std::string manifest;
    std::map<std::string, std::string> parts;
    config_manifest parsedManifest;
};

/// A valid set of two parts: `fleet.toml`, which is the same in all versions, and `services.toml`.
sample_config_set sampleConfigSet(std::uint64_t version, unsigned gateways);

/// Builds a set from the given parts, which the manifest lists in this order.
sample_config_set makeSampleConfigSet(std::uint64_t version, const std::vector<config_text> &texts);

/// Size of a message on the wire: protobuf fields, the envelope with its MAC, HTTP/2 framing.
std::uint64_t messageBytes(const peer_message &message);

} // namespace almondnotch
