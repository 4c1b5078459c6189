#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/fleet/config_store.h"
#include "decision/fleet/platform_reader.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Selects the source from which the manifest and the parts of the next configuration set are
/// fetched: the peer that advertised the set, another peer that did, or the platform. Fetches one
/// set at a time, the newest.
class config_fetcher
{
public:
    struct peer_request
    {
        std::string peerAddress;
        config_request request;
    };

    /// All arguments must outlive the object.
    config_fetcher(config_store &store, platform_reader &reader, random_source &random,
                   counter_set &counters);

    /// Handles the advertisement of a peer's active set. Starts to fetch the set if it is newer
    /// than the known ones.
    void peerAdvertised(instant now, const std::string &peerAddress, std::uint64_t version,
                        const std::string &manifestSha256);
    /// Removes the peer's advertisement, so that it is no longer selected as a source.
    void forgetPeer(const std::string &peerAddress);
    /// A message to the peer could not be delivered; a request sent to it becomes due for a retry.
    void peerFailed(instant now, const std::string &peerAddress);

    /// Starts to fetch the parts of the store's pending set, whose manifest came from the platform.
    void startFromPlatform(instant now);

    /// True if the manifest was requested and has not arrived.
    bool expectsManifest(std::uint64_t version, const std::string &manifestSha256) const;
    /// Records that a part arrived, or the manifest if `key` is "manifest".
    void valueReceived(instant now, const std::string &key);
    /// Ends the fetch if its set was activated, staged, rejected or superseded.
    void stopIfResolved();

    /// Returns the request to send now, if one is due.
    std::optional<peer_request> nextRequest(instant now);
    instant nextWake() const;

    nlohmann::json dump() const;

private:
    struct advertisement
    {
        std::uint64_t version = 0;
        std::string manifestSha256;
    };

    std::optional<std::string> pickPeer(const std::string &excluded);
    /// Selects another peer or the platform as the source. \return true if a peer request is due.
    bool switchSource(instant now);
    /// Ends the fetch and discards the store's pending set, since no source has delivered it.
    void abandon();
    /// Ends the fetch; the store keeps its pending set.
    void stop();

    config_store &m_store;
    platform_reader &m_reader;
    random_source &m_random;
    counter_set &m_counters;
    /// Newest set that each peer advertised. The owner calls `forgetPeer()` for peers that are
    /// gone.
    std::map<std::string, advertisement> m_advertisements;
    /// The set that is being fetched; version 0 if none is.
    std::uint64_t m_version = 0;
    std::string m_manifestSha256;
    bool m_hasManifest = false;
    bool m_isPlatformSource = false;
    std::string m_peerAddress;
    /// Parts that were requested and have not arrived.
    std::set<std::string> m_requestedParts;
    bool m_isRequestSent = false;
    instant m_retryAt;
    unsigned m_attempts = 0;
};

} // namespace almondnotch
