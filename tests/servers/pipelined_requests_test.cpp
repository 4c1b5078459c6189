#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/servers/entry_fixture.h"

using namespace almondnotch;

namespace {

std::string postRequest(const std::string &path, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

constexpr std::size_t heldBytesMax = std::size_t {8} * 1024 * 1024;

struct pipeline_fixture : entry_fixture
{
    pipeline_fixture() : entry_fixture(pipelineSettings()), client(entry->port()) { }

    static entry_settings pipelineSettings()
    {
        entry_settings settings = defaultSettings();
        settings.pipelinedRequestsMax = 4;
        settings.unreadTimeMax = milliseconds(300);
        settings.heldResponseBytesMax = heldBytesMax;
        return settings;
    }

    /// Sends `count` requests at once and waits until they are delivered.
    void sendRequests(std::size_t count)
    {
        std::string requests;
        for (std::size_t i = 0; i < count; ++i)
            requests += getRequest("/" + std::to_string(i));
        client.send(requests);
        BOOST_TEST(waitForEvents(count));
    }

    void respondTo(std::size_t index, bool close = false)
    {
        respond(index, {200, {}, "for " + call(index).request->target + ";", call_outcome::run},
                close);
    }

    /// The bodies received so far, in their order.
    std::string bodies()
    {
        std::string found;
        const std::string &text = client.received();
        for (std::size_t at = text.find("for "); at != std::string::npos;
             at = text.find("for ", at + 1))
            found += text.substr(at + 4, text.find(';', at) - at - 4);
        return found;
    }

    bool waitForBodies(const std::string &expected)
    {
        return runUntil(*loop, [this, &expected] { return bodies() == expected; });
    }

    std::size_t disconnectCount() const
    {
        std::size_t count = 0;
        for (const event &each : sink->events)
            count += std::holds_alternative<caller_disconnected>(each) ? 1 : 0;
        return count;
    }

    raw_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pipelined_requests_suite, pipeline_fixture)

// Guards against requests that wait for one another, and against responses out of order.
BOOST_AUTO_TEST_CASE(independentRequestsRunSideBySide)
{
    sendRequests(4);
    for (const std::size_t index : {2, 1, 3})
        respondTo(index);
    runFor(*loop, milliseconds(20));
    BOOST_TEST(client.received().empty());
    respondTo(0);
    BOOST_TEST(waitForBodies("/0/1/2/3"));
    BOOST_TEST(!client.isClosed());
}

// Guards against responses that wait for an earlier one without counting toward the memory for
// responses.
BOOST_AUTO_TEST_CASE(waitingResponsesCountTowardTheMemory)
{
    sendRequests(4);
    const std::string large(heldBytesMax / 2 + 1, 'x');
    respond(1, {200, {}, large, call_outcome::run});
    BOOST_TEST(entry->counters().value("entry_responses_not_held_total") == 0U);
    respond(2, {200, {}, large, call_outcome::run});
    BOOST_TEST(entry->counters().value("entry_responses_not_held_total") == 1U);
}

// Guards against a caller that has any number of requests at work.
BOOST_AUTO_TEST_CASE(requestsOverTheLimitWait)
{
    sendRequests(4);
    client.send(getRequest("/4") + getRequest("/5"));
    runFor(*loop, milliseconds(20));
    BOOST_TEST(sink->events.size() == 4U);
    // Only a response that can be sent makes room.
    respondTo(1);
    runFor(*loop, milliseconds(20));
    BOOST_TEST(sink->events.size() == 4U);
    respondTo(0);
    BOOST_TEST(waitForEvents(6));
    for (const std::size_t index : {5, 4, 3, 2})
        respondTo(index);
    BOOST_TEST(waitForBodies("/0/1/2/3/4/5"));
}

// Guards against work for a caller that has left.
BOOST_AUTO_TEST_CASE(disconnectIsReportedForEachRequestAtWork)
{
    sendRequests(3);
    respondTo(1);
    client.send(postRequest("/held", "x"));
    runFor(*loop, milliseconds(20));
    client.close();
    BOOST_TEST(runUntil(*loop, [this] { return disconnectCount() == 2; }));
    runFor(*loop, milliseconds(20));
    BOOST_TEST(sink->events.size() == 5U);
    respondTo(0);
    BOOST_TEST(entry->counters().value("entry_responses_dropped_total") == 1U);
}

// Guards against requests that run beside one that must not be repeated.
BOOST_AUTO_TEST_CASE(otherRequestsRunAlone)
{
    client.send(getRequest("/0") + getRequest("/1") + postRequest("/2", "body") + getRequest("/3")
                + "HEAD /4 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(waitForEvents(2));
    respondTo(1);
    runFor(*loop, milliseconds(20));
    BOOST_TEST(sink->events.size() == 2U);
    respondTo(0);
    BOOST_TEST(waitForEvents(3));
    BOOST_TEST(call(2).request->body == "body");
    runFor(*loop, milliseconds(20));
    BOOST_TEST(sink->events.size() == 3U);
    respondTo(2);
    BOOST_TEST(waitForEvents(5));
    respondTo(3);
    BOOST_TEST(waitForBodies("/0/1/2/3"));
}

// Guards against requests that were passed on and are cut by a response that closes the connection,
// and against requests behind it that are passed on later.
BOOST_AUTO_TEST_CASE(closeMovesBehindRequestsAtWork)
{
    sendRequests(3);
    client.send(postRequest("/held", "x") + getRequest("/behind"));
    runFor(*loop, milliseconds(20));
    respondTo(0, true);
    BOOST_TEST(waitForBodies("/0"));
    BOOST_TEST(!client.contains("Connection: close"));
    client.send(getRequest("/late"));
    respondTo(1);
    respondTo(2);
    BOOST_TEST(waitForBodies("/0/1/2"));
    BOOST_TEST(runUntil(*loop, [this] { return client.isClosed(); }));
    BOOST_TEST(client.contains("Connection: close"));
    BOOST_TEST(client.received().rfind("Connection: close") > client.received().find("for /1"));
    BOOST_TEST(sink->events.size() == 3U);
}

// Guards against a malformed request that takes the responses of the requests before it along.
BOOST_AUTO_TEST_CASE(malformedRequestIsRejectedInItsTurn)
{
    sendRequests(2);
    client.send("GET / HTTP/1.1\nHost: a\n\n" + getRequest("/behind"));
    runFor(*loop, milliseconds(20));
    BOOST_TEST(client.received().empty());
    respondTo(1);
    respondTo(0);
    BOOST_TEST(runUntil(*loop, [this] { return client.isClosed(); }));
    BOOST_TEST(bodies() == "/0/1");
    BOOST_TEST(client.contains("HTTP/1.1 400 "));
    BOOST_TEST(sink->events.size() == 2U);
}

// Guards against a request that never ends and takes the responses of those before it along.
BOOST_AUTO_TEST_CASE(incompleteRequestDoesNotEndRequestsAtWork)
{
    sendRequests(1);
    client.send("GET /incomplete HTTP/1.1\r\n");
    runFor(*loop, milliseconds(500));
    BOOST_TEST(entry->counters().value("entry_receive_timeouts_total") == 1U);
    respondTo(0);
    BOOST_TEST(runUntil(*loop, [this] { return client.isClosed(); }));
    BOOST_TEST(bodies() == "/0");
    BOOST_TEST(client.contains("Connection: close"));
}

// Guards against a caller that makes the gateway hold any number of responses, for any time.
BOOST_AUTO_TEST_CASE(slowReaderIsBounded)
{
    sendRequests(2);
    const std::string body(std::size_t {6} * 1024 * 1024, 'x');
    respond(0, {200, {}, body, call_outcome::run});
    client.send(getRequest("/behind"));
    runFor(*loop, milliseconds(50));
    BOOST_TEST(sink->events.size() == 2U);
    BOOST_TEST(runUntil(*loop, [this] { return disconnectCount() == 1; }));
    BOOST_TEST(entry->counters().value("entry_unread_timeouts_total") == 1U);
    // The memory is free again.
    raw_client next(entry->port());
    next.send(getRequest("/next"));
    BOOST_TEST(waitForEvents(4));
    respond(3, {200, {}, body, call_outcome::run});
    BOOST_TEST(waitForResponse(next));
    BOOST_TEST(next.status() == 200);
}

// Guards against a drain that ends before all responses of a connection have been sent.
BOOST_AUTO_TEST_CASE(flushWaitsForRequestsAtWork)
{
    sendRequests(3);
    respondTo(2, true);
    bool flushed = false;
    entry->flush(seconds(5), [&flushed] { flushed = true; });
    runFor(*loop, milliseconds(100));
    BOOST_TEST(!flushed);
    respondTo(1, true);
    respondTo(0, true);
    BOOST_TEST(runUntil(*loop, [&] { return client.isClosed() && flushed; }));
    BOOST_TEST(bodies() == "/0/1/2");
}

// Guards against a body that the caller never sends, and against an interim response between those
// of earlier requests.
BOOST_AUTO_TEST_CASE(interimResponseFollowsEarlierResponses)
{
    sendRequests(1);
    client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    // Longer than the time for receiving a request.
    runFor(*loop, milliseconds(500));
    BOOST_TEST(client.received().empty());
    respondTo(0);
    BOOST_TEST(
        runUntil(*loop, [this] { return client.contains("HTTP/1.1 100 Continue\r\n\r\n"); }));
    BOOST_TEST(bodies() == "/0");
    client.send("body");
    BOOST_TEST(waitForEvents(2));
    respondTo(1);
    BOOST_TEST(waitForBodies("/0/1"));
}

// Guards against connections of callers with HTTP/1.0 or `Connection: close` that stay open, or are
// closed without need.
BOOST_AUTO_TEST_CASE(persistenceFollowsTheRequest)
{
    client.send("GET /0 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    BOOST_TEST(waitForEvents(1));
    respondTo(0);
    BOOST_TEST(waitForBodies("/0"));
    BOOST_TEST(client.contains("Connection: Keep-Alive\r\n"));
    client.send(getRequest("/1", "Connection: close\r\n") + getRequest("/behind"));
    BOOST_TEST(waitForEvents(2));
    respondTo(1);
    BOOST_TEST(runUntil(*loop, [this] { return client.isClosed(); }));
    BOOST_TEST(bodies() == "/0/1");
    BOOST_TEST(client.contains("Connection: close\r\n"));
    raw_client old(entry->port());
    old.send("GET /2 HTTP/1.0\r\n\r\n");
    BOOST_TEST(waitForEvents(3));
    respondTo(2);
    BOOST_TEST(runUntil(*loop, [&old] { return old.isClosed(); }));
    BOOST_TEST(sink->events.size() == 3U);
}

// Guards against a request whose end two servers see at different places, and against framing that
// is much larger than the body.
BOOST_AUTO_TEST_CASE(ambiguousFramingEndsTheConnection)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> requests {
        head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        head + "Content-Length: 3, 3\r\n\r\nabc",
        head + "Content-Length: +3\r\n\r\nabc",
        head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(20000, 'x'),
        "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked, gzip\r\n\r\n",
        head + "Transfer-Encoding: xchunked\r\n\r\n",
        // With a further fault in the same head.
        head + "Host: b\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\rX: b\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost : a\r\n\r\n",
    };
    for (const std::string &request : requests) {
        BOOST_TEST_CONTEXT(request.substr(0, 100))
        BOOST_TEST(statusOf(request + getRequest("/smuggled")) == 400);
    }
    BOOST_TEST(statusOf("GET /a HTTP/1.1\r\n\r\n") == 400);
    BOOST_TEST(statusOf("GET /" + std::string(17000, 'a')) == 414);
    BOOST_TEST(statusOf("GET /a HTTP/2.0\r\nHost: a\r\n\r\n") == 505);
    BOOST_TEST(sink->events.empty());
}

BOOST_AUTO_TEST_SUITE_END()
