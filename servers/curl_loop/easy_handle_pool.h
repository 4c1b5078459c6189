#pragma once

#include <cstddef>
#include <vector>

#include <curl/curl.h>

namespace almondnotch {

/// Pool of reusable libcurl easy handles. Connections belong to the multi handle and options are
/// reset on release, so that a handle carries neither from one transfer to the next.
class easy_handle_pool
{
public:
    /// \param idleMax maximum number of idle handles that are kept; further ones are freed.
    explicit easy_handle_pool(std::size_t idleMax) : m_idleMax(idleMax) { }
    easy_handle_pool(const easy_handle_pool &) = delete;
    easy_handle_pool &operator=(const easy_handle_pool &) = delete;
    ~easy_handle_pool();

    /// Returns a handle with the options that all transfers share: HTTP/1.1 only, no redirects, no
    /// proxy, no signals, TCP_NODELAY.
    /// \return null if libcurl cannot allocate a handle.
    CURL *acquire();

    /// Returns a handle to the pool. It must have been removed from its multi handle.
    void release(CURL *handle);

private:
    std::size_t m_idleMax;
    std::vector<CURL *> m_idle;
};

} // namespace almondnotch
