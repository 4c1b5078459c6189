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
/// fetched: the peer whose advertisement started the fetch, another peer that advertised the same
/// set, or the platform. Fetches one set at a time, the newest.
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
    /// than the one being fetched and the store needs it. If the same set is being fetched from the
    /// platform, the fetch continues with the peer.
    void peerAdvertised(instant now, const std::string &peerAddress, std::uint64_t version,
                        const std::string &manifestSha256);
    /// Removes the peer's advertisement, so that no fetch switches to this peer. A fetch from this
    /// peer continues.
    void forgetPeer(const std::string &peerAddress);
    /// Records that a message to the peer could not be delivered: removes the peer's advertisement.
    /// If a request to the peer is outstanding, it becomes due for a retry at once.
    void peerFailed(instant now, const std::string &peerAddress);

    /// Starts to fetch the parts of the store's pending set, whose manifest came from the platform,
    /// unless a newer set or the parts of this set are being fetched already.
    void startFromPlatform(instant now);

    /// True if the set with this version and manifest hash is being fetched and its manifest has
    /// not arrived.
    bool expectsManifest(std::uint64_t version, const std::string &manifestSha256) const;
    /// Records that the value `key` arrived: "manifest" or the SHA-256 of a part.
    void valueReceived(instant now, const std::string &key);
    /// Ends the fetch if its set was activated, staged, rejected, dropped or superseded.
    void stopIfResolved();

    /// Returns the peer request to send now, if one is due. Selects another source if the present
    /// one did not answer in time, and abandons the fetch after too many retries.
    std::optional<peer_request> nextRequest(instant now);
    /// Time at which `nextRequest()` must be called next; `instant::never()` if nothing is being
    /// fetched.
    instant nextWake() const;

    nlohmann::json dump() const;

private:
    struct advertisement
    {
        std::uint64_t version = 0;
        std::string manifestSha256;
    };

    /// Address of a random peer other than `excluded` that advertised the set being fetched;
    /// nothing if there is none.
    std::optional<std::string> pickPeer(const std::string &excluded);
    /// Selects as the source another peer that advertised the set, otherwise the platform if the
    /// manifest is known, otherwise the present peer again. \return true if a request to a peer is
    /// due.
    bool switchSource(instant now);
    /// Ends the fetch, since no source has delivered the set. Discards the store's pending set and
    /// resets the known version of the platform's manifest, so that the manifest is read again.
    void abandon();
    /// Ends the fetch; the store keeps its pending set.
    void stop();

    config_store &m_store;
    platform_reader &m_reader;
    random_source &m_random;
    counter_set &m_counters;
    /// Set that each peer advertised last. The owner of the fetcher calls `forgetPeer()` for peers
    /// that are gone.
    std::map<std::string, advertisement> m_advertisements;
    /// Version and manifest hash of the set that is being fetched; version 0 if there is none.
    std::uint64_t m_version = 0;
    std::string m_manifestSha256;
    bool m_hasManifest = false;
    /// If false, the source is the peer at `m_peerAddress`.
    bool m_fetchesFromPlatform = false;
    std::string m_peerAddress;
    /// Parts that were requested from the peer and have not arrived.
    std::set<std::string> m_requestedParts;
    /// True if a request was sent to the peer and not all requested values have arrived.
    bool m_isRequestOutstanding = false;
    /// Time at which a source is selected again if no value arrives before.
    instant m_retryAt;
    /// Consecutive retries since a value was last received or the fetch was started.
    unsigned m_retries = 0;
};

} // namespace almondnotch
