#include "tools/load_generator/caller.h"

#include <nlohmann/json.hpp>

#include "tools/load_generator/http_fetch.h"

namespace almondnotch {

caller::caller(std::vector<std::string> bootstrap, std::string service, bool direct,
               std::uint64_t seed)
    : m_bootstrap(std::move(bootstrap)), m_service(std::move(service)), m_direct(direct),
      m_random(seed)
{ }

std::string caller::addressFor(instant now, unsigned transmission)
{
    if (m_direct)
        return m_bootstrap[m_random.below(m_bootstrap.size())];
    if (now >= m_expiresAt)
        refresh(now);
    if (m_addresses.empty())
        return m_bootstrap[m_random.below(m_bootstrap.size())];
    // The gateway returns the addresses in order of preference.
    return m_addresses[transmission % m_addresses.size()];
}

void caller::refresh(instant now)
{
    // Addresses from the last response are queried before those from the command line, which may
    // be outdated.
    std::vector<std::string> targets = m_addresses;
    const std::size_t first = m_random.below(m_bootstrap.size());
    for (std::size_t i = 0; i < m_bootstrap.size(); ++i)
        targets.push_back(m_bootstrap[(first + i) % m_bootstrap.size()]);
    for (const std::string &target : targets) {
        ++m_queries;
        const result<fetch_response> response
            = fetchUrl("http://" + target + "/.well-known/almondnotch/entry?service=" + m_service);
        if (response && response->status == 200 && applyResponse(now, response->body))
            return;
        ++m_failedQueries;
    }
    m_expiresAt = now + milliseconds(100);
}

bool caller::applyResponse(instant now, const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("addresses"))
        return false;
    m_addresses = document["addresses"].get<std::vector<std::string>>();
    m_expiresAt = now + milliseconds(document.value("keep_ms", 1000));
    // Without a new key range, calls are sent without a key: the gateway that issued the old range
    // may no longer be running.
    m_keyRange = document.value("key_range", "");
    m_nextNumber = 1;
    return !m_addresses.empty();
}

void caller::handleConnectFailure()
{
    if (m_addresses.size() > 1)
        m_addresses.erase(m_addresses.begin());
    m_keyRange.clear();
    m_expiresAt = instant();
}

std::string caller::nextKey()
{
    if (m_keyRange.empty())
        return {};
    return m_keyRange + "/" + std::to_string(m_nextNumber++);
}

} // namespace almondnotch
