#include <boost/test/unit_test.hpp>

#include <set>

#include "decision/claims/key_range.h"
#include "tests/decision/gateway/gateway_fixture.h"

namespace almondnotch {

namespace {

/// Returns the response that was sent, and requires that there is exactly one.
call_response onlyResponse(gateway_fixture &fixture)
{
    const std::vector<send_response> sent = fixture.take<send_response>();
    BOOST_REQUIRE(sent.size() == 1U);
    return *sent[0].response;
}

/// Returns the attempt that was started, and requires that there is exactly one.
start_attempt onlyAttempt(gateway_fixture &fixture)
{
    const std::vector<start_attempt> started = fixture.take<start_attempt>();
    BOOST_REQUIRE(started.size() == 1U);
    return started[0];
}

} // namespace

// Guards against a request that does not reach a worker or whose response does not reach the
// caller.
BOOST_AUTO_TEST_CASE(read_is_sent_to_a_worker_and_answered)
{
    gateway_fixture fixture;
    const call_id call = fixture.submitRead("a");
    const start_attempt attempt = onlyAttempt(fixture);
    BOOST_TEST(attempt.idempotent);
    BOOST_TEST(attempt.request->target == "/read/a");
    fixture.answer(attempt);
    const std::vector<send_response> sent = fixture.take<send_response>();
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST((sent[0].call == call));
    BOOST_TEST(sent[0].response->body == "/read/a");
}

// Guards against accepting a call that matches no rule or exceeds the maximum number of hops.
BOOST_AUTO_TEST_CASE(unroutable_calls_are_not_run)
{
    gateway_fixture fixture;
    std::shared_ptr<call_request> request = std::make_shared<call_request>();
    request->method = "GET";
    request->target = "/elsewhere";
    fixture.handle(call_received {static_cast<call_id>(99), request});
    const call_response unknownPath = onlyResponse(fixture);
    BOOST_TEST(unknownPath.status == 404);
    BOOST_TEST((unknownPath.outcome == call_outcome::not_run));
    fixture.submitRead("deep", std::nullopt, callDepthMax);
    BOOST_TEST(onlyResponse(fixture).status == 508);
}

// Guards against a call that fails because one worker accepts no connections, although others are
// available.
BOOST_AUTO_TEST_CASE(booking_that_was_not_sent_is_retried_on_another_worker)
{
    gateway_fixture fixture;
    fixture.submitBooking("a", fixture.newKey());
    const start_attempt first = onlyAttempt(fixture);
    fixture.endAttempt(first, attempt_end::not_sent);
    const start_attempt second = onlyAttempt(fixture);
    BOOST_TEST(second.workerName != first.workerName);
    fixture.answer(second);
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::run));
}

// Guards against retrying a booking that a worker may have executed.
BOOST_AUTO_TEST_CASE(booking_with_broken_connection_has_unknown_outcome_and_is_never_retried)
{
    gateway_fixture fixture;
    const std::string key = fixture.newKey();
    fixture.submitBooking("a", key);
    fixture.endAttempt(onlyAttempt(fixture), attempt_end::broken);
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::unknown));
    fixture.submitBooking("a", key);
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::unknown));
}

// Guards against sending a booking without an idempotency key again after a timeout.
BOOST_AUTO_TEST_CASE(booking_without_a_key_is_sent_once)
{
    gateway_fixture fixture;
    fixture.submitBooking("a", "");
    fixture.endAttempt(onlyAttempt(fixture), attempt_end::timed_out);
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::unknown));
}

// Guards against reporting a call as possibly executed although all workers rejected it as
// `not-run`.
BOOST_AUTO_TEST_CASE(call_rejected_by_all_workers_is_not_run)
{
    gateway_fixture fixture;
    fixture.submitBooking("a", fixture.newKey());
    std::vector<start_attempt> started = fixture.take<start_attempt>();
    while (!started.empty()) {
        fixture.answer(started[0], 503, true);
        started = fixture.take<start_attempt>();
    }
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::not_run));
}

