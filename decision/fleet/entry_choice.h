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
constexpr std::size_t entryWholeFleetMax = 16;
/// Gateways that a service prefers in a larger fleet. Eight keep a service up and its load spread
/// when a failure domain is lost, and leave each gateway with few services per worker connection.
constexpr std::size_t entryPreferredGateways = 8;

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
class entry_choice
{
public:
    /// \param random outlives the object.
    explicit entry_choice(random_source &random) : m_random(random) { }

    /// At most three addresses, the best first, in different failure domains where there are any.
    /// \param keep how long callers use a response; older responses no longer count as load.
    std::vector<std::string> choose(instant now, std::string_view service,
                                    std::vector<entry_candidate> candidates, duration keep);

private:
    /// Callers sent to an address, decaying exponentially.
    struct handed_out
    {
        double callers = 0;
        instant at;
    };

    std::size_t draw(const std::vector<double> &weights);
    double handedOut(instant now, const std::string &address, duration keep) const;

    random_source &m_random;
    std::map<std::string, handed_out> m_handedOut;
};

/// The gateways that a service prefers: the highest rendezvous scores, in at least three failure
/// domains if there are as many. All candidates if the fleet is small.
std::vector<entry_candidate> preferredGateways(std::string_view service,
                                               std::vector<entry_candidate> candidates);

} // namespace almondnotch
