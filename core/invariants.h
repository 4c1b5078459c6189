#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace almondnotch {

/// Named invariants, checked at run time where they could be violated, in production builds as well
/// as in tests. The state dump shows how often each was checked and how often it failed.
class invariant_set
{
public:
    /// Called with the name and a detail on each failure. Tests throw from it; the daemon logs.
    using failure_handler = std::function<void(std::string_view name, const std::string &detail)>;

    void setFailureHandler(failure_handler handler) { m_onFailure = std::move(handler); }

    /// Records one check. `name` must be a string literal or outlive the set.
    /// \return `condition`, so that the calling code can abort its operation.
    bool check(std::string_view name, bool condition, std::string_view detail = {});

    std::uint64_t failures() const { return m_failures; }
    std::uint64_t checks() const;

    nlohmann::json dump() const;

private:
    struct check_counts
    {
        std::uint64_t checks = 0;
        std::uint64_t failures = 0;
        std::string lastDetail;
    };

    std::map<std::string_view, check_counts> m_counts;
    std::uint64_t m_failures = 0;
    failure_handler m_onFailure;
};

} // namespace almondnotch
