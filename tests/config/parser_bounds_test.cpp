#include <boost/test/unit_test.hpp>

#include <ctime>
#include <sstream>

#include "config/bounds.h"
#include "tests/config/sample_texts.h"

namespace almondnotch {

namespace {

/// Returns `validText()` plus the given numbers of services, each with a group of its own, and
/// workers, split into texts within the platform's size limit.
/// \param workerGroup group of all workers; if empty, they are spread evenly over the groups of the
/// services.
std::vector<config_text> largeSet(std::size_t services, std::size_t workers,
                                  const std::string &workerGroup = "")
{
    std::vector<config_text> texts {{"base.toml", validText()}};
    std::ostringstream part;
    for (std::size_t index = 0; index < services; ++index) {
        part << "[[group]]\nname = \"service-" << index
             << "\"\nbudget = \"modest\"\nslots = 6\nconnections = 220\n[[service]]\n"
             << "name = \"service-" << index << "\"\ngroup = \"service-" << index
             << "\"\nclass = \"normal\"\n[[rule]]\nname = \"service-" << index
             << "\"\npath_prefix = \"/service-" << index << "\"\nservice = \"service-" << index
             << "\"\n";
    }
    for (std::size_t index = 0; index < workers; ++index) {
        const std::string group = "service-" + std::to_string(index % services);
        part << "[[worker]]\nname = \"worker-" << index << "\"\ngroup = \""
             << (workerGroup.empty() ? group : workerGroup)
             << "\"\nfailure_domain = \"east\"\nvm = \"host-" << index << "\"\naddress = \"10."
             << index / 65536 << '.' << index / 256 % 256 << '.' << index % 256 << ":8000\"\n";
        // At about 130 bytes per worker, a part stays within the platform's size limit.
        if (index % 4000 == 3999 || index + 1 == workers) {
            texts.push_back({"part.toml", part.str()});
            part.str("");
        }
    }
    return texts;
}

double measureParseSeconds(const std::vector<config_text> &texts,
                           tl::expected<config_objects, std::vector<config_fault>> &parsed)
{
    // CPU time of this process, since elapsed time on a busy machine includes the load of other
    // processes.
    const std::clock_t start = std::clock();
    parsed = parseConfig(texts);
    return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

} // namespace

// Guards against a parse of the planned size that stalls the gateway's event loop.
BOOST_AUTO_TEST_CASE(parses_the_planned_size_fast)
{
    tl::expected<config_objects, std::vector<config_fault>> parsed;
    const double parseSeconds = measureParseSeconds(largeSet(1000, 11000), parsed);
    BOOST_TEST_MESSAGE("parsed 1,000 services and 11,000 workers in " << parseSeconds << " s");
    BOOST_REQUIRE_MESSAGE(parsed.has_value(),
                          (parsed ? std::string() : toString(parsed.error().front())));
    BOOST_TEST(parsed->workers.size() == 11001U);
    BOOST_TEST(parseSeconds < 0.5);
}

// Guards against a faulty set of full size whose suggestions or messages stall the event loop.
BOOST_AUTO_TEST_CASE(reports_a_bounded_number_of_faults_fast)
{
    tl::expected<config_objects, std::vector<config_fault>> parsed;
    const double parseSeconds = measureParseSeconds(largeSet(1000, 11000, "servce-1"), parsed);
    BOOST_TEST_MESSAGE("refused 11,000 dangling references in " << parseSeconds << " s");
    BOOST_REQUIRE(!parsed);
    BOOST_TEST(parsed.error().size() == faultsMax);
    BOOST_TEST(parsed.error().back().message.find("further faults are not listed")
               != std::string::npos);
    BOOST_TEST(parseSeconds < 1.0);
}

// Guards against a full set of texts with many syntax faults each, whose repeated parses stall the
// event loop.
BOOST_AUTO_TEST_CASE(reports_syntax_faults_of_a_large_set_fast)
{
    std::vector<config_text> texts = largeSet(1000, 19000);
    for (config_text &text : texts)
        text.text += "[[rule]]\na = = 1\n[[rule]]\nb = = 1\n[[rule]]\nc = = 1\n";
    tl::expected<config_objects, std::vector<config_fault>> parsed;
    const double parseSeconds = measureParseSeconds(texts, parsed);
    BOOST_TEST_MESSAGE("refused " << texts.size() << " texts with syntax faults in " << parseSeconds
                                  << " s");
    BOOST_REQUIRE(!parsed);
    BOOST_TEST(parsed.error().size() == 3 * texts.size());
    BOOST_TEST(parseSeconds < 1.0);
}

// Guards against sets that exhaust the memory of every gateway.
BOOST_AUTO_TEST_CASE(refuses_sets_beyond_the_bounds)
{
    const std::vector<std::vector<config_text>> sets {
        {{"big.toml", std::string(configValueBytesMax + 1, '#')}},
        std::vector<config_text>(configPartsMax + 1, {"empty.toml", ""}),
        std::vector<config_text>(configBytesMax / configValueBytesMax + 1,
                                 {"part.toml", std::string(configValueBytesMax, '#')}),
        largeSet(1, workersMax),
    };
    const std::vector<std::string> messages {"at most 1000000 bytes", "at most 4096 parts",
                                             "with 16000000 bytes",
                                             "at most 20000 tables [[worker]]"};
    for (std::size_t index = 0; index < sets.size(); ++index) {
        const tl::expected<config_objects, std::vector<config_fault>> parsed
            = parseConfig(sets[index]);
        BOOST_REQUIRE(!parsed);
        BOOST_TEST_INFO(toString(parsed.error()[0]));
        BOOST_TEST(parsed.error().size() == 1U);
        BOOST_TEST(parsed.error()[0].message.find(messages[index]) != std::string::npos);
    }
}

// Guards against deeply nested texts whose recursion exhausts the stack of the gateway.
BOOST_AUTO_TEST_CASE(refuses_deep_nesting)
{
    std::string dotted = "a";
    std::string inlined;
    for (int level = 0; level < 100000; ++level) {
        dotted += ".a";
        inlined += "{a=";
    }
    for (const std::string &text :
         {dotted + " = 1\n", "[" + dotted + "]\n", "a = " + std::string(100000, '['),
          "a = " + inlined, "s = \"\"\"\"x\"\"\"\"\n" + dotted + " = 1\n",
          "s = \"\"\"\\\"\"\"\"\n" + dotted + " = 1\n", "s = '\\'\n" + dotted + " = 1\n"}) {
        const std::vector<std::string> faults = faultsOf(text);
        BOOST_REQUIRE_EQUAL(faults.size(), 1U);
        BOOST_TEST(faults[0].find("nest deeper") != std::string::npos);
    }
}

// Guards against values that forge log lines or flood the log.
BOOST_AUTO_TEST_CASE(escapes_and_shortens_values_in_messages)
{
    const std::string hostile = "a\\n2026 fatal" + std::string(5000, 'x');
    const std::vector<std::string> faults
        = faultsOf(replaced(validText(), "\"host-1\"", "\"" + hostile + "\""));
    BOOST_REQUIRE_EQUAL(faults.size(), 1U);
    BOOST_TEST(faults[0].find('\n') == std::string::npos);
    BOOST_TEST(faults[0].size() < 400U);
}

} // namespace almondnotch