// Guards against executing a duplicate call while the first one is still in progress.
BOOST_AUTO_TEST_CASE(duplicate_of_a_call_in_progress_gets_the_same_response)
{
    gateway_fixture fixture;
    const std::string key = fixture.newKey();
    fixture.submitBooking("a", key);
    const start_attempt attempt = onlyAttempt(fixture);
    fixture.submitBooking("a", key);
    BOOST_TEST(fixture.take<start_attempt>().empty());
    fixture.answer(attempt);
    const std::vector<send_response> sent = fixture.take<send_response>();
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[0].response == sent[1].response);
}

// Guards against cancelling an operation with an idempotency key when its caller disconnects. A
// retry with the same key must get the outcome.
BOOST_AUTO_TEST_CASE(claimed_booking_continues_after_its_caller_disconnects)
{
    gateway_fixture fixture;
    const std::string key = fixture.newKey();
    const call_id call = fixture.submitBooking("a", key);
    const start_attempt attempt = onlyAttempt(fixture);
    fixture.handle(caller_disconnected {call});
    BOOST_TEST(fixture.take<cancel_attempt>().empty());
    fixture.answer(attempt);
    BOOST_TEST(fixture.take<send_response>().empty());
    fixture.submitBooking("a", key);
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::run));
}

// Guards against continuing a call without an idempotency key after its caller has disconnected.
BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_a_read)
{
    gateway_fixture fixture;
    const call_id call = fixture.submitRead("a");
    const start_attempt attempt = onlyAttempt(fixture);
    fixture.handle(caller_disconnected {call});
    BOOST_TEST(fixture.take<cancel_attempt>().size() == 1U);
    fixture.endAttempt(attempt, attempt_end::cancelled);
    BOOST_TEST(fixture.take<send_response>().empty());
}

// Guards against sending a call to a worker after its deadline, also after a pause of the process.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_deadline)
{
    gateway_fixture fixture;
    fixture.submitRead("late", milliseconds(1));
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::not_run));

    fixture.submitRead("paused", milliseconds(500));
    const start_attempt attempt = onlyAttempt(fixture);
    fixture.simulatePause(seconds(3));
    fixture.endAttempt(attempt, attempt_end::broken);
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST(onlyResponse(fixture).status == 504);
}

// Guards against a call without a response because the worker never answers.
BOOST_AUTO_TEST_CASE(deadline_ends_the_call_and_cancels_the_attempt)
{
    gateway_fixture fixture;
    fixture.submitRead("a", milliseconds(200));
    const start_attempt attempt = onlyAttempt(fixture);
    fixture.advance(milliseconds(250));
    const call_response response = onlyResponse(fixture);
    BOOST_TEST(response.status == 504);
    BOOST_TEST((response.outcome == call_outcome::unknown));
    BOOST_TEST(fixture.take<cancel_attempt>().size() == 1U);
    fixture.endAttempt(attempt, attempt_end::cancelled);
}

// Guards against retries that multiply the load on a service that fails every call. The budget
// allows retries of 10% of the calls, and three more from the initial tokens.
BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
    gateway_fixture fixture;
    constexpr unsigned calls = 1000;
    unsigned attempts = 0;
    for (unsigned i = 0; i < calls; ++i) {
        fixture.submitRead("r" + std::to_string(i));
        std::vector<start_attempt> started = fixture.take<start_attempt>();
        while (!started.empty()) {
            ++attempts;
            fixture.answer(started[0], 500);
            started = fixture.take<start_attempt>();
        }
        fixture.advance(milliseconds(5));
    }
    BOOST_TEST(fixture.take<send_response>().size() == calls);
    BOOST_TEST(attempts <= calls * 11 / 10 + 3);
    BOOST_TEST(attempts > calls);
}

