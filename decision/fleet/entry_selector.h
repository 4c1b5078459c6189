#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"

namespace almondnotch {

/// Most addresses in an entry response.
constexpr std::size_t entryAddressesMax = 3;
/// Fleets up to this size serve every service at every gateway.
constexpr std::size_t entrySubsettingThreshold = 16;
/// Gateways that a service prefers in a larger fleet. Eight keep a service up and its load spread
/// when a failure domain is lost, and leave each gateway with few services per worker connection.
constexpr std::size_t entrySubsetSize = 8;

/// A gateway that may be named to callers.
struct entry_candidate
{
    std::string vm;
    std::string failureDomain;
    std::string entryAddress;
    /// As last heard, which may be seconds ago.
    std::uint32_t callsInProgress = 0;
};

/// Chooses the addresses of entry responses so that callers spread evenly.
class entry_selector
{
public:
    /// \param random outlives the object.
    explicit entry_selector(random_source &random) : m_random(random) { }

    /// At most three addresses, the best first, in different failure domains where there are any.
    /// \param keep how long callers use a response; older responses no longer count as load.
    std::vector<std::string> choose(instant now, std::string_view service,
                                    std::vector<entry_candidate> candidates, duration timeToLive);

private:
    /// Callers sent to an address, decaying exponentially.
    struct decaying_load
    {
        double callers = 0;
        instant updatedAt;
    };

    std::size_t drawWeighted(const std::vector<double> &weights);
    double assignedLoad(instant now, const std::string &address, duration timeToLive) const;

    random_source &m_random;
    std::map<std::string, decaying_load> m_assignedLoads;
};

/// The gateways that a service prefers: the highest rendezvous scores, in at least three failure
/// domains if there are as many. All candidates if the fleet is small.
std::vector<entry_candidate> gatewaySubset(std::string_view service,
                                           std::vector<entry_candidate> candidates);

} // namespace almondnotch
