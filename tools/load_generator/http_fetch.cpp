#include "tools/load_generator/http_fetch.h"

#include <curl/curl.h>

namespace almondnotch {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

result<fetch_response> fetchUrl(const std::string &url)
{
    constexpr long timeoutMs = 2000;
    CURL *handle = curl_easy_init();
    if (handle == nullptr)
        return fail(error_code::internal, "fetch", url, "curl_easy_init() failed");
    fetch_response response;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    const CURLcode code = curl_easy_perform(handle);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &response.status);
    curl_easy_cleanup(handle);
    if (code != CURLE_OK)
        return fail(error_code::unavailable, "fetch", url, curl_easy_strerror(code));
    return response;
}

} // namespace almondnotch
