#include "servers/peer_link/envelope_authenticator.h"

#include <algorithm>
#include <set>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include "core/digest.h"

namespace almondnotch {

namespace {

/// Minimum length of a secret. Shorter ones could be guessed.
constexpr std::size_t secretBytesMin = 16;

/// Serialises all fields except the MAC, which must be empty, in the order of their numbers and
/// deterministically.
std::string signedBytes(const peer::v1::Envelope &envelope)
{
    std::string bytes;
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    envelope.SerializeToCodedStream(&coded);
    coded.Trim();
    return bytes;
}

} // namespace

result<envelope_authenticator> envelope_authenticator::create(std::vector<peer_key> keys)
{
    if (keys.empty())
        return fail(error_code::invalid_settings, "read peer keys", {},
                    "expected at least one key");
    std::set<std::string> ids;
    for (const peer_key &key : keys) {
        if (key.id.empty() || !ids.insert(key.id).second)
            return fail(error_code::invalid_settings, "read peer keys", key.id,
                        "expected a unique id that is not empty");
        if (key.secret.size() < secretBytesMin)
            return fail(error_code::invalid_settings, "read peer keys", key.id,
                        "expected a secret of at least " + std::to_string(secretBytesMin)
                            + " bytes");
    }
    return envelope_authenticator(std::move(keys));
}

void envelope_authenticator::sign(peer::v1::Envelope &envelope) const
{
    envelope.set_key_id(m_keys.front().id);
    envelope.clear_mac();
    envelope.set_mac(hmacSha256(m_keys.front().secret, signedBytes(envelope)));
}

result<void> envelope_authenticator::verify(const peer::v1::Envelope &envelope) const
{
    const std::string &sender = envelope.sender_vm();
    if (envelope.protocol() != peerProtocolCurrent && envelope.protocol() != peerProtocolPrevious)
        return fail(error_code::unsupported_version, "check envelope", sender,
                    "expected protocol " + std::to_string(peerProtocolPrevious) + " or "
                        + std::to_string(peerProtocolCurrent) + ", found "
                        + std::to_string(envelope.protocol()));
    const auto found = std::find_if(m_keys.begin(), m_keys.end(), [&envelope](const peer_key &key) {
        return key.id == envelope.key_id();
    });
    if (found == m_keys.end())
        return fail(error_code::not_found, "check envelope", sender, "the key id is unknown");
    peer::v1::Envelope content(envelope);
    content.clear_mac();
    if (!equalConstantTime(hmacSha256(found->secret, signedBytes(content)), envelope.mac()))
        return fail(error_code::authentication_failed, "check envelope", sender,
                    "the MAC does not match");
    return {};
}

} // namespace almondnotch
