#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "platform/item_decoder.h"

using namespace almondnotch;

namespace {

const std::string worker
    = R"({"address":"10.128.0.9:8080","born":1700000000123,"info":{"service":"s1","version":"v1",)"
      R"("zone":"a","slots":6},"status":{"state":"ready","seq":4,"warmupLeft":"1500ms"}})";

const std::string configuration
    = R"({"version":"0000000c","routes":{"r1":{"host":"a.example","prefix":"/p/","kind":"unsafe",)"
      R"("timeout":"800ms","targetLatency":"0.3s","priority":1,"service":"s1","maxAttempts":2},)"
      R"("r2":{"host":"b.example","prefix":"/q/","kind":"safe","timeout":"1s","priority":0,)"
      R"("backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":3}},)"
      R"("services":{"s1":{"healthPath":"/health","maxConns":220,"protocol":"h1","tls":false},)"
      R"("s2":{"healthPath":"/up","maxConns":10,"protocol":"h1","tls":false}},)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeout":"3000ms",)"
      R"("idleTimeout":"15000ms"}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

published_item decodedWorker(const std::string &text)
{
    published_item item;
    item.name = "i-1";
    platform::decodeWorker(text, item);
    return item;
}

published_item decodedConfiguration(const std::string &text)
{
    published_item item;
    platform::decodeConfiguration(text, item);
    return item;
}

} // namespace

BOOST_AUTO_TEST_SUITE(item_decoder_suite)

// Guards against fields of a registration that are lost or misinterpreted.
BOOST_AUTO_TEST_CASE(workerRegistrationIsDecoded)
{
    const published_item item = decodedWorker(worker);
    BOOST_REQUIRE(item.worker.has_value());
    BOOST_TEST(item.worker->name == "i-1");
    BOOST_TEST(item.worker->address == "10.128.0.9:8080");
    BOOST_TEST(item.worker->service == "s1");
    BOOST_TEST(item.worker->failureDomain == "a");
    BOOST_TEST(item.worker->slots == 6U);
    BOOST_TEST(!item.worker->leaving);
    BOOST_TEST((item.worker->warmUpLeft == milliseconds(1500)));
    BOOST_TEST(item.worker->startedUnixMs == 1700000000123);
}

// Guards against a malformed registration, written by another program, that crashes the gateway or
// is accepted as a worker.
BOOST_AUTO_TEST_CASE(malformedRegistrationIsRejected)
{
    const std::vector<std::string> texts {
        "",
        "\xff\xfe",
        "null",
        "[]",
        "{}",
        replaced(worker, "\"ready\"", "\"resting\""),
        replaced(worker, "\"ready\"", "7"),
        replaced(worker, "\"address\"", "\"elsewhere\""),
        replaced(worker, "\"slots\":6", "\"slots\":-6"),
        replaced(worker, "\"slots\":6", "\"slots\":\"6\""),
        replaced(worker, "1700000000123", "17.5"),
        replaced(worker, "\"1500ms\"", "1500"),
        replaced(worker, "\"info\":{", "\"info\":[{").substr(0, 90),
    };
    for (const std::string &text : texts) {
        const published_item item = decodedWorker(text);
        BOOST_TEST(!item.worker.has_value());
        BOOST_TEST(!item.fault.empty());
    }
}

// Guards against a registration of another writer that is accepted as a worker although nothing can
// be sent to it, and against one that ends the gateway because its text exhausts the stack or a
// number does not fit.
BOOST_AUTO_TEST_CASE(unusableRegistrationIsRejected)
{
    constexpr std::size_t depth = 200'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string address = "10.128.0.9:8080";
    const std::vector<std::string> texts {
        replaced(worker, address, "10.128.0.9:99999"),
        replaced(worker, address, "10.128.0.9:0"),
        replaced(worker, address, "10.128.0.9:-1"),
        replaced(worker, address, "10.128.0.9"),
        replaced(worker, address, "worker.example:8080"),
        replaced(worker, address, "10.128.0.9:8080/x"),
        replaced(worker, "1700000000123", "18446744073709551615"),
        replaced(worker, "1700000000123", "1e999"),
        replaced(worker, "\"slots\":6", "\"slots\":1e999"),
        replaced(worker, "\"seq\":4", "\"seq\":1e999"),
        replaced(worker, "1500ms", "99999999999999999999999ms"),
        replaced(worker, "\"info\":{", "\"info\":" + nested + ",\"x\":{"),
        nested,
        std::string(depth, '['),
    };
    for (const std::string &text : texts) {
        const published_item item = decodedWorker(text);
        BOOST_TEST(!item.worker.has_value(), "accepted " << text.substr(0, 200));
        BOOST_TEST(!item.fault.empty());
    }
    published_item item;
    item.name = "i-1\r\nHost: other";
    platform::decodeWorker(worker, item);
    BOOST_TEST(!item.worker.has_value());
    // A field that is not used may hold anything.
    BOOST_TEST(decodedWorker(replaced(worker, "\"born\"", "\"x\":" + nested + ",\"born\""))
                   .worker.has_value());
}