// Guards against retries at every hop of a chain of calls, which multiply the load.
BOOST_AUTO_TEST_CASE(inner_hops_do_not_retry_calls_that_may_have_run)
{
    gateway_fixture fixture;
    fixture.submitRead("inner", std::nullopt, 3);
    fixture.endAttempt(onlyAttempt(fixture), attempt_end::broken);
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST(fixture.take<send_response>().size() == 1U);
}

// Guards against a request that keeps crashing workers, and against quarantining other requests.
BOOST_AUTO_TEST_CASE(request_that_crashed_two_workers_is_quarantined)
{
    gateway_fixture fixture(6);
    std::set<std::string> crashed;
    fixture.advance(seconds(5)); // Lets the probe budget refill.
    for (int round = 0; round < 10; ++round) {
        fixture.submitRead("poison");
        std::vector<start_attempt> started = fixture.take<start_attempt>();
        while (!started.empty()) {
            const bool down = fixture.unreachableWorkers.contains(started[0].workerName);
            fixture.unreachableWorkers.insert(started[0].workerName);
            crashed.insert(started[0].workerName);
            fixture.endAttempt(started[0], down ? attempt_end::not_sent : attempt_end::broken);
            started = fixture.take<start_attempt>();
        }
        fixture.advance(milliseconds(500));
    }
    BOOST_TEST(crashed.size() == 2U);
    fixture.take<send_response>();
    fixture.submitRead("poison");
    BOOST_TEST(onlyResponse(fixture).status == 422);
    fixture.submitRead("other");
    BOOST_TEST(fixture.take<start_attempt>().size() == 1U);
}

// Guards against an attempt that is not cancelled when the response to its hedge arrives first, or
// whose late response is also sent to the caller.
BOOST_AUTO_TEST_CASE(hedge_wins_and_the_first_attempt_is_cancelled)
{
    gateway_fixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.submitRead("warm" + std::to_string(i));
        const start_attempt attempt = onlyAttempt(fixture);
        fixture.advance(milliseconds(5));
        fixture.answer(attempt);
    }
    fixture.take<send_response>();
    fixture.submitRead("slow");
    const start_attempt first = onlyAttempt(fixture);
    fixture.advance(milliseconds(20));
    const start_attempt second = onlyAttempt(fixture);
    BOOST_TEST(second.workerName != first.workerName);
    fixture.answer(second);
    const std::vector<cancel_attempt> cancelled = fixture.take<cancel_attempt>();
    BOOST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled[0].attempt == first.attempt));
    fixture.answer(first);
    BOOST_TEST(fixture.take<send_response>().size() == 1U);
}

// Guards against executing a call whose key belongs to another process, if that process is unknown.
BOOST_AUTO_TEST_CASE(key_of_an_unknown_process_has_unknown_outcome)
{
    gateway_fixture fixture;
    fixture.submitBooking("a", formatKeyRange({{"vm-9", 5}, duration {0}, 1}, "secret") + "/1");
    BOOST_TEST(fixture.take<start_attempt>().empty());
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::unknown));
}

// Guards against a forwarded call that waits for its deadline although the message to the owner of
// its key could not be sent.
BOOST_AUTO_TEST_CASE(forwarded_call_that_cannot_be_delivered_fails_immediately)
{
    gateway_fixture fixture;
    fleet_digest digest;
    digest.self.process = {"vm-1", 5};
    digest.self.failureDomain = "b";
    digest.self.entryAddress = "127.0.0.1:1001";
    digest.self.peerAddress = "127.0.0.1:3001";
    fixture.handle(peer_message_received {digest.self.process, digest});
    BOOST_REQUIRE(
        fixture.gatewayUnderTest->dump(fixture.now)["fleet"]["membership"]["members"].size() == 1U);
    fixture.take<send_peer_message>();
    fixture.submitBooking("a",
                          formatKeyRange({digest.self.process, duration {0}, 1}, "secret") + "/1");
    const std::vector<send_peer_message> sent = fixture.take<send_peer_message>();
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_REQUIRE(std::holds_alternative<forwarded_call>(sent[0].message));
    fixture.handle(peer_send_failed {sent[0].peerAddress, sent[0].messageId});
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::unknown));
}

