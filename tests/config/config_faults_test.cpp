#include <boost/test/unit_test.hpp>

#include "config/bounds.h"
#include "tests/config/sample_texts.h"

namespace almondnotch {

namespace {

/// One edit of the valid text, and the line and message of the only fault it must cause.
struct fault_case
{
    std::string from;
    std::string to;
    std::string line;
    std::string message;
};

void checkOnlyFault(const fault_case &each)
{
    const std::vector<std::string> faults = faultsOf(replaced(validText(), each.from, each.to));
    BOOST_TEST_CONTEXT(each.to)
    {
        BOOST_REQUIRE_EQUAL(faults.size(), 1U);
        BOOST_TEST_INFO(faults[0]);
        BOOST_TEST(faults[0].find(each.message) != std::string::npos);
        BOOST_TEST(faults[0].rfind("set.toml:" + each.line + ":", 0) == 0U);
    }
}

} // namespace

// Guards against a base text with faults of its own, which would invalidate the other tests of this
// file.
BOOST_AUTO_TEST_CASE(accepts_a_valid_set)
{
    const std::vector<std::string> faults = faultsOf(validText());
    BOOST_TEST(faults.empty(), (faults.empty() ? "" : faults[0]));
}

// Guards against a kind of fault that is accepted, reported twice, or reported at the wrong line.
BOOST_AUTO_TEST_CASE(reports_each_kind_of_fault)
{
    const std::vector<fault_case> cases {
        {"region = \"home\"", "region = ", "6", "invalid TOML"},
        {"[limits]", "[limit]", "1", "did you mean \"limits\"?"},
        {"[[class]]", "[class]", "20", "expected a list of tables [[class]], found a table"},
        {"slots = 4\n", "\n", "24", "\"slots\" is missing"},
        {"idempotent = true", "idempotnt = true", "47", "did you mean \"idempotent\"?"},
        {"vm = \"host-1\"", "vm = 5", "34", "vm: expected the name of a VM, found 5"},
        {"vm = \"host-1\"", "vm = \"a/b\"", "34", "vm: expected the name of a VM (1 to 63"},
        {"slots = 4", "slots = 4.5", "27", "expected a whole number from 1 to 10000, found 4.5"},
        {"one_way_ms = 1.5", "one_way_ms = nan", "7", "expected a number from 0 to 1000"},
        {"idempotent = true", "idempotent = \"yes\"", "47", "expected true or false"},
        {"\"192.0.2.50:8000\"", "\"till.example:8000\"", "35", "expected an IP address and a port"},
        {"\"192.0.2.50:8000\"", "\"192.0.2.50:0\"", "35", "expected a port from 1 to 65535"},
        {"\"192.0.2.50:8000\"", "\"0.0.0.0:80\"", "35",
         "expected a unicast IP address other than 0.0.0.0 and ::"},
        {"\"192.0.2.50:8000\"", "\"192.0.2.1:80\"", "35", "taken by the entry_vm"},
        {"service = \"sales\"", "service = \"sale\"", "46", "did you mean \"sales\"?"},
        {"group = \"till\"\nclass", "group = \"tills\"\nclass", "39", "did you mean \"till\"?"},
        {"class = \"normal\"", "class = \"norml\"", "40", "did you mean \"normal\"?"},
        {"budget = \"modest\"", "budget = \"modes\"", "26", "did you mean \"modest\"?"},
        {"failure_domain = \"east\"\nvm", "failure_domain = \"west\"\nvm", "33", "found \"west\""},
        {"class = \"normal\"", "class = \"normal\"\nfallback = \"sale\"", "41",
         "fallback: expected"},
        {"class = \"normal\"", "class = \"normal\"\nfallback = \"sales\"", "41",
         "expected a chain without a cycle, found sales -> sales"},
        {"[\"GET\"]", "[\"get\"]", "45", "found \"get\"; did you mean \"GET\"?"},
        {"[\"GET\"]", "[\"GET\", \"GET\"]", "45", "listed twice"},
        {"[\"GET\"]", "[]", "45", "at least one method"},
        {"\"/sales\"", "\"/sales/\"", "44", "without \"/\" at the end"},
        {"\"/sales\"", "\"/sales?day=1\"", "44", "printable ASCII"},
        {"\"/sales\"", "\"/a/../b\"", "44", "segments"},
        {"\"/sales\"", "\"/.well-known/almondnotch/entry\"", "44", "the gateway answers itself"},
        {"max_gateways = 4", "max_gateways = 4\nselection = \"power_of_too\"", "3",
         "did you mean \"power_of_two\"?"},
        {"probes_per_second = 2.0", "probes_per_second = 0.006", "17", "once in 10 minutes"},
        {"bytes_per_second = 600", "bytes_per_second = 599", "18", "expected at least 600"},
        {"connections = 100", "connections = 3", "28",
         "expected at least max_gateways (4), found 3"},
        {"[[rule]]",
         "[[group]]\nname = \"spare\"\nbudget = \"modest\"\nslots = 1\n"
         "connections = 4\n[[rule]]",
         "42", "expected at least one [[worker]] with group = \"spare\""},
        {"[[rule]]", "[[class]]\nname = \"normal\"\nrank = 2\n[[rule]]", "43",
         "the name \"normal\" is taken by the class at set.toml:20"},
        {"[[rule]]",
         "[[rule]]\nname = \"other\"\npath_prefix = \"/sales\"\nservice = \"sales\"\n"
         "[[rule]]",
         "48", "the rule other at set.toml:42 already matches every method"},
        {"[[rule]]",
         "[[rule]]\nname = \"other\"\npath_prefix = \"/sales\"\nmethods = [\"POST\", "
         "\"GET\"]\nservice = \"sales\"\n[[rule]]",
         "49", "already matches GET for \"/sales\""},
    };
    for (const fault_case &each : cases)
        checkOnlyFault(each);
}

// Guards against a probe budget that is divided among fewer gateways than are running.
BOOST_AUTO_TEST_CASE(refuses_more_entry_vms_than_gateways)
{
    std::string text = replaced(validText(), "max_gateways = 4", "max_gateways = 1");
    text += "[[entry_vm]]\nname = \"entry-2\"\nfailure_domain = \"east\"\n"
            "entry_address = \"192.0.2.2:80\"\npeer_address = \"192.0.2.2:7100\"\n";
    const std::vector<std::string> faults = faultsOf(text);
    BOOST_REQUIRE_EQUAL(faults.size(), 1U);
    BOOST_TEST(faults[0].rfind("set.toml:2: limits: max_gateways: expected at least", 0) == 0U);
}

// Guards against validation that stops at the first fault, or at the first file with one.
BOOST_AUTO_TEST_CASE(reports_all_faults_of_several_files_in_one_run)
{
    std::string first = replaced(validText(), "slots = 4", "slots = \"four\"");
    first = replaced(first, "class = \"normal\"", "class = \"normally\"");
    first = replaced(first, "idempotent = true", "idempotnt = true");
    const tl::expected<config_objects, std::vector<config_fault>> parsed = parseConfig(
        {{"a.toml", first},
         {"b.toml", "[limits]\nmax_gateways = 0\n[[service]]\nname = \"sales\"\ngroup = \"till\"\n"
                    "class = \"normal\"\n"}});
    BOOST_REQUIRE(!parsed);
    std::vector<std::string> locations;
    for (const config_fault &fault : parsed.error())
        locations.push_back(fault.file + ":" + std::to_string(fault.line) + " " + fault.object);
    const std::vector<std::string> expected {"a.toml:27 group till",      "a.toml:40 service sales",
                                             "a.toml:47 rule sales-read", "b.toml:1 limits",
                                             "b.toml:2 limits",           "b.toml:4 service sales"};
    BOOST_TEST(locations == expected, boost::test_tools::per_element());
}

// Guards against a syntax fault that hides a second one, or that floods the report with names that
// only seem to be missing.
BOOST_AUTO_TEST_CASE(reports_several_syntax_faults_of_one_file)
{
    std::string text = replaced(validText(), "rank = 1", "rank = = 1");
    text = replaced(text, "vm = \"host-1\"", "vm = \"host-1");
    text = replaced(text, "slots = 4", "slots = 0");
    const std::vector<std::string> faults = faultsOf(text);
    BOOST_REQUIRE_EQUAL(faults.size(), 3U);
    BOOST_TEST(faults[0].rfind("set.toml:22: invalid TOML", 0) == 0U);
    BOOST_TEST(faults[1].rfind("set.toml:27: group till: slots", 0) == 0U);
    BOOST_TEST(faults[2].rfind("set.toml:34: invalid TOML", 0) == 0U);
}

// Guards against fallbacks that pass a call around forever, and against reporting one cycle twice.
BOOST_AUTO_TEST_CASE(reports_a_fallback_cycle_once)
{
    std::string text = validText();
    for (const std::string pair : {"ab", "bc", "cb"})
        text += "[[service]]\nname = \"" + pair.substr(0, 1)
                + "\"\ngroup = \"till\"\nclass = \"normal\"\nfallback = \"" + pair.substr(1)
                + "\"\n";
    const std::vector<std::string> faults = faultsOf(text);
    BOOST_REQUIRE_EQUAL(faults.size(), 1U);
    BOOST_TEST(faults[0].find("service b: fallback: expected a chain without a cycle, found "
                              "b -> c -> b")
               != std::string::npos);
}

// Guards against an empty configuration, which would stop all traffic once published.
BOOST_AUTO_TEST_CASE(refuses_an_empty_set)
{
    BOOST_TEST(faultsOf("").size() == 1U);
    BOOST_TEST(!parseConfig({}).has_value());
}

} // namespace almondnotch
