#include <boost/test/unit_test.hpp>

#include "tests/decision/claims/claim_fixture.h"

namespace almondnotch {

// Guards against executing an operation twice when its caller retries it.
BOOST_AUTO_TEST_CASE(duplicate_call_waits_and_then_gets_the_stored_response)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    BOOST_TEST((fixture.beginOperation(at(1), key).verdict == claim_verdict::execute));
    BOOST_TEST((fixture.beginOperation(at(2), key).verdict == claim_verdict::wait));
    const shared_response response = makeResponse("booked");
    const std::vector<call_id> waiters
        = fixture.table.finishOperation(key, call_outcome::run, response);
    BOOST_REQUIRE(waiters.size() == 1U);
    BOOST_TEST((waiters[0] == static_cast<call_id>(2)));
    const claim_result replay = fixture.beginOperation(at(3), key);
    BOOST_TEST((replay.verdict == claim_verdict::replay));
    BOOST_TEST(replay.response == response);
}

// Guards against executing an operation again after an attempt with unknown outcome.
BOOST_AUTO_TEST_CASE(operation_with_unknown_outcome_is_never_run_again)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.beginOperation(at(1), key);
    fixture.table.finishOperation(key, call_outcome::unknown, makeResponse(""));
    const claim_result repeat = fixture.beginOperation(at(2), key);
    BOOST_TEST((repeat.verdict == claim_verdict::reject));
    BOOST_TEST((repeat.response->outcome == call_outcome::unknown));
}

// Guards against a delayed copy of a call that is executed after the caller received the outcome
// `not_run`.
BOOST_AUTO_TEST_CASE(not_run_is_final)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.beginOperation(at(1), key);
    std::shared_ptr<call_response> notRunResponse = std::make_shared<call_response>();
    notRunResponse->outcome = call_outcome::not_run;
    fixture.table.finishOperation(key, call_outcome::not_run, notRunResponse);
    const claim_result late = fixture.beginOperation(at(2), key);
    BOOST_TEST((late.verdict == claim_verdict::replay));
    BOOST_TEST((late.response->outcome == call_outcome::not_run));
}

// Guards against executing an operation whose key was rejected by a full table, when the table has
// room again.
BOOST_AUTO_TEST_CASE(rejection_by_a_full_table_is_final)
{
    claim_fixture fixture("vm-a", 1);
    const std::string first = fixture.key(1, seconds(1));
    fixture.beginOperation(at(2), first);
    const std::string rejectedKey = fixture.key(2, seconds(1));
    BOOST_TEST(
        (fixture.beginOperation(at(3), rejectedKey).response->outcome == call_outcome::not_run));
    fixture.table.finishOperation(first, call_outcome::run, makeResponse(""));
    fixture.table.expire(at(1300));
    BOOST_TEST(fixture.table.size() == 0U);
    // The claim was removed only because its range has expired (1300 s). The range of the rejected
    // key is equally old, so at 1300 s the key would be rejected for its age alone. The test
    // therefore goes back to 500 s, when the range would still accept new operations if the full
    // table had not closed it.
    const std::string sameKey = fixture.key(2, seconds(1));
    BOOST_TEST((fixture.beginOperation(at(500), sameKey).verdict == claim_verdict::reject));
    const std::string fresh = fixture.key(3, seconds(1250));
    BOOST_TEST((fixture.beginOperation(at(1300), fresh).verdict == claim_verdict::execute));
}

// Guards against returning the response to another request if a caller uses one key for two
// requests.
BOOST_AUTO_TEST_CASE(same_key_with_another_request_is_rejected)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.beginOperation(at(1), key, 1);
    const claim_result other = fixture.beginOperation(at(2), key, 2);
    BOOST_TEST((other.verdict == claim_verdict::reject));
    BOOST_TEST(other.response->status == 422);
}