// Guards against a process that does not detect that it was paused, and therefore relies on stale
// state.
BOOST_AUTO_TEST_CASE(pause_is_detected)
{
    gateway_fixture fixture;
    fixture.advance(seconds(5));
    BOOST_TEST(fixture.gatewayUnderTest->counters().value("pauses_total") == 0U);
    fixture.simulatePause(seconds(5));
    fixture.handle(timer_expired {});
    BOOST_TEST(fixture.gatewayUnderTest->counters().value("pauses_total") == 1U);
}

// Guards against attempts that are counted as in flight forever because their call ended before
// them. The worker would then appear loaded and get fewer calls.
BOOST_AUTO_TEST_CASE(attempts_that_outlive_their_call_do_not_stay_in_flight)
{
    gateway_fixture fixture;
    const call_id call = fixture.submitRead("gone");
    const start_attempt attempt = onlyAttempt(fixture);
    fixture.handle(caller_disconnected {call});
    fixture.endAttempt(attempt, attempt_end::cancelled);
    const nlohmann::json workers
        = fixture.gatewayUnderTest->dump(fixture.now)["workers"]["workers"];
    BOOST_REQUIRE(workers.size() == 3U);
    for (const nlohmann::json &worker : workers)
        BOOST_TEST(worker["in_flight"] == 0);
}

// Guards against a draining gateway that includes itself in entry responses, drops calls, or exits
// while callers may still have its address.
BOOST_AUTO_TEST_CASE(draining_gateway_serves_until_entry_responses_have_expired)
{
    gateway_fixture fixture;
    fixture.handle(entry_query {static_cast<query_id>(5), "shop"});
    BOOST_TEST(!fixture.take<send_entry_response>().at(0).addresses.empty());
    fixture.handle(drain_requested {});
    fixture.handle(entry_query {static_cast<query_id>(6), "shop"});
    BOOST_TEST(fixture.take<send_entry_response>().at(0).addresses.empty());

    fixture.advance(seconds(1));
    fixture.submitRead("during");
    const start_attempt attempt = onlyAttempt(fixture);
    fixture.advance(milliseconds(100));
    fixture.answer(attempt);
    const std::vector<send_response> sent = fixture.take<send_response>();
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].closeConnection);
    BOOST_TEST(fixture.take<exit_process>().empty());
    fixture.advance(seconds(3));
    BOOST_TEST(fixture.take<exit_process>().size() == 1U);
}

// Guards against a drain that drops the calls in progress at the drain's deadline instead of
// sending responses.
BOOST_AUTO_TEST_CASE(calls_in_progress_at_the_drain_deadline_get_a_response)
{
    gateway_fixture fixture;
    fixture.submitBooking("slow", fixture.newKey());
    fixture.take<start_attempt>();
    fixture.handle(drain_requested {fixture.now + seconds(4)});
    fixture.advance(seconds(4));
    BOOST_TEST((onlyResponse(fixture).outcome == call_outcome::unknown));
    BOOST_TEST(fixture.take<exit_process>().size() == 1U);
}

// Guards against sending new calls to workers on a VM that is leaving.
BOOST_AUTO_TEST_CASE(workers_on_leaving_vms_get_no_new_calls)
{
    gateway_fixture fixture;
    fixture.platform.vmList
        = R"({"version":2,"vms":[{"name":"h-1","state":"leaving","leave_at_unix_ms":0}]})";
    fixture.platform.vmListVersion = 2;
    fixture.advance(seconds(30));
    for (int i = 0; i < 60; ++i) {
        fixture.submitRead("r" + std::to_string(i));
        const start_attempt attempt = onlyAttempt(fixture);
        BOOST_TEST(attempt.workerName != "w-1");
        fixture.answer(attempt);
    }
}

} // namespace almondnotch
