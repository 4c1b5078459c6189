#include <algorithm>
#include <functional>
#include <memory>
#include <ostream>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/servers/entry_fixture.h"

using namespace almondnotch;

namespace {

bool hasField(const call_request &request, const std::string &name)
{
    return std::any_of(request.headers.begin(), request.headers.end(),
                       [&name](const header_field &field) { return field.name == name; });
}

struct refused_case
{
    const char *request;
    int status;
    const char *reason;
};

std::ostream &operator<<(std::ostream &out, const refused_case &input)
{
    return out << input.reason << " " << input.request;
}

const refused_case refusedCases[] = {
    {"GET /a HTTP/1.1\r\nHost: a\r\nAlmondnotch-Deadline-Ms: 0\r\n\r\n", 400, "deadline-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nAlmondnotch-Deadline-Ms: 600001\r\n\r\n", 400,
     "deadline-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nAlmondnotch-Deadline-Ms: 5x\r\n\r\n", 400, "deadline-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nAlmondnotch-Deadline-Ms: 5\r\nalmondnotch-deadline-ms: "
     "5\r\n\r\n",
     400, "deadline-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nAlmondnotch-Depth: 11\r\n\r\n", 400, "depth-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nAlmondnotch-Attempt: -1\r\n\r\n", 400, "attempt-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\tb\r\n\r\n", 400, "idempotency-key-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nIdempotency-Key:\r\n\r\n", 400, "idempotency-key-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\x01z\r\n\r\n", 400, "header-invalid"},
    {"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, "header-invalid"},
    {"GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400, "target-invalid"},
    {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n",
     400, "framing-invalid"},
    {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400,
     "framing-invalid"},
    {"GET /.well-known/almondnotch/entry HTTP/1.1\r\nHost: a\r\n\r\n", 400, "service-invalid"},
    {"GET /.well-known/almondnotch/dump HTTP/1.1\r\nHost: a\r\n\r\n", 404, "not-found"},
    {"DELETE /.well-known/almondnotch/health HTTP/1.1\r\nHost: a\r\n\r\n", 405,
     "method-not-allowed"},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_entry_suite, entry_fixture)

// Guards against malformed requests that reach the decision core, and against error responses that
// lack the outcome or are not counted.
BOOST_DATA_TEST_CASE(malformedRequestsAreRejected, boost::unit_test::data::make(refusedCases),
                     input)
{
    BOOST_TEST(statusOf(input.request) == input.status);
    BOOST_TEST(refusedCount(input.reason) == 1U);
    BOOST_TEST(lastResponse.find("application/problem+json") != std::string::npos);
    BOOST_TEST(lastResponse.find("Almondnotch-Outcome: not-run\r\n") != std::string::npos);
    BOOST_TEST(lastResponse.find("Almondnotch-Request-Id: ") != std::string::npos);
}

// Guards against unlimited bodies and headers, and against an error response that the caller cannot
// read because the connection is reset.
BOOST_AUTO_TEST_CASE(limitsAreEnforced)
{
    const std::string large(65537, 'x');
    BOOST_TEST(statusOf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: "
                        + std::to_string(large.size()) + "\r\n\r\n" + large)
               == 413);
    BOOST_TEST(statusOf("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"
                        + large + "\r\n0\r\n\r\n")
               == 413);
    BOOST_TEST(statusOf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999999\r\n\r\n")
               == 413);
    BOOST_TEST(refusedCount("body-too-large") == 3U);
    BOOST_TEST(statusOf(getRequest("/a", "X: " + std::string(17000, 'x') + "\r\n")) == 431);
    BOOST_TEST(refusedCount("headers-too-large") == 1U);
    BOOST_TEST(statusOf(getRequest("/a", "Idempotency-Key: " + std::string(257, 'k') + "\r\n"))
               == 400);
}

// Guards against many bodies that are each within the limit but exhaust the memory together.
BOOST_AUTO_TEST_CASE(totalBodySizeIsLimited)
{
    const std::string request
        = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x');
    raw_client first(entry->port());
    first.send(request);
    BOOST_TEST(waitForEvents(1));
    raw_client second(entry->port());
    second.send(request);
    BOOST_TEST(waitForResponse(second));
    BOOST_TEST(second.status() == 503);
    BOOST_TEST(second.contains("Retry-After: 1\r\n"));
    respond(0, {200, {}, "done", call_outcome::run});
    BOOST_TEST(waitForResponse(first));
    raw_client third(entry->port());
    third.send(request);
    BOOST_TEST(waitForEvents(2));
}

// Guards against large responses to slow callers that exhaust the memory together.
BOOST_AUTO_TEST_CASE(totalSizeOfUnreadResponsesIsLimited)
{
    constexpr std::size_t callerCount = 3;
    const std::string body(std::size_t {3} * 1024 * 1024, 'x');
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t i = 0; i < callerCount; ++i) {
        clients.push_back(std::make_unique<raw_client>(entry->port()));
        clients.back()->send(getRequest("/a"));
        BOOST_TEST(waitForEvents(i + 1));
    }
    for (std::size_t i = 0; i < callerCount; ++i)
        respond(i, {200, {}, body, call_outcome::run});
    std::size_t replaced = 0;
    for (const std::unique_ptr<raw_client> &client : clients) {
        BOOST_TEST(waitForResponse(*client));
        replaced += client->status() == 502 ? 1 : 0;
    }
    BOOST_TEST(replaced > 0U);
    // Responses that were read are not held any more.
    raw_client next(entry->port());
    next.send(getRequest("/a"));
    BOOST_TEST(waitForEvents(callerCount + 1));
    respond(callerCount, {200, {}, body, call_outcome::run});
    BOOST_TEST(waitForResponse(next));
    BOOST_TEST(next.status() == 200);
}

// Guards against slow senders (slowloris) that keep a connection open by sending single bytes.
BOOST_AUTO_TEST_CASE(slowSenderIsDisconnected)
{
    raw_client client(entry->port());
    client.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n");
    bool closed = false;
    for (int i = 0; i < 20 && !closed; ++i) {
        client.send("x");
        runFor(*loop, milliseconds(50));
        closed = client.isClosed();
    }
    BOOST_TEST(closed);
    BOOST_TEST(entry->counters().value("entry_receive_timeouts_total") == 1U);
    BOOST_TEST(sink->events.empty());
}

// Guards against a late response that reaches another caller after the first one disconnected, and
// against a disconnect that is missed or reported twice.
BOOST_AUTO_TEST_CASE(disconnectWhileWaitingIsReportedOnce)
{
    raw_client client(entry->port());
    client.send(getRequest("/a"));
    BOOST_TEST(waitForEvents(1));
    client.close();
    BOOST_TEST(waitForEvents(2));
    BOOST_TEST((std::get<caller_disconnected>(sink->events.at(1)).call == call(0).call));

    // This connection reuses the descriptor number of the closed one.
    raw_client next(entry->port());
    next.send(getRequest("/b"));
    BOOST_TEST(waitForEvents(3));
    respond(0, {200, {}, "late", call_outcome::run});
    runFor(*loop, milliseconds(20));
    BOOST_TEST(next.received().empty());
    BOOST_TEST(sink->events.size() == 3U);
    BOOST_TEST(entry->counters().value("entry_responses_dropped_total") == 1U);
}

// Guards against a disconnect that is missed because a pipelined request, whose turn has not come,
// is still unread.
BOOST_AUTO_TEST_CASE(disconnectAfterPipelinedRequestIsReported)
{
    raw_client client(entry->port());
    client.send(getRequest("/a"));
    BOOST_TEST(waitForEvents(1));
    client.send(
        "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x')
        + getRequest("/c", "X: " + std::string(8000, 'x') + "\r\n") + std::string(60000, 'x'));
    runFor(*loop, milliseconds(20));
    client.close();
    BOOST_TEST(waitForEvents(2));
    BOOST_TEST(std::holds_alternative<caller_disconnected>(sink->events.at(1)));
    BOOST_TEST(sink->events.size() == 2U);
}

// Guards against responses that reach the wrong caller when they are sent out of order.
BOOST_AUTO_TEST_CASE(outOfOrderResponsesReachTheirCallers)
{
    raw_client first(entry->port());
    raw_client second(entry->port());
    first.send(getRequest("/first"));
    BOOST_TEST(waitForEvents(1));
    second.send(getRequest("/second"));
    BOOST_TEST(waitForEvents(2));
    respond(1, {200, {}, "for " + call(1).request->target, call_outcome::run});
    BOOST_TEST(waitForResponse(second));
    BOOST_TEST(first.received().empty());
    respond(0, {201, {}, "for " + call(0).request->target, call_outcome::run});
    BOOST_TEST(waitForResponse(first));
    BOOST_TEST(first.contains("for /first"));
    BOOST_TEST(second.contains("for /second"));
    // A second response to the same call must be dropped.
    respond(0, {200, {}, "again", call_outcome::run});
    BOOST_TEST(entry->counters().value("entry_responses_dropped_total") == 1U);
}

// Guards against a response that is sent from within the delivery of its call but is not written
// until the next socket event.
BOOST_AUTO_TEST_CASE(responseDuringDeliveryIsSent)
{
    sink->onEvent = [this] { respond(sink->events.size() - 1, {200, {}, "x", call_outcome::run}); };
    raw_client client(entry->port());
    client.send(getRequest("/a"));
    BOOST_TEST(waitForResponse(client));
}

// Guards against responses to pipelined requests that are reordered or lost.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    raw_client client(entry->port());
    client.send(getRequest("/a") + getRequest("/b"));
    BOOST_TEST(waitForEvents(1));
    respond(0, {200, {}, "for /a", call_outcome::run});
    BOOST_TEST(waitForEvents(2));
    respond(1, {200, {}, "for /b", call_outcome::run});
    BOOST_TEST(runUntil(*loop, [&client] { return client.contains("for /b"); }));
    BOOST_TEST(client.received().find("for /a") < client.received().find("for /b"));
}

