#pragma once

#include <string_view>

#include <curl/curl.h>

namespace almondnotch {

/// Request headers as the linked list that libcurl expects.
class header_list
{
public:
    header_list() = default;
    header_list(const header_list &) = delete;
    header_list &operator=(const header_list &) = delete;
    ~header_list();

    /// Adds a header. An empty value is sent as a header without a value.
    void add(std::string_view name, std::string_view value);

    /// Prevents libcurl from adding this header automatically.
    void suppress(std::string_view name);

    curl_slist *get() const { return m_list; }

private:
    void append(const char *line);

    curl_slist *m_list = nullptr;
};

} // namespace almondnotch
