#include <boost/test/unit_test.hpp>

#include "core/digest.h"
#include "decision/fleet/config_store.h"
#include "tests/decision/fleet/sample_config.h"

namespace almondnotch {

namespace {

struct store_fixture
{
    /// Offers the manifest of a set and all parts that the store then lacks.
    /// \return outcome of the last offer.
    offer_outcome offer(const sample_config_set &set)
    {
        offer_outcome outcome = store.offerManifest(set.manifest, actions);
        const std::set<std::string> missingParts = store.missingParts();
        offeredPartCount = missingParts.size();
        // Parts may arrive in any order; this is the reverse of the order of their hashes.
        for (auto it = missingParts.rbegin(); it != missingParts.rend(); ++it)
            outcome = store.offerPart(*it, set.parts.at(*it), actions);
        return outcome;
    }

    invariant_set invariants;
    counter_set counters;
    action_list actions;
    config_store store {invariants, counters};
    /// Number of parts that the last call of `offer` supplied.
    std::size_t offeredPartCount = 0;
};

bool isEqual(offer_outcome found, offer_outcome expected)
{
    return found == expected;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_store_suite, store_fixture)

// Guards against replacing the active configuration set with an older one, or with another set of
// the same version.
BOOST_AUTO_TEST_CASE(older_and_conflicting_versions_are_rejected)
{
    BOOST_TEST(isEqual(offer(sampleConfigSet(5, 4)), offer_outcome::activated));
    BOOST_TEST(isEqual(offer(sampleConfigSet(4, 4)), offer_outcome::stale));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(isEqual(offer(sampleConfigSet(5, 6)), offer_outcome::conflicting));
    BOOST_TEST(store.version() == 5U);
    BOOST_TEST(store.manifestSha256() == sha256Hex(sampleConfigSet(5, 4).manifest));
    BOOST_TEST(counters.value("config_refused_total{reason=\"older\"}") == 1U);
    BOOST_TEST(counters.value("config_refused_total{reason=\"conflicting\"}") == 3U);
    const std::ptrdiff_t loggedErrors
        = std::count_if(actions.begin(), actions.end(), [](const action &each) {
              return std::get<write_log>(each).level == log_level::error;
          });
    BOOST_TEST(loggedErrors == 1);
}

// Guards against fetching parts that the store already has.
BOOST_AUTO_TEST_CASE(change_fetches_only_new_parts)
{
    offer(sampleConfigSet(1, 4));
    BOOST_TEST(offeredPartCount == 2U);
    BOOST_TEST(isEqual(offer(sampleConfigSet(2, 4)), offer_outcome::activated));
    BOOST_TEST(offeredPartCount == 1U);
    for (const std::pair<const std::string, std::string> &part : sampleConfigSet(1, 4).parts)
        BOOST_TEST((store.part(part.first) != nullptr)
                   == sampleConfigSet(2, 4).parts.contains(part.first));
}

// Guards against accepting corrupted parts and against activating an incomplete set.
BOOST_AUTO_TEST_CASE(corrupted_part_leaves_the_set_incomplete)
{
    const sample_config_set set = sampleConfigSet(3, 4);
    BOOST_TEST(isEqual(store.offerManifest(set.manifest, actions), offer_outcome::pending));
    const std::string hash = *store.missingParts().begin();
    BOOST_TEST(
        isEqual(store.offerPart(hash, set.parts.at(hash) + " ", actions), offer_outcome::pending));
    BOOST_TEST(
        isEqual(store.offerPart(sha256Hex("x"), "x", actions), offer_outcome::unexpected_part));
    BOOST_TEST(store.missingParts().size() == 2U);
    BOOST_TEST((store.config() == nullptr));
    BOOST_TEST(counters.value("config_parts_refused_total{reason=\"hash\"}") == 1U);
}

// Guards against activating a set with faults, not reporting its faults, or fetching it again and
// again.
BOOST_AUTO_TEST_CASE(faulty_set_is_rejected_once_with_its_faults)
{
    offer(sampleConfigSet(1, 4));
    std::string rules;
    for (int i = 0; i < 150; ++i)
        rules += "[[rule]]\nname = \"r" + std::to_string(i) + "\"\npath_prefix = \"/p"
                 + std::to_string(i) + "\"\nservice = \"none\"\n";
    const sample_config_set rejected = makeSampleConfigSet(2, {{"rules.toml", rules}});
    BOOST_TEST(isEqual(offer(rejected), offer_outcome::rejected));
    BOOST_TEST(store.version() == 1U);
    BOOST_TEST(!store.shouldFetch(2, sha256Hex(rejected.manifest)));
    BOOST_TEST(isEqual(offer(rejected), offer_outcome::rejected));
    BOOST_TEST(offeredPartCount == 0U);
    const nlohmann::json rejections = store.dump()["refused"];
    BOOST_TEST(rejections.size() == 1U);
    BOOST_TEST(rejections[0]["version"] == 2U);
    BOOST_TEST(rejections[0]["faults"].size() == 100U);
    // The corrected set may have the same version, since the faulty one was never active.
    BOOST_TEST(isEqual(offer(sampleConfigSet(2, 4)), offer_outcome::activated));
}

// Guards against sets that exceed the memory of a VM, because they have too many bytes, too large a
// part or too many parts.
BOOST_AUTO_TEST_CASE(sets_beyond_the_bounds_are_rejected)
{
    config_manifest manifest {1, {}};
    for (unsigned i = 0; i < 65; ++i)
        manifest.parts.push_back({"p" + std::to_string(i), sha256Hex(std::to_string(i)), 1000000});
    BOOST_TEST(
        isEqual(store.offerManifest(formatManifest(manifest), actions), offer_outcome::rejected));
    manifest.parts.resize(1);
    manifest.parts[0].bytes = 1000001;
    BOOST_TEST(
        isEqual(store.offerManifest(formatManifest(manifest), actions), offer_outcome::rejected));
    manifest.parts.assign(configPartsMax + 1, {"p", sha256Hex("p"), 1});
    for (std::size_t i = 0; i < manifest.parts.size(); ++i)
        manifest.parts[i].name += std::to_string(i);
    BOOST_TEST(
        isEqual(store.offerManifest(formatManifest(manifest), actions), offer_outcome::rejected));
    BOOST_TEST(store.pendingVersion() == 0U);
}

// Guards against a new process that activates the platform's set although its peers have a newer
// one.
BOOST_AUTO_TEST_CASE(set_below_the_minimum_version_is_staged)
{
    store.setMinimumVersion(7, actions);
    BOOST_TEST(isEqual(offer(sampleConfigSet(5, 4)), offer_outcome::staged));
    BOOST_TEST((store.config() == nullptr));
    BOOST_TEST(store.stagedConfig()->version() == 5U);
    BOOST_TEST(isEqual(offer(sampleConfigSet(7, 4)), offer_outcome::activated));
    BOOST_TEST(!store.setMinimumVersion(0, actions));
    BOOST_TEST(store.version() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
