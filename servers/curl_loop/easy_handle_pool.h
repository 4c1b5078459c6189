#pragma once

#include <cstddef>
#include <vector>

#include <curl/curl.h>

namespace almondnotch {

/// Easy handles for reuse. The connections belong to the multi handle, so that a handle carries
/// nothing from one transfer to the next.
class easy_handle_pool
{
public:
    /// \param idleMax handles that are kept; more are freed.
    explicit easy_handle_pool(std::size_t idleMax) : m_idleMax(idleMax) { }
    easy_handle_pool(const easy_handle_pool &) = delete;
    easy_handle_pool &operator=(const easy_handle_pool &) = delete;
    ~easy_handle_pool();

    /// A handle with the options that all transfers share: HTTP/1.1 only, no redirects, no proxy,
    /// no signals, TCP_NODELAY. \return null if memory is short.
    CURL *acquire();

    /// Takes back a handle that is in no multi handle.
    void release(CURL *handle);

private:
    std::size_t m_idleMax;
    std::vector<CURL *> m_idle;
};

} // namespace almondnotch
