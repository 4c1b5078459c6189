#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "servers/event_loop/register_services.h"
#include "servers/http_entry/register_services.h"
#include "servers/operator_endpoint/register_services.h"
#include "tests/servers/fake_services.h"
#include "tests/servers/loop_driver.h"
#include "tests/servers/raw_client.h"

using namespace almondnotch;

namespace {

class inspectable_sink : public event_sink, public decision_inspection
{
public:
    inspectable_sink() { m_counters.add("calls_started_total", 3); }
    result<void> start(service_manager & /*owner*/) override { return {}; }
    void stop() override { }
    void deliver(event input) override { events.push_back(std::move(input)); }
    nlohmann::json dump() const override { return {{"name", "not UTF-8: \xff"}}; }
    nlohmann::json explain(std::string_view method, std::string_view target) const override
    {
        return {{"explained", std::string(method) + " " + std::string(target)}};
    }
    const counter_set &counters() const override { return m_counters; }

    std::vector<event> events;

private:
    counter_set m_counters;
};

struct operator_fixture
{
    operator_fixture()
    {
        loop = *registerEventLoop(serviceManager);
        add<fake_workers>("worker_transport");
        add<fake_platform>("platform_client");
        add<fake_peers>("peer_link");
        std::unique_ptr<inspectable_sink> created = std::make_unique<inspectable_sink>();
        sink = created.get();
        BOOST_REQUIRE(serviceManager.add("decision", start_level::decisions, std::move(created)));
        entry_settings settings;
        settings.address = "127.0.0.1:0";
        entry = *registerHttpEntry(serviceManager, settings);
    }
    operator_fixture(const operator_fixture &) = delete;
    operator_fixture &operator=(const operator_fixture &) = delete;

    template <typename T>
    void add(std::string_view name)
    {
        BOOST_REQUIRE(
            serviceManager.add(name, start_level::transports, std::make_unique<T>(recorder)));
    }

    void startEndpoint(const operator_settings &settings)
    {
        endpoint = *registerOperatorEndpoint(serviceManager, settings);
        BOOST_REQUIRE(serviceManager.start());
    }

    /// Sends a request.
    /// \return the response: status line, headers and body.
    std::string request(const std::string &line, const std::string &fields = "")
    {
        raw_client client(endpoint->port());
        client.send(line + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
        BOOST_TEST(runUntil(*loop, [&client] { return client.hasResponse(); }));
        return client.received();
    }

    action_recorder recorder;
    service_manager serviceManager;
    event_loop *loop = nullptr;
    inspectable_sink *sink = nullptr;
    http_entry *entry = nullptr;
    operator_endpoint *endpoint = nullptr;
};

bool hasStatus(const std::string &response, const std::string &status)
{
    return response.starts_with("HTTP/1.1 " + status + " ");
}

bool contains(const std::string &response, const std::string &text)
{
    return response.find(text) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_endpoint_suite, operator_fixture)

// Guards against operator functions that fail on unusual input, and metrics that omit a service.
BOOST_AUTO_TEST_CASE(operatorFunctionsRespond)
{
    startEndpoint({"127.0.0.1:0", ""});
    BOOST_TEST(contains(request("GET /dump"), "not UTF-8"));
    BOOST_TEST(contains(request("GET /explain?path=%2Fa%20b&method=POST"), "POST /a b"));
    BOOST_TEST(hasStatus(request("GET /explain?path=a"), "400"));
    BOOST_TEST(contains(request("GET /version"), "\"version\""));
    const std::string metrics = request("GET /metrics");
    BOOST_TEST(contains(metrics, "almondnotch_calls_started_total 3\n"));
    BOOST_TEST(contains(metrics, "almondnotch_operator_requests_total 5\n"));
    BOOST_TEST(contains(metrics, "almondnotch_process_resident_memory_bytes "));
    BOOST_TEST(contains(metrics, "almondnotch_process_cpu_seconds "));
    BOOST_TEST(hasStatus(request("GET /other"), "404"));
}

// Guards against a drain that a link or a crawler could start with GET, and against a drain request
// that is lost.
BOOST_AUTO_TEST_CASE(drainRequiresPost)
{
    startEndpoint({"127.0.0.1:0", ""});
    BOOST_TEST(hasStatus(request("GET /drain"), "405"));
    BOOST_TEST(sink->events.empty());
    BOOST_TEST(hasStatus(request("POST /drain", "Content-Length: 0\r\n"), "202"));
    BOOST_TEST(runUntil(*loop, [this] { return sink->events.size() == 1; }));
}

// Guards against an endpoint without a token that is reachable from the network.
BOOST_AUTO_TEST_CASE(tokenIsRequiredOffLoopback)
{
    BOOST_TEST(!checkOperatorSettings({"0.0.0.0:0", ""}));
    BOOST_TEST(!checkOperatorSettings({"[::]:0", ""}));
    BOOST_TEST(!checkOperatorSettings({"localhost:0", ""}));
    BOOST_TEST(checkOperatorSettings({"[::1]:0", ""}).has_value());
    BOOST_TEST(checkOperatorSettings({"0.0.0.0:0", "secret"}).has_value());
    BOOST_REQUIRE(registerOperatorEndpoint(serviceManager, {"0.0.0.0:0", ""}));
    BOOST_TEST(!serviceManager.start());
}

// Guards against a token check that accepts a token that is missing, truncated, too long or sent
// with another scheme.
BOOST_AUTO_TEST_CASE(invalidTokensAreRejected)
{
    startEndpoint({"127.0.0.1:0", "secret"});
    for (const char *fields : {"", "Authorization: Bearer\r\n", "Authorization: Bearer secre\r\n",
                               "Authorization: Bearer secret1\r\n", "Authorization: secret\r\n",
                               "Authorization: Basic secret\r\n"}) {
        BOOST_TEST(hasStatus(request("GET /dump", fields), "401"), fields);
        BOOST_TEST(hasStatus(request("POST /drain", fields), "401"), fields);
    }
    BOOST_TEST(sink->events.empty());
    BOOST_TEST(hasStatus(request("GET /dump", "Authorization: Bearer secret\r\n"), "200"));
}

// Guards against operator functions that are reachable at the address for callers.
BOOST_AUTO_TEST_CASE(callersCannotReachOperatorFunctions)
{
    startEndpoint({"127.0.0.1:0", ""});
    std::size_t calls = 0;
    for (const char *line :
         {"GET /dump", "GET /metrics", "GET /version", "POST /drain", "GET /explain?path=/"}) {
        raw_client client(entry->port());
        client.send(std::string(line) + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        ++calls;
        BOOST_TEST(runUntil(*loop, [this, calls] { return sink->events.size() == calls; }));
        BOOST_TEST(std::holds_alternative<call_received>(sink->events.back()));
        BOOST_TEST(client.received().empty());
        client.close();
        ++calls;
        BOOST_TEST(runUntil(*loop, [this, calls] { return sink->events.size() == calls; }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
