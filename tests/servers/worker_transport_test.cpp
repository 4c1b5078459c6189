#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "servers/curl_loop/chunk_decoder.h"
#include "servers/worker_transport/load_parser.h"
#include "servers/worker_transport/register_services.h"
#include "tests/servers/transport_fixture.h"

namespace almondnotch {

namespace {

struct worker_fixture : transport_fixture
{
    explicit worker_fixture(worker_transport_settings settings = {})
    {
        transport = registerWorkerTransport(serviceManager, settings).value();
        BOOST_REQUIRE(serviceManager.start());
    }

    static shared_request request(const std::string &method, const std::string &target,
                                  const std::string &body = {})
    {
        call_request created;
        created.method = method;
        created.target = target;
        created.body = body;
        created.headers = {{"X-Caller", "c"}, {"Almondnotch-Depth", "9"}};
        created.idempotencyKey = "k/1";
        created.depth = 2;
        created.requestId = "r-1";
        return std::make_shared<const call_request>(created);
    }

    start_attempt makeAttempt(const std::string &address, const std::string &target,
                              bool idempotent)
    {
        return {attempt_id(nextId++),
                request("POST", target, "body of " + target),
                address,
                "w",
                seconds(5),
                0,
                idempotent,
                1};
    }

    /// Starts one attempt, waits for its end and checks that it is not reported from within
    /// `startAttempt`.
    attempt_finished runAttempt(const start_attempt &started)
    {
        const std::size_t before = sink->eventsOfType<attempt_finished>().size();
        transport->startAttempt(started);
        BOOST_CHECK_EQUAL(sink->eventsOfType<attempt_finished>().size(), before);
        BOOST_REQUIRE(
            runUntil([&]() { return sink->eventsOfType<attempt_finished>().size() > before; }));
        return sink->eventsOfType<attempt_finished>().back();
    }

