#include <boost/test/unit_test.hpp>

#include <set>

#include "decision/fleet/entry_selector.h"
#include "tests/decision/fleet/sample_config.h"

namespace almondnotch {

namespace {

/// The first `count` gateways, each with 10 calls in progress.
std::vector<entry_candidate> candidatesOf(unsigned count)
{
    std::vector<entry_candidate> out;
    for (unsigned i = 0; i < count; ++i)
        out.push_back({vmName(i), failureDomainName(i), entryAddressOf(i), 10});
    return out;
}

/// 1,000 callers, each of which requests its addresses from a random gateway.
struct caller_population
{
    caller_population() : selectors(16, entry_selector(random)), responses(1000) { }

    void requestAddresses(unsigned caller, const std::vector<entry_candidate> &candidates)
    {
        now = now + milliseconds(10);
        responses[caller] = selectors[random.below(candidates.size())].choose(
            now, "catalogue", candidates, seconds(10));
    }

    /// Ratio of the largest to the mean number of callers of a gateway. A caller uses the first
    /// address of its response.
    double largestToMeanRatio(std::size_t gateways) const
    {
        std::map<std::string, unsigned> callers;
        unsigned largest = 0;
        for (const std::vector<std::string> &response : responses)
            largest = std::max(largest, ++callers[response.front()]);
        return largest * static_cast<double>(gateways) / static_cast<double>(responses.size());
    }

    random_source random {11};
    std::vector<entry_selector> selectors;
    std::vector<std::vector<std::string>> responses;
    instant now {seconds(5)};
};

} // namespace

// Guards against entry responses that direct more callers to some gateways than to others.
BOOST_AUTO_TEST_CASE(callers_are_spread_evenly_even_after_a_gateway_is_lost)
{
    caller_population population;
    for (unsigned i = 0; i < 1000; ++i)
        population.requestAddresses(i, candidatesOf(16));
    const double before = population.largestToMeanRatio(16);
    BOOST_TEST(before <= 1.25);
    // Callers of the lost gateway use their next address until they request new ones.
    const std::vector<entry_candidate> remaining = candidatesOf(15);
    for (std::vector<std::string> &response : population.responses)
        if (response.front() == entryAddressOf(15))
            response.erase(response.begin());
    const double during = population.largestToMeanRatio(15);
    BOOST_TEST(during <= 1.25);
    for (unsigned i = 0; i < 1000; ++i)
        population.requestAddresses(i, remaining);
    const double after = population.largestToMeanRatio(15);
    BOOST_TEST(after <= 1.25);
    BOOST_TEST_MESSAGE("largest_to_mean before=" << before << " during=" << during
                                                 << " after=" << after);
}

// Guards against responses whose addresses all become unreachable when one failure domain fails.
BOOST_AUTO_TEST_CASE(addresses_are_in_different_failure_domains)
{
    random_source random(3);
    entry_selector selector(random);
    for (unsigned count = 1; count <= 40; ++count) {
        const std::vector<std::string> addresses
            = selector.choose(instant(seconds(1)), "orders", candidatesOf(count), seconds(10));
        BOOST_TEST(addresses.size() == std::min(3U, count));
        std::set<std::string> domains;
        for (const std::string &address : addresses)
            for (const entry_candidate &candidate : candidatesOf(count))
                if (candidate.entryAddress == address)
                    domains.insert(candidate.failureDomain);
        BOOST_TEST(domains.size() == addresses.size());
    }
}

// Guards against subsets whose gateways are in too few failure domains, and against subsets of
// which more than two gateways change when one gateway is lost.
BOOST_AUTO_TEST_CASE(gateway_subset_is_small_spread_and_stable)
{
    std::map<std::string, unsigned> serviceCounts;
    for (unsigned service = 0; service < 1000; ++service) {
        const std::string name = "service-" + std::to_string(service);
        std::set<std::string> domains;
        std::set<std::string> members;
        for (const entry_candidate &candidate : gatewaySubset(name, candidatesOf(200))) {
            domains.insert(candidate.failureDomain);
            members.insert(candidate.vm);
            ++serviceCounts[candidate.vm];
        }
        BOOST_TEST(members.size() == entrySubsetSize);
        BOOST_TEST(domains.size() >= 3U);
        unsigned kept = 0;
        for (const entry_candidate &candidate : gatewaySubset(name, candidatesOf(199)))
            kept += members.contains(candidate.vm) ? 1 : 0;
        BOOST_TEST(kept + 2 >= entrySubsetSize);
    }
    BOOST_TEST(serviceCounts.size() == 200U);
}

// Guards against directing callers to the gateway with the most calls in progress.
BOOST_AUTO_TEST_CASE(loaded_gateway_gets_fewer_callers)
{
    random_source random(3);
    entry_selector selector(random);
    std::vector<entry_candidate> candidates = candidatesOf(8);
    candidates[0].callsInProgress = 500;
    std::map<std::string, unsigned> callers;
    for (unsigned i = 0; i < 800; ++i)
        ++callers[selector.choose(instant(seconds(1)), "orders", candidates, seconds(10)).front()];
    BOOST_TEST(callers[candidates[0].entryAddress] < 60U);
}

} // namespace almondnotch
