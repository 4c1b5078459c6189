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

/// Maximum number of addresses in an entry response, which tells a caller which gateways accept
/// its calls to a service.
constexpr std::size_t entryAddressesMax = 3;
/// In fleets of up to this many gateways, every gateway serves every service.
constexpr std::size_t entrySubsettingThreshold = 16;
/// Number of gateways that serve a service in a larger fleet (subsetting). With eight gateways, a
/// service stays available and its load remains distributed over several gateways when a failure
/// domain is lost, and each gateway needs connections to the workers of only a few services.
constexpr std::size_t entrySubsetSize = 8;

/// A gateway that may be included in an entry response.
struct entry_candidate
{
    std::string vm;
    std::string failureDomain;
    /// "ip:port" at which the gateway accepts calls of callers.
    std::string entryAddress;
    /// As last reported by the gateway, possibly seconds ago.
    std::uint32_t callsInProgress = 0;
};

/// Selects the addresses of entry responses so that callers are distributed evenly over the
/// gateways.
class entry_selector
{
public:
    /// \param random must outlive the object.
    explicit entry_selector(random_source &random) : m_random(random) { }

    /// Selects at most three addresses, the preferred one first, in different failure domains if
    /// possible.
    /// \param timeToLive how long callers use a response; the load that earlier responses assigned
    /// to an address decays with this time constant.
    std::vector<std::string> choose(instant now, std::string_view service,
                                    std::vector<entry_candidate> candidates, duration timeToLive);

private:
    /// Number of callers that were directed to an address, decaying exponentially.
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

/// Returns the `entrySubsetSize` gateways that serve a service: those with the highest rendezvous
/// scores, in at least three failure domains if there are as many. Returns all candidates if there
/// are at most `entrySubsettingThreshold`.
std::vector<entry_candidate> gatewaySubset(std::string_view service,
                                           std::vector<entry_candidate> candidates);

} // namespace almondnotch
