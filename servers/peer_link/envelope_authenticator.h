#pragma once

#include <string>
#include <vector>

#include <peer.pb.h>

#include "core/error.h"

namespace almondnotch {

/// Highest protocol number that this version understands; it also understands the one before.
constexpr unsigned peerProtocolCurrent = 2;
constexpr unsigned peerProtocolPrevious = 1;

/// A secret that gateways share.
struct peer_key
{
    std::string id;
    std::string secret;

    bool operator==(const peer_key &) const = default;
};

/// Signs and checks envelopes. The first key signs, all are accepted, so that keys can be rotated:
/// add the new key last everywhere, then move it to the front everywhere, then remove the old one.
class envelope_authenticator
{
public:
    /// \return an error if there is no key, or one without id or with a secret under 16 bytes, or
    /// two with the same id.
    static result<envelope_authenticator> create(std::vector<peer_key> keys);

    /// Sets key id and MAC. All other fields must be set.
    void sign(peer::v1::Envelope &envelope) const;

    /// \return `unsupported_version` for the protocol number, `not_found` for the key id,
    /// `authentication_failed` for the MAC.
    result<void> verify(const peer::v1::Envelope &envelope) const;

private:
    explicit envelope_authenticator(std::vector<peer_key> keys) : m_keys(std::move(keys)) { }

    std::vector<peer_key> m_keys;
};

} // namespace almondnotch