    worker_transport *transport = nullptr;
    std::uint64_t nextId = 1;
};

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against forwarding a truncated response as a complete one.
BOOST_FIXTURE_TEST_CASE(truncated_or_badly_framed_responses_are_broken, worker_fixture)
{
    const std::vector<std::string> responses {
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
        chunkedHead + "5\r\nhello\r\n",
        chunkedHead + "5\r\nhel",
        chunkedHead + "5\r\nhello\r\n0\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + chunkedHead.substr(17)
            + "5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\nhello",
    };
    for (const std::string &response : responses) {
        http_fake *fakeServer = nullptr;
        const std::unique_ptr<http_fake> worker
            = startFakeServer([&](http_fake::connection_id connection, const received_request &) {
                  fakeServer->respond(connection, response, true);
              });
        fakeServer = worker.get();
        for (const bool idempotent : {true, false}) {
            const attempt_finished ended
                = runAttempt(makeAttempt(worker->address(), "/x", idempotent));
            BOOST_CHECK_MESSAGE(ended.end == attempt_end::broken, toString(ended.end)
                                                                      << " for " << response);
            BOOST_CHECK(!ended.response);
            BOOST_CHECK(!ended.detail.empty());
        }
    }
}

// Guards against an answer that has no status code of HTTP and is forwarded, and against a later
// answer that is read from its connection.
BOOST_FIXTURE_TEST_CASE(responses_without_a_valid_status_code_are_broken, worker_fixture)
{
    std::string statusLine;
    std::vector<http_fake::connection_id> connections;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker
        = startFakeServer([&](http_fake::connection_id connection, const received_request &) {
              connections.push_back(connection);
              fakeServer->respond(connection, statusLine + "\r\nContent-Length: 0\r\n\r\n");
          });
    fakeServer = worker.get();
    for (const char *const code :
         {"000", "0",   "00",   "099",  "99",    "600", "999", "2000", "0200", "200OK",
          "+20", "-20", "-200", " 200", "\t200", "2 0", "20x", "0x1",  "",     "OK"}) {
        for (const bool idempotent : {true, false}) {
            statusLine = "HTTP/1.1 " + std::string(code) + " X";
            const attempt_finished ended
                = runAttempt(makeAttempt(worker->address(), "/x", idempotent));
            BOOST_CHECK_MESSAGE(ended.end == attempt_end::broken, toString(ended.end)
                                                                      << " for \"" << code << '"');
            BOOST_CHECK(!ended.response);
            statusLine = "HTTP/1.1 200 OK";
            const attempt_finished next
                = runAttempt(makeAttempt(worker->address(), "/y", idempotent));
            BOOST_CHECK(next.end == attempt_end::answered);
            BOOST_CHECK(connections.back() != connections.at(connections.size() - 2));
        }
    }
}

// Guards against refusing the codes at the ends of the range, unassigned ones, and a status line
// that ends after its code.
BOOST_FIXTURE_TEST_CASE(all_status_codes_of_final_responses_are_forwarded, worker_fixture)
{
    std::string status;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request &) {
            fakeServer->respond(connection, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
        });
    fakeServer = worker.get();
    for (const int code : {200, 299, 418, 499, 500, 599}) {
        for (const char *const phrase : {"", " ", " OK", " Not like this 600"}) {
            status = std::to_string(code) + phrase;
            const attempt_finished ended = runAttempt(makeAttempt(worker->address(), "/x", true));
            BOOST_REQUIRE(ended.response);
            BOOST_CHECK_EQUAL(ended.response->status, code);
        }
    }
}

// Guards against a part of a response that a worker sends without end and whose bytes no bound
// counts: the gateway would read it until the time limit.
BOOST_FIXTURE_TEST_CASE(every_part_of_a_response_is_bounded, worker_fixture)
{
    constexpr std::size_t count = 200'000;
    const auto repeated = [](const std::string &text) {
        std::string out;
        for (std::size_t i = 0; i < count; ++i)
            out += text;
        return out;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::map<std::string, std::string> responses {
        {"interim responses", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
        {"interim header lines", "HTTP/1.1 100 Continue\r\n" + repeated("X: y\r\n")},
        {"status line", "HTTP/1.1 200 " + repeated("OK")},
        {"header lines", ok + repeated("X: y\r\n")},
        {"header line", ok + "X: " + repeated("y")},
        {"chunk size", chunkedHead + repeated("0")},
        {"chunk extension", chunkedHead + "5;" + repeated("x")},
        {"extension of the last chunk", chunkedHead + "5\r\nhello\r\n0;" + repeated("x")},
        {"trailer lines", chunkedHead + "5\r\nhello\r\n0\r\n" + repeated("X: y\r\n")},
        {"trailer line", chunkedHead + "5\r\nhello\r\n0\r\nX: " + repeated("y")},
    };
    for (const std::pair<const std::string, std::string> &response : responses) {
        http_fake *fakeServer = nullptr;
        const std::unique_ptr<http_fake> worker
            = startFakeServer([&](http_fake::connection_id connection, const received_request &) {
                  fakeServer->write(connection, response.second);
              });
        fakeServer = worker.get();
        start_attempt started = makeAttempt(worker->address(), "/x", true);
        started.timeLimit = seconds(2);
        const attempt_finished ended = runAttempt(started);
        BOOST_CHECK_MESSAGE(ended.end == attempt_end::broken,
                            toString(ended.end) << " for endless " << response.first);
    }
}

// Guards against a body of very small chunks, whose framing is larger than its data.
BOOST_FIXTURE_TEST_CASE(framing_of_small_chunks_is_bounded, worker_fixture)
{
    std::string body;
    for (std::size_t i = 0; i < worker_transport_settings().responseBytesMax / 4; ++i)
        body += "1\r\nx\r\n";
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker
        = startFakeServer([&](http_fake::connection_id connection, const received_request &) {
              fakeServer->write(connection, chunkedHead + body);
          });
    fakeServer = worker.get();
    BOOST_CHECK(runAttempt(makeAttempt(worker->address(), "/x", true)).end == attempt_end::broken);
}

// Guards against a chunked body that is taken for another one: every way to cut it into pieces
// gives the same body.
BOOST_AUTO_TEST_CASE(chunked_bodies_are_decoded_in_any_pieces)
{
    const std::string bytes
        = "5;a=\"b\"\r\nhello\r\n00A\r\n 0\r\n world\r\n0;x\r\nX-App: a\r\n\r\n";
    for (std::size_t length = 1; length <= bytes.size(); ++length) {
        chunk_decoder decoder(64);
        std::string body;
        for (std::size_t start = 0; start < bytes.size(); start += length)
            BOOST_CHECK(decoder.decode(std::string_view(bytes).substr(start, length), body));
        BOOST_CHECK(decoder.isComplete());
        BOOST_CHECK_EQUAL(body, "hello 0\r\n world");
    }
    for (const char *malformed : {"\r\n", ";a\r\n", "x\r\n", "2\r\nabc\r\n0\r\n\r\n"}) {
        chunk_decoder decoder(64);
        std::string body;
        BOOST_CHECK_MESSAGE(!decoder.decode(malformed, body), malformed);
    }
}

struct small_memory_fixture : worker_fixture
{
    small_memory_fixture() : worker_fixture(settings()) { }

    static worker_transport_settings settings()
    {
        worker_transport_settings out;
        out.heldResponseBytesMax = 1'000'000;
        return out;
    }
};

// Guards against responses that are each within their bound and exhaust the memory together, and
// against small responses that fail because of them.
BOOST_FIXTURE_TEST_CASE(responses_in_progress_are_bounded_together, small_memory_fixture)
{
    const std::string large(900'000, 'x');
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request &request) {
            if (request.target == "/small")
                fakeServer->respond(connection, framedResponse(200, {}, "small"));
            else
                fakeServer->write(connection,
                                  "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + large);
        });
    fakeServer = worker.get();
    start_attempt first = makeAttempt(worker->address(), "/first", true);
    first.connectionLimit = 10;
    transport->startAttempt(first);
    // Nothing tells when the first response holds its memory.
    runUntil([]() { return false; }, milliseconds(300));
    start_attempt second = makeAttempt(worker->address(), "/second", true);
    second.connectionLimit = 10;
    const attempt_finished ended = runAttempt(second);
    BOOST_CHECK(ended.end == attempt_end::broken);
    start_attempt small = makeAttempt(worker->address(), "/small", true);
    small.connectionLimit = 10;
    BOOST_CHECK(runAttempt(small).end == attempt_end::answered);
    transport->cancelAttempt({first.attempt});
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<attempt_finished>().size() == 3; }));
    // The memory of the cancelled response is available again.
    start_attempt third = makeAttempt(worker->address(), "/third", true);
    third.connectionLimit = 10;
    third.timeLimit = seconds(1);
    BOOST_CHECK(runAttempt(third).end == attempt_end::timed_out);
}