// Guards against hop-by-hop and `Almondnotch-*` headers that are forwarded to the worker, and
// against header values that are lost.
BOOST_AUTO_TEST_CASE(requestHeadersAreFiltered)
{
    raw_client client(entry->port());
    client.send(
        "POST /p?q=%20 HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
        "Keep-Alive: 5\r\nTE: trailers\r\nUpgrade: x\r\nTransfer-Encoding: chunked\r\n"
        "Almondnotch-Deadline-Ms: 250\r\nAlmondnotch-Depth: 10\r\nAlmondnotch-Attempt: 2\r\n"
        "almondnotch-other: 1\r\nAlmondnotch-Request-Id: abc-1\r\nIdempotency-Key: t/1\r\n"
        "Accept: b\r\nAccept: c\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(waitForEvents(1));
    const call_request &request = *call(0).request;
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/p?q=%20");
    BOOST_TEST(request.body == "abcde");
    BOOST_TEST(request.timeout.value_or(duration(0)).count() == 250000);
    BOOST_TEST(request.depth == 10U);
    BOOST_TEST(request.priorRetries == 2U);
    BOOST_TEST(request.requestId == "abc-1");
    BOOST_TEST(request.idempotencyKey == "t/1");
    BOOST_TEST(hasField(request, "Host"));
    BOOST_TEST(request.headers.size() == 3U);
}

// Guards against framing and connection headers of the worker that break the caller's connection,
// and against `Almondnotch-*` headers that a worker forges.
BOOST_AUTO_TEST_CASE(responseHeadersAreFiltered)
{
    raw_client client(entry->port());
    client.send(getRequest("/a", "Almondnotch-Request-Id: bad id\r\n"));
    BOOST_TEST(waitForEvents(1));
    BOOST_TEST(call(0).request->requestId.size() == 32U);
    respond(0, {200,
                {{"Content-Length", "999"},
                 {"Transfer-Encoding", "chunked"},
                 {"Connection", "close, X-Hop"},
                 {"X-Hop", "1"},
                 {"Almondnotch-Outcome", "not-run"},
                 {"Almondnotch-Load", "running=1"},
                 {"X-Kept", "a\tb"}},
                "body",
                call_outcome::run});
    BOOST_TEST(waitForResponse(client));
    BOOST_TEST(client.contains("Content-Length: 4\r\n"));
    BOOST_TEST(client.contains("X-Kept: a b\r\n"));
    BOOST_TEST(client.contains("Almondnotch-Outcome: run\r\n"));
    BOOST_TEST(client.contains("Almondnotch-Request-Id: " + call(0).request->requestId + "\r\n"));
    for (const char *absent : {"999", "chunked", "X-Hop", "not-run", "Almondnotch-Load", "close"})
        BOOST_TEST(!client.contains(absent), absent);
    BOOST_TEST(!client.isClosed());
}

// Guards against response splitting through a line break in a header value, and against a
// connection that is closed without any response.
BOOST_AUTO_TEST_CASE(invalidResponseIsReplacedByProblem)
{
    raw_client client(entry->port());
    client.send(getRequest("/a"));
    BOOST_TEST(waitForEvents(1));
    respond(0, {200, {{"X", "a\r\nSet-Cookie: b"}}, "body", call_outcome::run});
    BOOST_TEST(waitForResponse(client));
    BOOST_TEST(client.status() == 502);
    BOOST_TEST(client.contains("Almondnotch-Outcome: run\r\n"));
}

// Guards against a HEAD or 304 response that has a body, which the caller would read as the next
// response, or that has another `Content-Length` than the worker's.
BOOST_AUTO_TEST_CASE(responsesWithoutBodyKeepTheirLength)
{
    raw_client client(entry->port());
    client.send("HEAD /.well-known/almondnotch/health HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(waitForResponse(client, true));
    BOOST_TEST(client.contains("Content-Length: 3\r\n"));
    client.send("HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(waitForEvents(1));
    respond(0, {200, {{"Content-Length", "1234"}}, "", call_outcome::run});
    client.send(getRequest("/b"));
    BOOST_TEST(waitForEvents(2));
    respond(1, {304, {{"Content-Length", "77"}}, "", call_outcome::run});
    BOOST_TEST(runUntil(*loop, [&client] { return client.contains("Content-Length: 77\r\n"); }));
    BOOST_TEST(client.contains("Content-Length: 1234\r\n"));
    client.send("HEAD /c HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(waitForEvents(3));
    respond(2, {200, {}, "", call_outcome::run});
    BOOST_TEST(runUntil(*loop, [&client] { return client.isClosed(); }));
    // Exactly four response heads, each directly after the previous one.
    std::size_t heads = 0;
    std::size_t position = 0;
    while (client.received().compare(position, 9, "HTTP/1.1 ") == 0) {
        position = client.received().find("\r\n\r\n", position) + 4;
        ++heads;
    }
    BOOST_TEST(heads == 4U);
    BOOST_TEST(position == client.received().size());
    BOOST_TEST(!client.contains("Content-Length: 0\r\n"));
}

// Guards against a call response that is sent to an entry query, against shared caches that give
// the same key range to two callers, and against a refusal without its reason.
BOOST_AUTO_TEST_CASE(entryQueriesAreAnswered)
{
    raw_client client(entry->port());
    client.send(getRequest("/.well-known/almondnotch/entry?service=order%20intake"));
    BOOST_TEST(waitForEvents(1));
    const entry_query query = std::get<entry_query>(sink->events.at(0));
    BOOST_TEST(query.service == "order intake");
    entry->sendResponse(
        {call_id {static_cast<std::uint64_t>(query.query)}, makeProblemResponse({}), false});
    entry->sendEntryResponse({query.query, {"10.0.0.1:80"}, milliseconds(2500), "token", ""});
    BOOST_TEST(waitForResponse(client));
    BOOST_TEST(client.contains(R"({"addresses":["10.0.0.1:80"],"keep_ms":2500,)"
                               R"("key_range":"token","service":"order intake"})"));
    BOOST_TEST(client.contains("Cache-Control: no-store\r\n"));

    raw_client refusedClient(entry->port());
    refusedClient.send(getRequest("/.well-known/almondnotch/entry?service=x"));
    BOOST_TEST(waitForEvents(2));
    const entry_query second = std::get<entry_query>(sink->events.at(1));
    entry->sendEntryResponse({second.query, {}, duration(0), "", "unknown service"});
    BOOST_TEST(waitForResponse(refusedClient));
    BOOST_TEST(refusedClient.status() == 503);
    BOOST_TEST(refusedClient.contains("unknown service"));
}

// Guards against a shutdown that truncates a response, and against a connection that stays open
// after a response with `Connection: close`.
BOOST_AUTO_TEST_CASE(flushWaitsForLargeResponses)
{
    raw_client client(entry->port());
    client.send(getRequest("/a"));
    BOOST_TEST(waitForEvents(1));
    const std::string body(std::size_t {4} * 1024 * 1024, 'y');
    respond(0, {200, {}, body, call_outcome::run}, true);
    bool flushed = false;
    entry->flush(seconds(5), [&flushed] { flushed = true; });
    runFor(*loop, milliseconds(20));
    BOOST_TEST(!flushed);
    BOOST_TEST(runUntil(*loop, [&] { return client.isClosed() && flushed; }));
    BOOST_TEST(client.contains("Connection: close\r\n"));
    BOOST_TEST(client.received().ends_with(body));
    BOOST_CHECK_THROW(raw_client(entry->port()), std::runtime_error);
}

// Guards against connections and requests that arrive just before the process exits and are closed
// without a response.
BOOST_AUTO_TEST_CASE(requestsOnTheirWayAreAnsweredBeforeTheListenerCloses)
{
    raw_client kept(entry->port());
    kept.send(getRequest("/a"));
    BOOST_TEST(waitForEvents(1));
    respond(0, {200, {}, "", call_outcome::run}, false);
    BOOST_TEST(waitForResponse(kept));
    bool flushed = false;
    entry->flush(seconds(5), [&flushed] { flushed = true; });
    raw_client arriving(entry->port());
    arriving.send(getRequest("/b"));
    BOOST_TEST(waitForEvents(2));
    respond(1, {503, {}, "", call_outcome::not_run}, true);
    BOOST_TEST(runUntil(*loop, [&] { return arriving.isClosed() && flushed; }));
    BOOST_TEST(arriving.status() == 503);
    BOOST_CHECK_THROW(raw_client(entry->port()), std::runtime_error);
}

// Guards against crashes, and against events that are delivered after `stop`, when the process
// stops with calls in progress.
BOOST_AUTO_TEST_CASE(stopClosesWaitingConnections)
{
    raw_client client(entry->port());
    client.send(getRequest("/a"));
    BOOST_TEST(waitForEvents(1));
    raw_client unread(entry->port());
    runFor(*loop, milliseconds(20));
    unread.send(getRequest("/b"));
    serviceManager.stop();
    BOOST_TEST(client.isClosed());
    BOOST_TEST(unread.isClosed());
    BOOST_TEST(sink->events.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
