#include <cmath>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/duration_text.h"
#include "platform/callers.h"
#include "platform/directory.h"
#include "platform/store.h"
#include "platform/workers.h"
#include "tests/platform/page_decoding.h"

using namespace almondnotch;

namespace {

response_reader response(int status, const std::vector<std::string> &headers,
                         const std::string &body = "")
{
    response_reader reader(1'000'000, false);
    reader.allowCloseDelimited();
    BOOST_REQUIRE(reader.addHeaderLine("HTTP/1.1 " + std::to_string(status) + " X\r\n"));
    for (const std::string &line : headers)
        BOOST_REQUIRE(reader.addHeaderLine(line + "\r\n"));
    BOOST_REQUIRE(reader.addHeaderLine("\r\n"));
    BOOST_REQUIRE(reader.addBody(body));
    return reader;
}

start_attempt attemptFor(const std::string &requestId)
{
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->requestId = requestId;
    start_attempt command;
    command.request = std::move(request);
    command.workerName = "i-1";
    return command;
}

attempt_finished readOutcome(response_reader reader, const start_attempt &command)
{
    attempt_finished outcome;
    outcome.end = attempt_end::answered;
    platform::workerProtocol().parseResponse(reader, command, outcome);
    return outcome;
}

attempt_finished readOutcome(response_reader reader)
{
    return readOutcome(std::move(reader), attemptFor("id-1"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_protocols_suite)

BOOST_AUTO_TEST_CASE(durationsAreParsedWithUnit)
{
    BOOST_TEST((parseDuration("1500ms") == milliseconds(1500)));
    BOOST_TEST((parseDuration("2.5s") == milliseconds(2500)));
    for (const char *const text : {"", "5", "ms", "5 s", "-1s", "1e3ms", "5m", "nan s", "999999s"})
        BOOST_TEST(!parseDuration(text).has_value());
}

BOOST_AUTO_TEST_CASE(loadHeaderIsParsedWithAndWithoutSlowdown)
{
    const std::optional<load_report> four = platform::parseLoadHeader("3,1,8,250");
    BOOST_REQUIRE(four.has_value());
    BOOST_TEST(four->running == 3U);
    BOOST_TEST(four->queued == 1U);
    BOOST_TEST(four->slots == 8U);
    BOOST_TEST(four->slowdownPercent == 250U);
    BOOST_TEST(platform::parseLoadHeader("3,0,8")->slowdownPercent == 100U);
    for (const char *const text : {"", "3", "3,0", "3,0,8,1,1", "a,0,8", "-1,0,8", "3,0,8,"})
        BOOST_TEST((!platform::parseLoadHeader(text).has_value() || std::string(text) == "3,0,8,"));
}

// Guards against forwarding the response to another request, which a worker may send late or twice.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsNotForwarded)
{
    const attempt_finished outcome
        = readOutcome(response(200, {"X-Almondnotch-Attempt-Id: id-0",
                                     "X-Almondnotch-Server-Seal: s", "Content-Length: 0"}));
    BOOST_TEST((outcome.end == attempt_end::broken));
    BOOST_TEST((outcome.response == nullptr));
}

// Guards against forwarding a successful response that no worker has sealed.
BOOST_AUTO_TEST_CASE(unsealedResponseIsNotForwarded)
{
    const attempt_finished outcome
        = readOutcome(response(200, {"X-Almondnotch-Attempt-Id: id-1", "Content-Length: 0"}));
    BOOST_TEST((outcome.end == attempt_end::broken));
}

BOOST_AUTO_TEST_CASE(sealedResponseIsForwardedUnchanged)
{
    const attempt_finished outcome
        = readOutcome(response(200,
                               {"X-Almondnotch-Attempt-Id: id-1", "X-Almondnotch-Server-Seal: s",
                                "X-Almondnotch-Server-Load: 1,0,4,700", "Content-Encoding: x"},
                               "whole"));
    BOOST_TEST((outcome.end == attempt_end::answered));
    BOOST_REQUIRE(outcome.response != nullptr);
    BOOST_TEST(outcome.response->body == "whole");
    BOOST_TEST(outcome.load->slowdownPercent == 700U);
    bool hasSeal = false;
    for (const header_field &field : outcome.response->headers)
        hasSeal = hasSeal || field.name == "X-Almondnotch-Server-Seal";
    BOOST_TEST(hasSeal);
}

// Guards against retrying a request that ran, and against not retrying one that did not run.
BOOST_AUTO_TEST_CASE(onlyWorkerHeadersMarkRequestAsNotRun)
{
    start_attempt onNewConnection = attemptFor("id-1");
    onNewConnection.freshConnection = true;
    BOOST_TEST(readOutcome(response(503, {"X-Almondnotch-Not-Executed: 1"}), onNewConnection)
                   .rejectedBeforeRun);
    const attempt_finished replaced
        = readOutcome(response(421, {"X-Almondnotch-Instance-Id: i-2"}), onNewConnection);
    BOOST_TEST(replaced.rejectedBeforeRun);
    BOOST_TEST(replaced.wrongInstance);
    const attempt_finished failed = readOutcome(
        response(503, {"X-Almondnotch-Attempt-Id: id-1", "X-Almondnotch-Server-Seal: s"}));
    BOOST_TEST(!failed.rejectedBeforeRun);
    BOOST_TEST((failed.end == attempt_end::answered));
}

// Guards against an earlier rejection, sent once more on a kept connection, that is taken for the
// rejection of a request that ran.
BOOST_AUTO_TEST_CASE(rejectionOnKeptConnectionHasToNameItsRequest)
{
    for (const int status : {503, 429, 421}) {
        const std::vector<std::string> unnamed {"X-Almondnotch-Not-Executed: 1"};
        std::vector<std::string> other = unnamed;
        other.emplace_back("X-Almondnotch-Attempt-Id: id-0");
        std::vector<std::string> named = unnamed;
        named.emplace_back("X-Almondnotch-Attempt-Id: id-1");
        for (const std::vector<std::string> &headers : {unnamed, other}) {
            const attempt_finished outcome = readOutcome(response(status, headers));
            BOOST_TEST((outcome.end == attempt_end::broken));
            BOOST_TEST(!outcome.rejectedBeforeRun);
            BOOST_TEST(!outcome.wrongInstance);
        }
        BOOST_TEST(readOutcome(response(status, named)).rejectedBeforeRun);
    }
}

// Guards against a probe that mistakes another worker at a reused address for the probed one.
BOOST_AUTO_TEST_CASE(probeIgnoresResponseFromAnotherWorker)
{
    start_probe command;
    command.workerName = "i-1";
    probe_finished outcome;
    response_reader other
        = response(200, {"X-Almondnotch-Instance-Id: i-2", "X-Almondnotch-Server-Load: 0,0,4,100"});
    platform::workerProtocol().parseProbeResponse(other, command, outcome);
    BOOST_TEST(!outcome.load.has_value());
    response_reader draining
        = response(503, {"X-Almondnotch-Instance-Id: i-1", "X-Almondnotch-Server-Load: 2,0,4,100"});
    platform::workerProtocol().parseProbeResponse(draining, command, outcome);
    BOOST_TEST(outcome.load.has_value());
    BOOST_TEST(!outcome.healthy);
}

// Guards against a malformed limit that is taken for a number or for the absence of a limit, and
// against a limit of another worker.
BOOST_AUTO_TEST_CASE(requestLimitIsParsed)
{
    const std::vector<std::string> head {"X-Almondnotch-Attempt-Id: id-1",
                                         "X-Almondnotch-Server-Seal: s", "Content-Length: 0"};
    const auto limitOf = [&head](const std::vector<std::string> &values) {
        std::vector<std::string> lines = head;
        for (const std::string &value : values)
            lines.push_back("Server-Limit: " + value);
        return readOutcome(response(200, lines)).signals.requestRateMax;
    };
    BOOST_TEST(limitOf({"2.5"}).value() == 2.5);
    BOOST_TEST(limitOf({"0"}).value() == 0.0);
    BOOST_TEST(std::isinf(limitOf({}).value()));
    for (const char *const text : {"-1", "-0", "nan", "inf", "1e3", "2x", "", "1e999", "99999999",
                                   "99999999999999999999999999999999"})
        BOOST_TEST(!limitOf({text}).has_value(), "accepted " << text);
    BOOST_TEST(!limitOf({"2", "3"}).has_value());
    BOOST_TEST(!readOutcome(response(421, {"X-Almondnotch-Instance-Id: i-2", "Server-Limit: 1"}))
                    .signals.requestRateMax.has_value());
    BOOST_TEST(!readOutcome(response(200, {"X-Almondnotch-Attempt-Id: id-0",
                                           "X-Almondnotch-Server-Seal: s", "Server-Limit: 1"}))
                    .signals.requestRateMax.has_value());
}

// Guards against a worker that leaves or asks for a pause without being heard, and against
// malformed or foreign headers that put a worker out of use.
BOOST_AUTO_TEST_CASE(leavingAndPauseAreParsed)
{
    const auto signalsOf = [](int status, const std::vector<std::string> &headers,
                              const std::string &request = "id-1") {
        std::vector<std::string> lines {"X-Almondnotch-Attempt-Id: " + request,
                                        "X-Almondnotch-Server-Seal: s", "Content-Length: 0"};
        lines.insert(lines.end(), headers.begin(), headers.end());
        return readOutcome(response(status, lines)).signals;
    };
    BOOST_TEST(signalsOf(200, {"Server-Leaving: 1"}).isLeaving);
    BOOST_TEST(signalsOf(503, {"server-leaving: 1"}).isLeaving);
    BOOST_TEST(!signalsOf(200, {}).isLeaving);
    BOOST_TEST(!signalsOf(200, {"Server-Leaving: 1"}, "id-0").isLeaving);
    BOOST_TEST(!readOutcome(response(421, {"Server-Leaving: 1"})).signals.isLeaving);
    for (const char *const text : {"0", "yes", "", "1, 1"}) {
        const worker_signals read = signalsOf(200, {std::string("Server-Leaving: ") + text});
        BOOST_TEST(!read.isLeaving, "accepted " << text);
        BOOST_TEST(read.malformedHeader == "Server-Leaving");
    }
    BOOST_TEST(!signalsOf(200, {"Server-Leaving: 1", "Server-Leaving: 1"}).isLeaving);
    BOOST_TEST((signalsOf(503, {"Retry-After: 1.5"}).pause == milliseconds(1500)));
    BOOST_TEST((signalsOf(503, {"Retry-After: 0"}).pause == duration {0}));
    BOOST_TEST((signalsOf(200, {"Retry-After: 1"}).pause == duration {0}));
    BOOST_TEST((signalsOf(503, {"Retry-After: 1"}, "id-0").pause == duration {0}));
    for (const char *const text :
         {"-1", "nan", "inf", "1e3", "2x", "", "99999999", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        const worker_signals read = signalsOf(503, {std::string("Retry-After: ") + text});
        BOOST_TEST((read.pause == duration {0}), "accepted " << text);
        BOOST_TEST(read.malformedHeader == "Retry-After");
    }
    BOOST_TEST((signalsOf(503, {"Retry-After: 1", "Retry-After: 2"}).pause == duration {0}));
}

// Guards against a cold worker that is not heard, and against malformed headers that make a worker
// cold or warm.
BOOST_AUTO_TEST_CASE(warmUpIsParsed)
{
    const auto signalsOf = [](const std::vector<std::string> &headers) {
        start_probe command;
        command.workerName = "i-1";
        std::vector<std::string> lines {"X-Almondnotch-Instance-Id: i-1", "Content-Length: 0"};
        lines.insert(lines.end(), headers.begin(), headers.end());
        probe_finished outcome;
        response_reader reader = response(200, lines);
        platform::workerProtocol().parseProbeResponse(reader, command, outcome);
        return outcome.signals;
    };
    const std::string name = "X-Almondnotch-Warmup-Remaining: ";
    BOOST_TEST((signalsOf({name + "1500"}).warmUpLeft == milliseconds(1500)));
    BOOST_TEST((signalsOf({name + "0"}).warmUpLeft == milliseconds(0)));
    BOOST_TEST((signalsOf({name + "2.5s"}).warmUpLeft == milliseconds(2500)));
    BOOST_TEST(!signalsOf({}).warmUpLeft.has_value());
    for (const char *const text : {"-1", "nan", "1e3", "2x", "", "999999999999"}) {
        const worker_signals read = signalsOf({name + text});
        BOOST_TEST(!read.warmUpLeft.has_value(), "accepted " << text);
        BOOST_TEST(read.malformedHeader == "X-Almondnotch-Warmup-Remaining");
    }
    BOOST_TEST(!signalsOf({name + "1", name + "2"}).warmUpLeft.has_value());
}

// Guards against evacuations that are not read, or are taken for a configuration.
BOOST_AUTO_TEST_CASE(evacuationsAreReadWithTheConfiguration)
{
    read_items command;
    command.scope = item_scope::configuration;
    const store_protocol &store = platform::storeProtocol();
    BOOST_TEST(store.target(command) == "/v1/kv-range?prefix=op/");
    const auto decode = [&command](const std::string &listName, const std::string &rows) {
        const std::string body = "{\"" + listName + "\":[" + rows + "],\"currentRev\":9}";
        response_reader reader
            = response(200, {"Content-Length: " + std::to_string(body.size())}, body);
        const result<item_page> page = decodePage(command, reader);
        BOOST_REQUIRE(page.has_value());
        return page->items;
    };
    // "e30=" is "{}".
    const std::vector<published_item> listed
        = decode("items", R"({"key":"op/config","value":"e30=","revision":3},)"
                          R"({"key":"op/evacuate/gp-a","value":"e30=","revision":4},)"
                          R"({"key":"op/evacuate/","value":"e30=","revision":5},)"
                          R"({"key":"op/other","value":"e30=","revision":6},)"
                          R"({"key":"op/configs","value":"e30=","revision":7},)"
                          R"({"key":"op/evacuate/gp-b","value":"?","revision":8})");
    BOOST_REQUIRE_EQUAL(listed.size(), 3U);
    BOOST_TEST(listed[0].evacuatedDomain.empty());
    BOOST_TEST(!listed[0].fault.empty());
    BOOST_TEST(listed[1].evacuatedDomain == "gp-a");
    BOOST_TEST(listed[1].revision == 4U);
    BOOST_TEST(listed[1].fault.empty());
    BOOST_TEST(listed[2].evacuatedDomain == "gp-b");
    command.afterRevision = 5;
    command.wait = seconds(1);
    BOOST_TEST(store.target(command) == "/v1/kv-watch?prefix=op/&after=5&waitMs=1000");
    const std::vector<published_item> changed
        = decode("events", R"({"key":"op/evacuate/gp-a","revision":9,"removed":true})");
    BOOST_REQUIRE_EQUAL(changed.size(), 1U);
    BOOST_TEST(changed[0].removed);
    BOOST_TEST(changed[0].name == listed[1].name);
    BOOST_TEST(changed[0].evacuatedDomain == "gp-a");
}

// Guards against missing the signals in the response to a probe.
BOOST_AUTO_TEST_CASE(probeResponseCarriesSignals)
{
    start_probe command;
    command.workerName = "i-1";
    const auto signalsOf = [&command](const std::string &instance) {
        probe_finished outcome;
        response_reader reader = response(
            503, {"X-Almondnotch-Instance-Id: " + instance, "Server-Leaving: 1", "Retry-After: 2"});
        platform::workerProtocol().parseProbeResponse(reader, command, outcome);
        return outcome.signals;
    };
    BOOST_TEST(signalsOf("i-1").isLeaving);
    BOOST_TEST((signalsOf("i-1").pause == seconds(2)));
    BOOST_TEST(!signalsOf("i-2").isLeaving);
}

// Guards against taking a malformed era of the store for one, also in a response without a body.
BOOST_AUTO_TEST_CASE(eraOfTheStoreIsParsed)
{
    const auto eraOf = [](const std::vector<std::string> &headers) {
        read_items command;
        command.afterRevision = 1;
        response_reader reader = response(410, headers);
        return decodePage(command, reader)->era;
    };
    BOOST_TEST(eraOf({"Content-Length: 0", "Store-Era: 7"}) == 7U);
    BOOST_TEST(eraOf({"Content-Length: 0"}) == 0U);
    for (const char *malformed : {"", "-1", "7x", "7, 8", "99999999999999999999"})
        BOOST_TEST(eraOf({"Content-Length: 0", std::string("Store-Era: ") + malformed}) == 0U);
    BOOST_TEST(eraOf({"Content-Length: 0", "Store-Era: 7", "Store-Era: 8"}) == 0U);
}

BOOST_AUTO_TEST_CASE(callerHeadersGiveHostIdAndDeadline)
{
    request_head head;
    head.method = "GET";
    head.target = "/p/1";
    head.version = "HTTP/1.1";
    head.fields = {{"Host", "Shop.Example:80"},
                   {"X-Almondnotch-Attempt-Id", "9c41d07be2a35f68"},
                   {"X-Almondnotch-Deadline-Remaining", "1200"}};
    const tl::expected<call_request, request_rejection> request
        = platform::callerProtocol().parseHead(head, "fresh");
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->host == "shop.example");
    BOOST_TEST(request->requestId == "9c41d07be2a35f68");
    BOOST_TEST((request->timeout == milliseconds(1200)));
    head.fields[2].value = "soon";
    BOOST_TEST(!platform::callerProtocol().parseHead(head, "fresh")->timeout.has_value());
}

BOOST_AUTO_TEST_CASE(listsAndWatchesAreEncodedAndDecoded)
{
    read_items command;
    command.scope = item_scope::workers;
    BOOST_TEST(platform::storeProtocol().target(command) == "/v1/kv-range?prefix=servers/");
    command.revisionOnly = true;
    BOOST_TEST(platform::storeProtocol().target(command)
               == "/v1/kv-range?prefix=servers/&after=servers/~&serializable=1");
    command.revisionOnly = false;
    command.afterKey = "servers/a b";
    BOOST_TEST(platform::storeProtocol().target(command)
               == "/v1/kv-range?prefix=servers/&after=servers/a%20b");
    command.afterRevision = 411;
    command.wait = seconds(20);
    BOOST_TEST(platform::storeProtocol().target(command)
               == "/v1/kv-watch?prefix=servers/&after=411&waitMs=20000");
    response_reader lost = response(410, {"Content-Length: 0"});
    BOOST_TEST(decodePage(command, lost)->historyLost);
    response_reader events = response(
        200, {},
        R"({"events":[{"key":"servers/i-1","value":"e30=","revision":412},)"
        R"({"key":"servers/i-2","revision":413,"removed":true},{"key":7},{"key":"other"}],)"
        R"("currentRev":415})");
    const result<item_page> page = decodePage(command, events);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->revision == 415U);
    BOOST_REQUIRE(page->items.size() == 2U);
    BOOST_TEST(page->items[0].name == "i-1");
    BOOST_TEST(!page->items[0].fault.empty());
    BOOST_TEST(page->items[1].removed);
    for (const std::string &body :
         {std::string("["), std::string("{}"), std::string(R"({"events":[]})")}) {
        response_reader wrong = response(200, {}, body);
        BOOST_TEST(!decodePage(command, wrong).has_value());
    }
    response_reader busy = response(503, {"Content-Length: 0"});
    BOOST_TEST(!decodePage(command, busy).has_value());
}

BOOST_AUTO_TEST_CASE(directoryResponseContainsAddressesAndTtl)
{
    BOOST_TEST((platform::directoryProtocol().classify("/v1/resolve")
                == directory_request::address_lookup));
    BOOST_TEST(
        (platform::directoryProtocol().classify("/v1/readiness") == directory_request::readiness));
    BOOST_TEST((platform::directoryProtocol().classify("/") == directory_request::unknown));
    BOOST_TEST(platform::directoryProtocol().encode({{"10.0.0.1:80"}, seconds(4)})
               == R"({"addresses":["10.0.0.1:80"],"ttl":"4000ms"})");
}

BOOST_AUTO_TEST_SUITE_END()