// Guards against lost request or response fields and against internal headers that reach the
// caller.
BOOST_FIXTURE_TEST_CASE(complete_response_is_answered_with_load, worker_fixture)
{
    received_request seen;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request &request) {
            seen = request;
            fakeServer->respond(connection, "HTTP/1.1 100 Continue\r\n\r\n"
                                            "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n"
                                            "Connection: X-Hop\r\nX-Hop: 1\r\nX-App: a\r\n"
                                            "Almondnotch-Load: running=1;queued=2;slots=6\r\n"
                                            "Almondnotch-State: cold\r\n\r\n"
                                            "5\r\nhello\r\n0\r\nX-App: trailer\r\n\r\n");
        });
    fakeServer = worker.get();
    const attempt_finished ended
        = runAttempt(makeAttempt(worker->address(), "/a/../b?c=%20", false));
    BOOST_REQUIRE(ended.end == attempt_end::answered);
    BOOST_CHECK_EQUAL(ended.response->status, 201);
    BOOST_CHECK_EQUAL(ended.response->body, "hello");
    BOOST_CHECK((ended.response->headers == std::vector<header_field> {{"X-App", "a"}}));
    BOOST_CHECK((ended.load == load_report {1, 2, 6, worker_state::cold}));
    BOOST_CHECK_EQUAL(seen.method, "POST");
    BOOST_CHECK_EQUAL(seen.target, "/a/../b?c=%20");
    BOOST_CHECK_EQUAL(seen.body, "body of /a/../b?c=%20");
    BOOST_CHECK_EQUAL(seen.header("Almondnotch-Depth"), "3");
    BOOST_CHECK_EQUAL(seen.header("Almondnotch-Attempt"), "0");
    BOOST_CHECK_EQUAL(seen.header("Idempotency-Key"), "k/1");
    BOOST_CHECK_EQUAL(seen.header("X-Caller"), "c");
    const int deadline = std::stoi(seen.header("Almondnotch-Deadline-Ms"));
    BOOST_CHECK(deadline > 4000 && deadline <= 5000);
    for (const char *name : {"Expect", "Accept", "Content-Type"})
        BOOST_CHECK_EQUAL(seen.header(name), "");
}

