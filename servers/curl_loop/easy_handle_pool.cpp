#include "servers/curl_loop/easy_handle_pool.h"

namespace almondnotch {

easy_handle_pool::~easy_handle_pool()
{
    for (CURL *handle : m_idle)
        curl_easy_cleanup(handle);
}

CURL *easy_handle_pool::acquire()
{
    CURL *handle = nullptr;
    if (m_idle.empty()) {
        handle = curl_easy_init();
        if (handle == nullptr)
            return nullptr;
    } else {
        handle = m_idle.back();
        m_idle.pop_back();
    }
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    // An empty string also disables the proxy variables of the environment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    return handle;
}

void easy_handle_pool::release(CURL *handle)
{
    if (m_idle.size() >= m_idleMax) {
        curl_easy_cleanup(handle);
        return;
    }
    curl_easy_reset(handle);
    m_idle.push_back(handle);
}

} // namespace almondnotch
