#pragma once

#include <string>
#include <vector>

#include <peer.pb.h>

#include "core/error.h"

namespace almondnotch {

/// Highest protocol number that this version accepts; it also accepts the previous one.
constexpr unsigned peerProtocolCurrent = 2;
constexpr unsigned peerProtocolPrevious = 1;

/// A secret key that all gateways share.
struct peer_key
{
    std::string id;
    std::string secret;

    bool operator==(const peer_key &) const = default;
};

/// Signs and verifies envelopes. The first key signs and all keys are accepted, so that keys can be
/// rotated: add the new key at the end on every gateway, then move it to the front on every
/// gateway, then remove the old one.
class envelope_authenticator
{
public:
    /// \return an error if there is no key, a key has no id or a secret of less than 16 bytes, or
    /// two keys have the same id.
    static result<envelope_authenticator> create(std::vector<peer_key> keys);

    /// Sets the key id and the MAC. All other fields must have been set before.
    void sign(peer::v1::Envelope &envelope) const;

    /// Checks the protocol number, the key id and the MAC.
    /// \return the error `unsupported_version` for an unknown protocol number, `not_found` for an
    /// unknown key id, `authentication_failed` for a wrong MAC.
    result<void> verify(const peer::v1::Envelope &envelope) const;

private:
    explicit envelope_authenticator(std::vector<peer_key> keys) : m_keys(std::move(keys)) { }

    std::vector<peer_key> m_keys;
};

} // namespace almondnotch