// Guards against taking a refused call for an executed one, and the reverse.
BOOST_FIXTURE_TEST_CASE(refusal_requires_503_and_the_outcome_header, worker_fixture)
{
    std::string response;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker
        = startFakeServer([&](http_fake::connection_id connection, const received_request &) {
              fakeServer->respond(connection, response);
          });
    fakeServer = worker.get();
    response = framedResponse(503, {{"Almondnotch-Outcome", "not-run"}}, "");
    const attempt_finished refused = runAttempt(makeAttempt(worker->address(), "/", false));
    BOOST_CHECK(refused.rejectedBeforeRun && refused.response->outcome == call_outcome::not_run);
    for (const int status : {200, 500, 503}) {
        const std::string outcome = status == 503 ? "run" : "not-run";
        response = framedResponse(status, {{"Almondnotch-Outcome", outcome}}, "");
        BOOST_CHECK(!runAttempt(makeAttempt(worker->address(), "/", false)).rejectedBeforeRun);
    }
}

// Guards against libcurl's automatic retry on a reused connection. It would execute a
// non-idempotent operation twice, and would send an idempotent request up to five times to a worker
// that resets its connections, without counting against a retry budget.
BOOST_FIXTURE_TEST_CASE(each_attempt_is_transmitted_once, worker_fixture)
{
    std::map<std::string, int> executions;
    std::map<std::string, http_fake::connection_id> firstConnection;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request &request) {
            const int count = ++executions[request.target];
            firstConnection.emplace(request.target, connection);
            // The worker has read the request, so it counts as executed. Then the connection is
            // lost.
            if (request.target != "/first" && count == 1)
                fakeServer->close(connection);
            else
                fakeServer->respond(connection, framedResponse(200, {}, request.target));
        });
    fakeServer = worker.get();
    BOOST_REQUIRE(runAttempt(makeAttempt(worker->address(), "/first", true)).end
                  == attempt_end::answered);
    const attempt_finished nonIdempotentOutcome
        = runAttempt(makeAttempt(worker->address(), "/pay", false));
    BOOST_CHECK(nonIdempotentOutcome.end == attempt_end::broken);
    BOOST_CHECK_EQUAL(firstConnection["/pay"], firstConnection["/first"]);
    runFor(milliseconds(50));
    BOOST_CHECK_EQUAL(executions["/pay"], 1);
    BOOST_CHECK_EQUAL(transport->counters().value("worker_retransmissions_refused_total"), 1U);

    BOOST_REQUIRE(runAttempt(makeAttempt(worker->address(), "/first", true)).end
                  == attempt_end::answered);
    const attempt_finished idempotentOutcome
        = runAttempt(makeAttempt(worker->address(), "/read", true));
    BOOST_CHECK(idempotentOutcome.end == attempt_end::broken);
    runFor(milliseconds(50));
    BOOST_CHECK_EQUAL(executions["/read"], 1);
    BOOST_CHECK_EQUAL(transport->counters().value("worker_retransmissions_refused_total"), 2U);
}

// Guards against reading a late response to a cancelled attempt as the response to the next one.
BOOST_FIXTURE_TEST_CASE(late_response_never_reaches_the_next_attempt, worker_fixture)
{
    std::vector<http_fake::connection_id> heldConnections;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request &request) {
            if (request.target == "/late")
                heldConnections.push_back(connection);
            else
                fakeServer->respond(connection, framedResponse(200, {}, request.target));
        });
    fakeServer = worker.get();
    BOOST_REQUIRE(runAttempt(makeAttempt(worker->address(), "/first", true)).end
                  == attempt_end::answered);
    const start_attempt cancelledAttempt = makeAttempt(worker->address(), "/late", false);
    transport->startAttempt(cancelledAttempt);
    BOOST_REQUIRE(runUntil([&]() { return !heldConnections.empty(); }));
    transport->cancelAttempt({cancelledAttempt.attempt});
    fakeServer->respond(heldConnections.front(), framedResponse(200, {}, "/late"));
    const start_attempt next = makeAttempt(worker->address(), "/next", false);
    transport->startAttempt(next);
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<attempt_finished>().size() == 3; }));
    const std::vector<attempt_finished> ended = sink->eventsOfType<attempt_finished>();
    BOOST_CHECK(ended[1].attempt == cancelledAttempt.attempt
                && ended[1].end == attempt_end::cancelled);
    BOOST_REQUIRE(ended[2].attempt == next.attempt && ended[2].response);
    BOOST_CHECK_EQUAL(ended[2].response->body, "/next");
    BOOST_CHECK_EQUAL(worker->acceptedConnections(), 2U);
}

