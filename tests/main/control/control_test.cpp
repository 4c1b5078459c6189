#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include "config/parser.h"
#include "core/digest.h"
#include "main/control/control.h"
#include "main/control/json_text.h"
#include "main/control/text_table.h"
#include "tests/main/control/gateway_stub.h"

namespace almondnotch {

namespace {

namespace fs = std::filesystem;

struct run_outcome
{
    int code = 0;
    std::string out;
    std::string err;
};

run_outcome run(const std::vector<std::string> &words, bool isTerminal = false)
{
    std::ostringstream out;
    std::ostringstream err;
    const exit_code code = runCommandLine(words, out, err, isTerminal);
    return {static_cast<int>(code), out.str(), err.str()};
}

std::string sampleDirectory(const std::string &sample)
{
    return std::string(ALMONDNOTCH_SAMPLES) + "/" + sample + "/config";
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// A temporary directory that the destructor removes.
class scratch_directory
{
public:
    scratch_directory()
    {
        std::string name = (fs::temp_directory_path() / "almondnotch-control-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        m_path = name;
    }
    scratch_directory(const scratch_directory &) = delete;
    scratch_directory &operator=(const scratch_directory &) = delete;
    ~scratch_directory() { fs::remove_all(m_path); }

    const fs::path &path() const { return m_path; }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name) << text;
    }

private:
    fs::path m_path;
};

} // namespace

// Guards against changes of the exit code for usage errors, on which scripts rely.
BOOST_AUTO_TEST_CASE(usage_errors_have_their_own_exit_code)
{
    const std::vector<std::vector<std::string>> commandLines {
        {},
        {"chek", "dir"},
        {"check"},
        {"check", "a", "b"},
        {"check", sampleDirectory("horvatic"), "--watch"},
        {"check", "/nonexistent"},
        {"dump", "--operator", "localhost:9901"},
        {"dump", "--operator"},
        {"dump", "--interval_ms=abc"},
        {"dump", "--interval_ms=5"},
        {"dump", "--output=xml"},
        {"dump", "--flagfile=x"},
        {"manifest", sampleDirectory("horvatic")},
    };
    for (const std::vector<std::string> &words : commandLines) {
        const run_outcome outcome = run(words);
        BOOST_TEST_CONTEXT((words.empty() ? "" : words.back()))
        {
            BOOST_TEST(outcome.code == 2);
            BOOST_TEST(!outcome.err.empty());
            BOOST_TEST(outcome.out.empty());
        }
    }
    BOOST_TEST(contains(run({"chek"}).err, "did you mean check?"));
    BOOST_TEST(contains(run({"dump", "--operater=x"}).err, "did you mean --operator?"));
}

// Guards against a command whose help is missing or lacks an example or the exit codes.
BOOST_AUTO_TEST_CASE(every_command_has_help_with_an_example)
{
    for (const command &each : commandTable()) {
        const run_outcome outcome = run({std::string(each.name), "--help"});
        BOOST_TEST(outcome.code == 0);
        BOOST_TEST(contains(outcome.out, "Example:\n  almondnotchctl " + std::string(each.name)));
        BOOST_TEST(contains(outcome.out, "3  gateway not reachable"));
    }
    BOOST_TEST(run({"--help"}).code == 0);
}

// Guards against faults that are not printed, or are printed as JSON that scripts cannot parse.
BOOST_AUTO_TEST_CASE(check_prints_faults_as_text_and_json)
{
    BOOST_TEST(run({"check", sampleDirectory("kestrelwood")}).code == 0);
    const scratch_directory directory;
    directory.write("a.toml", "[limits]\nmax_gateway = 3\n");
    directory.write("ignored.txt", "not TOML");
    const std::string path = directory.path().string();
    const run_outcome text = run({"check", path});
    BOOST_TEST(text.code == 1);
    BOOST_TEST(text.out
               == path
                      + "/a.toml:2: limits: unknown key \"max_gateway\"; did you mean "
                        "\"max_gateways\"?\n1 fault\n");
    const run_outcome json = run({"check", path, "--output", "json"});
    BOOST_TEST(json.code == 1);
    const nlohmann::json parsed = nlohmann::json::parse(json.out);
    BOOST_TEST(parsed["faults"].size() == 1U);
    BOOST_TEST(parsed["faults"][0]["line"] == 2);
}

// Guards against colour codes in files and pipes.
BOOST_AUTO_TEST_CASE(colours_only_on_a_terminal)
{
    BOOST_TEST(!contains(run({"check", sampleDirectory("horvatic")}).out, "\x1b"));
    BOOST_TEST(contains(run({"check", sampleDirectory("horvatic")}, true).out, "\x1b[32mok"));
}

// Guards against a published set whose parts do not match its manifest.
BOOST_AUTO_TEST_CASE(manifest_lists_the_written_parts)
{
    const scratch_directory directory;
    const run_outcome outcome = run({"manifest", sampleDirectory("kestrelwood"), "--config_version",
                                     "7", "--out", (directory.path() / "new").string()});
    BOOST_TEST(outcome.code == 0);
    const result<config_manifest> manifest = parseManifest(outcome.out);
    BOOST_REQUIRE(manifest.has_value());
    BOOST_TEST(manifest->version == 7U);
    BOOST_REQUIRE_EQUAL(manifest->parts.size(), 4U);
    for (const manifest_part &part : manifest->parts) {
        std::ifstream in(directory.path() / "new" / part.sha256);
        std::ostringstream content;
        content << in.rdbuf();
        BOOST_TEST(content.str().size() == part.bytes);
        BOOST_TEST(sha256Hex(content.str()) == part.sha256);
    }
}

// Guards against the publication of a faulty set.
BOOST_AUTO_TEST_CASE(manifest_refuses_a_faulty_set)
{
    const scratch_directory directory;
    directory.write("a.toml", "[limits]\nmax_gateways = 0\n");
    const run_outcome outcome
        = run({"manifest", directory.path().string(), "--config_version", "7"});
    BOOST_TEST(outcome.code == 1);
    BOOST_TEST(!contains(outcome.out, "[[part]]"));
}

// Guards against differences that are reported for equal sets, or not reported for different ones.
BOOST_AUTO_TEST_CASE(diff_shows_changes)
{
    BOOST_TEST(run({"diff", sampleDirectory("horvatic"), sampleDirectory("horvatic")}).out
               == "no difference\n");
    const run_outcome outcome
        = run({"diff", sampleDirectory("horvatic"), sampleDirectory("kestrelwood")});
    BOOST_TEST(outcome.code == 0);
    BOOST_TEST(contains(outcome.out, "\nadded worker payments-01: "));
    BOOST_TEST(contains(outcome.out, "\nremoved service feast-day-booking: "));
}

// Guards against requests to targets other than the documented ones, and query values that are not
// encoded.
BOOST_AUTO_TEST_CASE(online_commands_request_the_documented_targets)
{
    const gateway_stub gateway(
        {{"GET /dump",
          {200, R"({"version":3,"balancer":{"workers":[{"name":"w-1","load":2},)"
                R"({"name":"w-2","load":11}]}})"}},
         {"GET /explain?path=/a b&c&method=POST", {200, R"({"service":"sales"})"}},
         {"GET /.well-known/almondnotch/entry?service=sales",
          {200, R"({"service":"sales","addresses":["192.0.2.1:80"],"keep_ms":10000})"}},
         {"POST /drain", {202, ""}}});
    const std::string address = "--operator=" + gateway.address();
    BOOST_TEST(run({"workers", address}).out == "name  load\nw-1      2\nw-2     11\n");
    BOOST_TEST(contains(run({"dump", address}).out, "version  3\n"));
    BOOST_TEST(run({"dump", "balancer", address, "--output=json"}).code == 0);
    BOOST_TEST(run({"explain", "/a b&c", "--method=POST", address}).out == "service  sales\n");
    BOOST_TEST(contains(run({"entrypoints", "sales", "--entry", gateway.address()}).out,
                        "addresses  [\"192.0.2.1:80\"]\n"));
    BOOST_TEST(run({"drain", address}).code == 0);
    const run_outcome watched = run(
        {"workers", address, "--watch", "--watch_count=2", "--interval_ms=100", "--output=json"});
    BOOST_TEST(watched.out
               == "[{\"name\":\"w-1\",\"load\":2},{\"name\":\"w-2\",\"load\":11}]\n"
                  "[{\"name\":\"w-1\",\"load\":2},{\"name\":\"w-2\",\"load\":11}]\n");
}

// Guards against scripts that take a refused request or an unreachable gateway for success.
BOOST_AUTO_TEST_CASE(refusals_and_unreachable_gateways_have_distinct_exit_codes)
{
    std::string gatewayAddress;
    {
        const gateway_stub gateway({{"POST /drain", {409, R"({"detail":"already\u001b[2J"})"}},
                                    {"GET /dump", {200, "not JSON"}}});
        gatewayAddress = gateway.address();
        const run_outcome refused = run({"drain", "--operator", gatewayAddress});
        BOOST_TEST(refused.code == 1);
        BOOST_TEST(contains(refused.err, "409: already?[2J"));
        BOOST_TEST(run({"dump", "--operator", gatewayAddress}).code == 1);
        BOOST_TEST(run({"explain", "/x", "--operator", gatewayAddress}).code == 1);
    }
    BOOST_TEST(run({"drain", "--operator", gatewayAddress}).code == 3);
    BOOST_TEST(run({"entrypoints", "sales", "--entry", gatewayAddress}).code == 3);
}

// Guards against misaligned columns, and control characters of a dump that reach the operator's
// terminal.
BOOST_AUTO_TEST_CASE(prints_aligned_tables_without_control_characters)
{
    std::ostringstream out;
    text_table table({"name", "load"});
    table.addRow({"Horvatić", "5"});
    table.addRow({"a\x1b[31m", "1000"});
    table.print(out, false);
    BOOST_TEST(out.str() == "name      load\nHorvatić     5\na?[31m    1000\n");
}

// Guards against deeply nested values that exhaust the stack.
BOOST_AUTO_TEST_CASE(limits_the_nesting_depth_of_a_response)
{
    const std::string text = std::string(100000, '[') + std::string(100000, ']');
    const result<nlohmann::ordered_json> parsed = parseJson(text, "peer");
    BOOST_REQUIRE(parsed.has_value());
    std::ostringstream out;
    printJsonAsText(*parsed, out, false);
    printJson(*parsed, out, true);
    BOOST_TEST(out.str().size() < 200U);
}

} // namespace almondnotch
