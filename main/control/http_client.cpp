#include "main/control/http_client.h"

#include <memory>

#include <curl/curl.h>

namespace almondnotch {

namespace {

constexpr long connectTimeoutMs = 2000;
constexpr long timeoutMs = 10000;
/// Maximum size of a response body, bytes. A dump with 11,000 workers, the planned maximum, is far
/// smaller.
constexpr std::size_t responseBytesMax = 64'000'000;

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    std::string &body = *static_cast<std::string *>(target);
    // curl aborts the transfer if the returned count differs from the size of the data.
    if (body.size() + size * count > responseBytesMax)
        return 0;
    body.append(data, size * count);
    return size * count;
}

} // namespace

result<http_response> sendRequest(std::string_view method, const std::string &address,
                                  std::string_view target)
{
    constexpr std::string_view step = "send request";
    const curl_handle handle(curl_easy_init(), &curl_easy_cleanup);
    if (handle == nullptr)
        return fail(error_code::internal, step, address, "curl could not be initialised");
    http_response response;
    std::string url = "http://" + address;
    url += target;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http");
    // A proxy that is set in the environment would connect to its own host's loopback address.
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body);
    if (method == "POST") {
        curl_easy_setopt(handle.get(), CURLOPT_POST, 1L);
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, "");
    }
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK)
        return fail(error_code::unavailable, step, address, curl_easy_strerror(code));
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &response.status);
    return response;
}

std::string encodeQueryValue(std::string_view value)
{
    static const std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char character : value) {
        const unsigned byte = static_cast<unsigned char>(character);
        const bool isLiteral = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z')
                               || (byte >= 'A' && byte <= 'Z') || character == '-'
                               || character == '_' || character == '.' || character == '~'
                               || character == '/';
        if (isLiteral) {
            out.push_back(character);
        } else {
            out.push_back('%');
            out.push_back(digits[byte >> 4U]);
            out.push_back(digits[byte & 15U]);
        }
    }
    return out;
}

} // namespace almondnotch