// Guards against an attempt that waits for a connection and is sent although the decision core has
// withdrawn it, and against breaking off one that was already sent.
BOOST_FIXTURE_TEST_CASE(only_unsent_attempts_are_withdrawn, worker_fixture)
{
    std::vector<http_fake::connection_id> heldConnections;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request & /*request*/) {
            heldConnections.push_back(connection);
        });
    start_attempt sent = makeAttempt(worker->address(), "/sent", true);
    sent.connectionLimit = 1;
    transport->startAttempt(sent);
    BOOST_REQUIRE(runUntil([&]() { return heldConnections.size() == 1; }));
    start_attempt waiting = makeAttempt(worker->address(), "/waiting", true);
    waiting.connectionLimit = 1;
    transport->startAttempt(waiting);
    transport->withdrawAttempt({sent.attempt});
    transport->withdrawAttempt({waiting.attempt});
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<attempt_finished>().size() == 1; }));
    const attempt_finished withdrawn = sink->eventsOfType<attempt_finished>().front();
    BOOST_CHECK(withdrawn.attempt == waiting.attempt && withdrawn.end == attempt_end::not_sent);
    BOOST_CHECK(withdrawn.wasWithdrawn);
    worker->respond(heldConnections.front(), framedResponse(200, {}, "/sent"));
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<attempt_finished>().size() == 2; }));
    BOOST_CHECK(sink->eventsOfType<attempt_finished>().back().end == attempt_end::answered);
    BOOST_CHECK_EQUAL(heldConnections.size(), 1U);
}

// Guards against reading a duplicate response from a worker as the response to the next attempt.
BOOST_FIXTURE_TEST_CASE(unexpected_bytes_on_an_idle_connection_are_never_read, worker_fixture)
{
    http_fake::connection_id used = 0;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request &request) {
            used = connection;
            fakeServer->respond(connection, framedResponse(200, {}, request.target));
        });
    fakeServer = worker.get();
    BOOST_REQUIRE(runAttempt(makeAttempt(worker->address(), "/first", true)).end
                  == attempt_end::answered);
    fakeServer->write(used, framedResponse(200, {}, "/first"));
    runFor(milliseconds(20));
    const attempt_finished next = runAttempt(makeAttempt(worker->address(), "/next", false));
    BOOST_REQUIRE(next.end == attempt_end::answered);
    BOOST_CHECK_EQUAL(next.response->body, "/next");
}

// Guards against reporting a call that was never sent as possibly executed.
BOOST_FIXTURE_TEST_CASE(attempts_that_cannot_be_sent_end_as_not_sent, worker_fixture)
{
    BOOST_CHECK(runAttempt(makeAttempt(closedAddress(), "/x", false)).end == attempt_end::not_sent);
    BOOST_CHECK(runAttempt(makeAttempt("worker.example:80", "/x", false)).end
                == attempt_end::not_sent);
    start_attempt expired = makeAttempt("127.0.0.1:9", "/x", false);
    expired.timeLimit = duration(0);
    BOOST_CHECK(runAttempt(expired).end == attempt_end::not_sent);
    start_attempt malformedTarget = makeAttempt("127.0.0.1:9", "/x y", false);
    BOOST_CHECK(runAttempt(malformedTarget).end == attempt_end::not_sent);
}

// Guards against an attempt that exceeds its time limit because the worker does not respond.
BOOST_FIXTURE_TEST_CASE(unresponsive_worker_times_out, worker_fixture)
{
    const std::unique_ptr<http_fake> worker
        = startFakeServer([](http_fake::connection_id, const received_request &) {});
    start_attempt hanging = makeAttempt(worker->address(), "/x", true);
    hanging.timeLimit = milliseconds(100);
    BOOST_CHECK(runAttempt(hanging).end == attempt_end::timed_out);
}

