#include <boost/test/unit_test.hpp>

#include "core/settings.h"

namespace almondnotch {

namespace {

std::vector<setting_declaration> sampleDeclarations()
{
    return {
        {"calls.in_progress_max", std::int64_t(100), 1, 1000, "calls", "Calls in progress.", false,
         false},
        {"vm.name", std::string(), 0, 0, "", "Name of this VM.", true, false},
        {"peer.secret", std::string("hidden"), 0, 0, "", "Key of the peers.", false, true},
    };
}

} // namespace

// Guards against validation that shows only the first fault of a settings file.
BOOST_AUTO_TEST_CASE(reports_every_fault_with_its_line)
{
    const tl::expected<settings, std::vector<setting_fault>> parsed = settings::parse(
        "[calls]\nin_progress_max = 5000\nin_progres_max = 3\n", sampleDeclarations());
    BOOST_REQUIRE(!parsed);
    BOOST_TEST(parsed.error().size() == 3U);
    BOOST_TEST(parsed.error()[0].line == 2);
    BOOST_TEST(parsed.error()[1].name == "vm.name");
    BOOST_TEST(parsed.error()[2].line == 3);
    BOOST_TEST(parsed.error()[2].message.find("calls.in_progress_max") != std::string::npos);
}

// Guards against a value of the wrong type that silently falls back to the default.
BOOST_AUTO_TEST_CASE(refuses_a_value_of_another_type)
{
    const tl::expected<settings, std::vector<setting_fault>> parsed = settings::parse(
        "[calls]\nin_progress_max = \"many\"\n[vm]\nname = \"a\"\n", sampleDeclarations());
    BOOST_REQUIRE(!parsed);
    BOOST_TEST(parsed.error().size() == 1U);
}

// Guards against secrets that appear in dumps and logs.
BOOST_AUTO_TEST_CASE(hides_secrets_in_the_description)
{
    const tl::expected<settings, std::vector<setting_fault>> parsed
        = settings::parse("[vm]\nname = \"a\"\n", sampleDeclarations());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->integer("calls.in_progress_max") == 100);
    BOOST_TEST(parsed->describe().find("hidden") == std::string::npos);
}

} // namespace almondnotch
