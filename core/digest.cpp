#include "core/digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace almondnotch {

std::string toHex(std::string_view bytes)
{
    static const char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const unsigned value = static_cast<unsigned char>(byte);
        out.push_back(digits[value >> 4U]);
        out.push_back(digits[value & 15U]);
    }
    return out;
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash {};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), hash.data());
    return toHex({reinterpret_cast<const char *>(hash.data()), hash.size()});
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac {};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()), data.size(), mac.data(), &length);
    return {reinterpret_cast<const char *>(mac.data()), length};
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace almondnotch