// Guards against more connections than the worker allows and against an unbounded queue.
BOOST_AUTO_TEST_CASE(attempts_above_the_connection_limit_wait_in_a_bounded_queue)
{
    worker_transport_settings settings;
    settings.waitingPerWorkerMax = 2;
    worker_fixture fixture(settings);
    std::vector<http_fake::connection_id> heldConnections;
    const std::unique_ptr<http_fake> worker = fixture.startFakeServer(
        [&](http_fake::connection_id connection, const received_request &) {
            heldConnections.push_back(connection);
        });
    std::vector<start_attempt> attempts;
    for (int count = 0; count < 4; ++count) {
        attempts.push_back(fixture.makeAttempt(worker->address(), "/x", false));
        attempts.back().timeLimit = count == 1 ? milliseconds(50) : seconds(5);
        fixture.transport->startAttempt(attempts.back());
    }
    recording_sink &sink = *fixture.sink;
    BOOST_REQUIRE(
        fixture.runUntil([&]() { return sink.eventsOfType<attempt_finished>().size() == 2; }));
    // The queue was full for the fourth attempt; the second waited longer than its time limit.
    BOOST_CHECK(sink.eventsOfType<attempt_finished>()[0].attempt == attempts[3].attempt);
    BOOST_CHECK(sink.eventsOfType<attempt_finished>()[1].attempt == attempts[1].attempt);
    for (const attempt_finished &ended : sink.eventsOfType<attempt_finished>())
        BOOST_CHECK(ended.end == attempt_end::not_sent);
    BOOST_REQUIRE_EQUAL(heldConnections.size(), 1U);
    worker->respond(heldConnections[0], framedResponse(200, {}, ""));
    BOOST_REQUIRE(fixture.runUntil([&]() { return heldConnections.size() == 2; }));
    worker->respond(heldConnections[1], framedResponse(200, {}, ""));
    BOOST_REQUIRE(
        fixture.runUntil([&]() { return sink.eventsOfType<attempt_finished>().size() == 4; }));
    BOOST_CHECK_EQUAL(worker->acceptedConnections(), 1U);
}

// Guards against accepting an invalid load report from the load endpoint and against probe bytes
// that are not counted.
BOOST_FIXTURE_TEST_CASE(probe_reads_the_load_endpoint, worker_fixture)
{
    std::string document = R"({"running":3,"queued":1,"slots":6,"state":"draining"})";
    std::string target;
    http_fake *fakeServer = nullptr;
    const std::unique_ptr<http_fake> worker = startFakeServer(
        [&](http_fake::connection_id connection, const received_request &request) {
            target = request.target;
            fakeServer->respond(connection, framedResponse(200, {}, document));
        });
    fakeServer = worker.get();
    transport->startProbe({probe_id(1), worker->address(), seconds(1)});
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<probe_finished>().size() == 1; }));
    BOOST_CHECK_EQUAL(target, "/almondnotch/load");
    BOOST_CHECK((sink->eventsOfType<probe_finished>()[0].load
                 == load_report {3, 1, 6, worker_state::draining}));
    BOOST_CHECK_GT(sink->eventsOfType<probe_finished>()[0].bytes, document.size() + 40);
    document = R"({"running":-3,"queued":1,"slots":6,"state":"ready"})";
    transport->startProbe({probe_id(2), worker->address(), seconds(1)});
    transport->startProbe({probe_id(3), closedAddress(), seconds(1)});
    BOOST_REQUIRE(runUntil([&]() { return sink->eventsOfType<probe_finished>().size() == 3; }));
    BOOST_CHECK(!sink->eventsOfType<probe_finished>()[1].load
                && !sink->eventsOfType<probe_finished>()[2].load);
}

// Guards against a malformed load header that changes the known load of a worker.
BOOST_AUTO_TEST_CASE(load_header_is_parsed_strictly)
{
    BOOST_CHECK((parseLoadHeader("running=1;queued=0;slots=6")
                 == load_report {1, 0, 6, worker_state::ready}));
    for (const char *text :
         {"", "running=1", "running=1;queued=0;slots=", "running=-1;queued=0;slots=6",
          "running=1;queued=0;slots=6;", "running=1; queued=0; slots=6",
          "queued=0;running=1;slots=6", "running=1;queued=0;slots=9999999", "running=0x1"})
        BOOST_CHECK_MESSAGE(!parseLoadHeader(text), text);
}

} // namespace almondnotch
