#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "main/control/control.h"

using namespace almondnotch;

namespace {

namespace fs = std::filesystem;

const std::string routeA
    = R"("a":{"host":"shop.example","prefix":"/a/","kind":"safe","timeout":"600ms",)"
      R"("targetLatency":"200ms","priority":1,"service":"reads","maxAttempts":2})";
const std::string serviceReads = R"("reads":{"healthPath":"/health","maxConns":100})";

std::string document(const std::string &version, const std::string &routes,
                     const std::string &services)
{
    return R"({"version":")" + version + R"(","routes":{)" + routes + R"(},"services":{)" + services
           + "}}";
}

/// Two files in a temporary directory that the destructor removes, and the command run on them.
class command_fixture
{
public:
    command_fixture()
    {
        std::string name = (fs::temp_directory_path() / "almondnotch-config-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        m_directory = name;
    }
    command_fixture(const command_fixture &) = delete;
    command_fixture &operator=(const command_fixture &) = delete;
    ~command_fixture() { fs::remove_all(m_directory); }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_directory / name) << text;
        return (m_directory / name).string();
    }

    /// Runs `config check` on the text, against `inForce` unless it is empty.
    int check(const std::string &text, const std::string &inForce = "")
    {
        std::vector<std::string> words {"config", "check", write("next.json", text)};
        if (!inForce.empty())
            words.insert(words.end(), {"--against", write("in-force.json", inForce)});
        std::ostringstream out;
        std::ostringstream err;
        const exit_code code = runCommandLine(words, out, err, false);
        output = out.str() + err.str();
        return static_cast<int>(code);
    }

    bool prints(const std::string &text) const { return output.find(text) != std::string::npos; }

    std::string output;

private:
    fs::path m_directory;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(route_config_command_suite, command_fixture)

BOOST_AUTO_TEST_CASE(soundConfigurationIsAccepted)
{
    BOOST_TEST(check(document("00000002", routeA, serviceReads)) == 0, output);
    BOOST_TEST(prints("ok: version 2, 1 routes, 1 services"), output);
}

BOOST_AUTO_TEST_CASE(undecodableConfigurationIsAnError)
{
    BOOST_TEST(check("{") == 1, output);
    BOOST_TEST(check(document("00000002", routeA, "")) == 1, output);
    BOOST_TEST(prints("error: configuration: route a refers to a service"), output);
}

BOOST_AUTO_TEST_CASE(entriesThatCannotMatchAreNamed)
{
    std::string same = routeA;
    same.replace(1, 1, "b");
    std::string odd = routeA;
    odd.replace(1, 1, "c");
    odd.replace(odd.find("/a/"), 3, "/q?x/");
    const std::string unused = R"(,"idle":{"healthPath":"/health","maxConns":100})";
    BOOST_TEST(check(document("00000002", routeA + "," + same + "," + odd, serviceReads + unused))
                   == 1,
               output);
    BOOST_TEST(prints("never matches: route b: route a has the same host and prefix"), output);
    BOOST_TEST(prints("never matches: route c: no request path begins"), output);
    BOOST_TEST(prints("never matches: service idle: no route goes to it"), output);
}

BOOST_AUTO_TEST_CASE(contradictingLimitsAreNamed)
{
    std::string slow = routeA;
    slow.replace(slow.find("600ms"), 5, "100ms");
    BOOST_TEST(check(document("00000002", slow, serviceReads)) == 1, output);
    BOOST_TEST(prints("contradiction: route a: its latency objective of 200 ms is longer than its "
                      "timeout of 100 ms"),
               output);
}

BOOST_AUTO_TEST_CASE(differencesToTheVersionInForceAreListed)
{
    std::string changed = routeA;
    changed.replace(changed.find("600ms"), 5, "900ms");
    const std::string inForce = document("00000002", routeA, serviceReads);
    BOOST_TEST(check(document("00000003", changed, serviceReads), inForce) == 0, output);
    BOOST_TEST(prints("changed route a: timeout 600 ms -> 900 ms"), output);
    // The store accepts such a version, but gateways never take it.
    BOOST_TEST(check(document("00000002", changed, serviceReads), inForce) == 1, output);
    BOOST_TEST(prints("error: version: expected a version above 2, found 2"), output);
}

BOOST_AUTO_TEST_CASE(unreadableFilesAreUsageErrors)
{
    std::ostringstream out;
    std::ostringstream err;
    BOOST_TEST(
        static_cast<int>(runCommandLine({"config", "check", "/nonexistent.json"}, out, err, false))
        == 2);
    BOOST_TEST(static_cast<int>(runCommandLine({"config", "chek", "x"}, out, err, false)) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