// Guards against fields of a configuration that are lost or misinterpreted, and against a missing
// latency objective that is not replaced by the timeout.
BOOST_AUTO_TEST_CASE(configurationIsDecoded)
{
    const published_item item = decodedConfiguration(configuration);
    BOOST_REQUIRE(item.config != nullptr);
    const route_config &config = *item.config;
    BOOST_TEST(config.version == 12U);
    BOOST_REQUIRE(config.routes.size() == 2U);
    const host_route &single = config.routes[0];
    BOOST_TEST(single.host == "a.example");
    BOOST_TEST((single.delivery == delivery_semantics::at_most_once));
    BOOST_TEST((single.timeout == milliseconds(800)));
    BOOST_TEST((single.latencyObjective == milliseconds(300)));
    BOOST_TEST(single.priority == 1U);
    BOOST_TEST(single.attemptsMax == 2U);
    const host_route &split = config.routes[1];
    BOOST_TEST((split.delivery == delivery_semantics::idempotent));
    BOOST_TEST((split.latencyObjective == seconds(1)));
    BOOST_REQUIRE(split.targets.size() == 2U);
    BOOST_TEST(split.targets[1].service == "s2");
    BOOST_TEST(split.targets[1].weight == 10.0);
    BOOST_TEST(config.services.at("s2").connectionsMax == 10U);
    BOOST_TEST(config.limits.bodyBytesMax == 1000U);
    BOOST_TEST((config.limits.idleTimeout == seconds(15)));
}

// Guards against downloads that are treated like bookings: sent once, on a connection of their own.
BOOST_AUTO_TEST_CASE(downloadsMayRunMoreThanOnce)
{
    const published_item item
        = decodedConfiguration(replaced(configuration, R"("kind":"safe")", R"("kind":"download")"));
    BOOST_REQUIRE(item.config != nullptr);
    BOOST_TEST((item.config->routes.at(1).delivery == delivery_semantics::idempotent));
    BOOST_TEST(item.warning.empty());
}

// Guards against treating an unknown route kind as safe to run more than once.
BOOST_AUTO_TEST_CASE(unknownRouteKindMeansAtMostOnce)
{
    const published_item item
        = decodedConfiguration(replaced(configuration, "\"safe\"", "\"other\""));
    BOOST_REQUIRE(item.config != nullptr);
    BOOST_TEST((item.config->routes[1].delivery == delivery_semantics::at_most_once));
}

// Guards against applying a configuration of which a part cannot be decoded.
BOOST_AUTO_TEST_CASE(malformedConfigurationIsRejectedEntirely)
{
    const std::vector<std::string> texts {
        "",
        "{",
        replaced(configuration, "\"0000000c\"", "\"x\""),
        replaced(configuration, "\"prefix\":\"/p/\"", "\"prefix\":\"p/\""),
        replaced(configuration, "\"service\":\"s2\"", "\"service\":\"s3\""),
        replaced(configuration, "\"timeout\":\"800ms\"", "\"timeout\":\"soon\""),
        replaced(configuration, "\"maxAttempts\":2", "\"attempts\":2"),
        replaced(configuration, "\"host\":\"a.example\",", ""),
        replaced(configuration, "\"weight\":90", "\"weight\":\"90\""),
    };
    for (const std::string &text : texts) {
        const published_item item = decodedConfiguration(text);
        BOOST_TEST((item.config == nullptr));
        BOOST_TEST(!item.fault.empty());
    }
}

// Guards against services whose warm-up is lost, and against a rate that makes no sense.
BOOST_AUTO_TEST_CASE(warmUpOfAServiceIsDecoded)
{
    const std::string plain = R"("s1":{"healthPath":"/health",)";
    const published_item item = decodedConfiguration(
        replaced(configuration, plain, plain + R"("warmup":"3s","warmupPerS":3.9,)"));
    BOOST_REQUIRE(item.config != nullptr);
    BOOST_TEST((item.config->services.at("s1").warmUpTime == seconds(3)));
    BOOST_TEST(item.config->services.at("s1").coldRequestsPerSecond == 3.9);
    BOOST_TEST((item.config->services.at("s2").warmUpTime == duration {0}));
    BOOST_TEST(item.config->services.at("s2").coldRequestsPerSecond == 0.0);
    for (const char *const field :
         {R"("warmup":3,)", R"("warmupPerS":-1,)", R"("warmupPerS":"4",)"})
        BOOST_TEST(decodedConfiguration(replaced(configuration, plain, plain + field)).config
                   == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
