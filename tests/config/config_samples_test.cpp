#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "core/random_source.h"
#include "tests/config/sample_texts.h"

namespace almondnotch {

namespace {

config_objects parseSample(const std::string &sample)
{
    const tl::expected<config_objects, std::vector<config_fault>> parsed
        = parseConfig(sampleSet(sample));
    BOOST_REQUIRE_MESSAGE(parsed.has_value(),
                          (parsed ? std::string() : toString(parsed.error().front())));
    return *parsed;
}

std::size_t countWorkers(const config_objects &objects, const std::string &group)
{
    std::size_t count = 0;
    for (const worker_config &worker : objects.workers)
        count += worker.group == group ? 1U : 0U;
    return count;
}

/// Applies one random edit: inserts a byte, erases or duplicates a range, or overwrites a range
/// with text from another place.
void mutate(std::string &text, random_source &random)
{
    using std::string_view_literals::operator""sv;
    constexpr std::string_view bytes = "[]{}\"'\\=.,#\n\r\t 0-9eE_xné\0\x7f\xff"sv;
    const std::size_t at = random.below(text.size() + 1);
    const std::size_t length = random.below(40);
    const std::size_t from = random.below(text.size() + 1);
    switch (random.below(4)) {
    case 0:
        text.insert(at, 1, bytes[random.below(bytes.size())]);
        break;
    case 1:
        text.erase(at, length);
        break;
    case 2:
        text.insert(at, text.substr(at, length));
        break;
    default:
        text.replace(at, std::min(length, text.size() - at), text.substr(from, length));
        break;
    }
}

} // namespace

// Guards against samples that fail validation although operators copy them, or that have other
// counts than the deployments they describe.
BOOST_AUTO_TEST_CASE(samples_are_valid_and_have_the_expected_counts)
{
    const config_objects kestrelwood = parseSample("kestrelwood");
    BOOST_TEST(kestrelwood.failureDomains.size() == 3U);
    BOOST_TEST(kestrelwood.entryVms.size() == 16U);
    BOOST_TEST(countWorkers(kestrelwood, "design-catalogue") == 13U);
    BOOST_TEST(countWorkers(kestrelwood, "order-intake") == 7U);
    BOOST_TEST(countWorkers(kestrelwood, "payments") == 6U);
    BOOST_TEST(countWorkers(kestrelwood, "proof-viewer") == 6U);
    const config_objects horvatic = parseSample("horvatic");
    BOOST_TEST(horvatic.failureDomains.size() == 4U);
    BOOST_TEST(horvatic.entryVms.size() == 16U);
    BOOST_TEST(countWorkers(horvatic, "pole-availability") == 17U);
    BOOST_TEST(countWorkers(horvatic, "feast-day-booking") == 9U);
    BOOST_TEST(countWorkers(horvatic, "cart-pickup-dispatch") == 8U);
    BOOST_TEST(countWorkers(horvatic, "condition-records") == 8U);
}

// Guards against a sample that lets a business operation run twice.
BOOST_AUTO_TEST_CASE(business_operations_of_the_samples_are_not_idempotent)
{
    for (const std::string sample : {"kestrelwood", "horvatic"}) {
        const shared_config set = config_set::create(1, "", parseSample(sample));
        for (const std::string path : {"/orders", "/payments", "/bookings", "/pickups"}) {
            const std::optional<route> write = set->findRoute("POST", path);
            const std::optional<route> read = set->findRoute("GET", path);
            BOOST_TEST(write.has_value() == read.has_value());
            if (write)
                BOOST_TEST((!write->rule->idempotent && read->rule->idempotent));
        }
    }
}

// Guards against texts that crash the parser, make it throw, or give fault messages that are not
// valid UTF-8.
BOOST_AUTO_TEST_CASE(mutated_samples_never_crash_the_parser)
{
    constexpr std::uint64_t seed = 20261204;
    random_source random(seed);
    std::size_t refused = 0;
    constexpr int rounds = 1500;
    for (int round = 0; round < rounds; ++round) {
        std::vector<config_text> texts = sampleSet(round % 2 == 0 ? "kestrelwood" : "horvatic");
        for (std::uint64_t edit = 1 + random.below(4); edit > 0; --edit)
            mutate(texts[random.below(texts.size())].text, random);
        BOOST_TEST_CONTEXT("seed " << seed << " round " << round)
        {
            tl::expected<config_objects, std::vector<config_fault>> parsed;
            BOOST_REQUIRE_NO_THROW(parsed = parseConfig(texts));
            if (parsed)
                continue;
            ++refused;
            for (const config_fault &fault : parsed.error())
                BOOST_REQUIRE_NO_THROW(nlohmann::json(fault.message).dump());
        }
    }
    // Most edits must be detected; otherwise the validation has become ineffective.
    BOOST_TEST(refused > rounds / 2);
}

} // namespace almondnotch