// Guards against removing a claim while its absence still counts as proof that the operation never
// ran.
BOOST_AUTO_TEST_CASE(claims_are_kept_while_absence_proves_not_run)
{
    claim_fixture fixture;
    const std::string used = fixture.key(1, seconds(10));
    const std::string unused = fixture.key(2, seconds(10));
    fixture.beginOperation(at(11), used);
    fixture.table.finishOperation(used, call_outcome::run, makeResponse("done"));

    fixture.table.expire(at(1209));
    BOOST_TEST((fixture.beginOperation(at(1209), used).verdict == claim_verdict::replay));
    const claim_result late = fixture.beginOperation(at(1209), unused);
    BOOST_TEST((late.response->outcome == call_outcome::not_run));

    fixture.table.expire(at(1221));
    BOOST_TEST(fixture.table.size() == 0U);
    BOOST_TEST((fixture.beginOperation(at(1221), used).response->outcome == call_outcome::unknown));
    BOOST_TEST(
        (fixture.beginOperation(at(1221), unused).response->outcome == call_outcome::unknown));
}

// Guards against a full table that evicts a claim to make room, or exceeds its bound.
BOOST_AUTO_TEST_CASE(full_table_rejects_new_operations_and_keeps_old_ones)
{
    claim_fixture fixture("vm-a", 2);
    fixture.beginOperation(at(1), fixture.key(1));
    fixture.beginOperation(at(1), fixture.key(2));
    const claim_result third = fixture.beginOperation(at(1), fixture.key(3));
    BOOST_TEST((third.verdict == claim_verdict::reject));
    BOOST_TEST((third.response->outcome == call_outcome::not_run));
    BOOST_TEST((fixture.beginOperation(at(2), fixture.key(1)).verdict == claim_verdict::wait));
}

// Guards against executing a call whose key range another process owns.
BOOST_AUTO_TEST_CASE(keys_of_other_processes_are_forwarded)
{
    claim_fixture otherOwner("vm-b");
    claim_fixture fixture("vm-a");
    const claim_result decision = fixture.beginOperation(at(1), otherOwner.key(1));
    BOOST_TEST((decision.verdict == claim_verdict::forward));
    BOOST_TEST((decision.owner == otherOwner.self));
}

// Guards against a restarted process that treats the keys of its predecessor on the same VM as its
// own.
BOOST_AUTO_TEST_CASE(a_restarted_process_does_not_own_old_keys)
{
    claim_fixture fixture;
    key_range old {fixture.self, duration {0}, 1};
    old.initialOwner.startNumber = 6;
    const claim_result decision
        = fixture.beginOperation(at(1), formatKeyRange(old, "secret") + "/1");
    BOOST_TEST((decision.verdict == claim_verdict::forward));
}

// Guards against a leaving process that starts an operation after its claim table was sealed, since
// its successor would not learn of it.
BOOST_AUTO_TEST_CASE(sealed_table_accepts_no_new_operations)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.beginOperation(at(1), key);
    fixture.table.finishOperation(key, call_outcome::run, makeResponse("done"));
    fixture.table.seal();
    BOOST_TEST((fixture.beginOperation(at(2), key).verdict == claim_verdict::replay));
    const claim_result fresh = fixture.beginOperation(at(2), fixture.key(2));
    BOOST_TEST((fresh.verdict == claim_verdict::reject));
    BOOST_TEST((fresh.response->outcome == call_outcome::not_run));
}

// Guards against storing a response that exceeds the size limit (16 KiB), and against losing the
// outcome together with the response.
BOOST_AUTO_TEST_CASE(large_responses_are_not_stored_but_the_outcome_is)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.beginOperation(at(1), key);
    fixture.table.finishOperation(key, call_outcome::run, makeResponse(std::string(20000, 'x')));
    const claim_result repeat = fixture.beginOperation(at(2), key);
    BOOST_TEST((repeat.verdict == claim_verdict::reject));
    BOOST_TEST((repeat.response->outcome == call_outcome::run));
}

} // namespace almondnotch
