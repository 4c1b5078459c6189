#include "servers/curl_loop/header_list.h"

#include <string>

namespace almondnotch {

header_list::~header_list()
{
    curl_slist_free_all(m_list);
}

void header_list::add(std::string_view name, std::string_view value)
{
    // libcurl sends "Name;" as a header without a value; "Name:" would suppress the header.
    append(value.empty() ? (std::string(name) + ";").c_str()
                         : (std::string(name) + ": " + std::string(value)).c_str());
}

void header_list::suppress(std::string_view name)
{
    append((std::string(name) + ":").c_str());
}

void header_list::append(const char *line)
{
    curl_slist *extended = curl_slist_append(m_list, line);
    if (extended != nullptr)
        m_list = extended;
}

} // namespace almondnotch
