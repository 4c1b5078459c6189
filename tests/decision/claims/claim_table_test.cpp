#include <boost/test/unit_test.hpp>

#include "tests/decision/claims/claim_fixture.h"

namespace almondnotch {

// Guards against a second run of an operation whose caller sends it again.
BOOST_AUTO_TEST_CASE(repeat_waits_and_then_gets_the_stored_response)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    BOOST_TEST((fixture.begin(at(1), key).verdict == claim_verdict::execute));
    BOOST_TEST((fixture.begin(at(2), key).verdict == claim_verdict::wait));
    const shared_response response = makeResponse("booked");
    const std::vector<call_id> waiters = fixture.table.finish(key, call_outcome::run, response);
    BOOST_REQUIRE(waiters.size() == 1U);
    BOOST_TEST((waiters[0] == static_cast<call_id>(2)));
    const claim_result replay = fixture.begin(at(3), key);
    BOOST_TEST((replay.verdict == claim_verdict::replay));
    BOOST_TEST(replay.response == response);
}

// Guards against a second run after a first one whose outcome is not known.
BOOST_AUTO_TEST_CASE(unknown_outcome_is_never_run_again)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.begin(at(1), key);
    fixture.table.finish(key, call_outcome::unknown, makeResponse(""));
    const claim_result repeat = fixture.begin(at(2), key);
    BOOST_TEST((repeat.verdict == claim_verdict::refuse));
    BOOST_TEST((repeat.response->outcome == call_outcome::unknown));
}

// Guards against a copy of a call that was delayed on its way and runs after its caller was told
// that the operation did not run.
BOOST_AUTO_TEST_CASE(not_run_is_final)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.begin(at(1), key);
    std::shared_ptr<call_response> refusal = std::make_shared<call_response>();
    refusal->outcome = call_outcome::not_run;
    fixture.table.finish(key, call_outcome::not_run, refusal);
    const claim_result late = fixture.begin(at(2), key);
    BOOST_TEST((late.verdict == claim_verdict::replay));
    BOOST_TEST((late.response->outcome == call_outcome::not_run));
}

// Guards against a number that was refused by a full table and runs when there is room again.
BOOST_AUTO_TEST_CASE(refusal_by_a_full_table_is_final)
{
    claim_fixture fixture("vm-a", 1);
    const std::string first = fixture.key(1, seconds(1));
    fixture.begin(at(2), first);
    const std::string refused = fixture.key(2, seconds(1));
    BOOST_TEST((fixture.begin(at(3), refused).response->outcome == call_outcome::not_run));
    fixture.table.finish(first, call_outcome::run, makeResponse(""));
    fixture.table.expire(at(1300));
    BOOST_TEST(fixture.table.size() == 0U);
    // A claim is only forgotten after its range was closed, so an early range stands for both.
    const std::string same = fixture.key(2, seconds(1));
    BOOST_TEST((fixture.begin(at(500), same).verdict == claim_verdict::refuse));
    const std::string fresh = fixture.key(3, seconds(1250));
    BOOST_TEST((fixture.begin(at(1300), fresh).verdict == claim_verdict::execute));
}

// Guards against another caller's response under a key that is used for two requests.
BOOST_AUTO_TEST_CASE(same_key_with_another_request_is_refused)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.begin(at(1), key, 1);
    const claim_result other = fixture.begin(at(2), key, 2);
    BOOST_TEST((other.verdict == claim_verdict::refuse));
    BOOST_TEST(other.response->status == 422);
}

// Guards against a claim that is forgotten while its absence still counts as "never ran".
BOOST_AUTO_TEST_CASE(claims_outlive_the_proof_of_absence)
{
    claim_fixture fixture;
    const std::string used = fixture.key(1, seconds(10));
    const std::string unused = fixture.key(2, seconds(10));
    fixture.begin(at(11), used);
    fixture.table.finish(used, call_outcome::run, makeResponse("done"));

    fixture.table.expire(at(1209));
    BOOST_TEST((fixture.begin(at(1209), used).verdict == claim_verdict::replay));
    const claim_result late = fixture.begin(at(1209), unused);
    BOOST_TEST((late.response->outcome == call_outcome::not_run));

    fixture.table.expire(at(1221));
    BOOST_TEST(fixture.table.size() == 0U);
    BOOST_TEST((fixture.begin(at(1221), used).response->outcome == call_outcome::unknown));
    BOOST_TEST((fixture.begin(at(1221), unused).response->outcome == call_outcome::unknown));
}

// Guards against a full table that forgets a claim to make room, or grows over its bound.
BOOST_AUTO_TEST_CASE(full_table_refuses_new_operations_and_keeps_old_ones)
{
    claim_fixture fixture("vm-a", 2);
    fixture.begin(at(1), fixture.key(1));
    fixture.begin(at(1), fixture.key(2));
    const claim_result third = fixture.begin(at(1), fixture.key(3));
    BOOST_TEST((third.verdict == claim_verdict::refuse));
    BOOST_TEST((third.response->outcome == call_outcome::not_run));
    BOOST_TEST((fixture.begin(at(2), fixture.key(1)).verdict == claim_verdict::wait));
}

// Guards against a process that runs a key whose range another process minted.
BOOST_AUTO_TEST_CASE(keys_of_other_processes_are_forwarded)
{
    claim_fixture otherOwner("vm-b");
    claim_fixture fixture("vm-a");
    const claim_result verdict = fixture.begin(at(1), otherOwner.key(1));
    BOOST_TEST((verdict.verdict == claim_verdict::forward));
    BOOST_TEST((verdict.owner == otherOwner.self));
}

// Guards against a replaced process on the same VM that takes its predecessor's keys for its own.
BOOST_AUTO_TEST_CASE(a_restarted_process_does_not_own_old_keys)
{
    claim_fixture fixture;
    key_range old {fixture.self, duration {0}, 1};
    old.initialOwner.startNumber = 6;
    const claim_result verdict = fixture.begin(at(1), formatKeyRange(old, "secret") + "/1");
    BOOST_TEST((verdict.verdict == claim_verdict::forward));
}

// Guards against a leaving process that starts an operation after it sealed its claims.
BOOST_AUTO_TEST_CASE(sealed_table_starts_nothing_new)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.begin(at(1), key);
    fixture.table.finish(key, call_outcome::run, makeResponse("done"));
    fixture.table.seal();
    BOOST_TEST((fixture.begin(at(2), key).verdict == claim_verdict::replay));
    const claim_result fresh = fixture.begin(at(2), fixture.key(2));
    BOOST_TEST((fresh.verdict == claim_verdict::refuse));
    BOOST_TEST((fresh.response->outcome == call_outcome::not_run));
}

// Guards against stored responses that exceed their bound in memory.
BOOST_AUTO_TEST_CASE(large_responses_are_not_kept_but_the_outcome_is)
{
    claim_fixture fixture;
    const std::string key = fixture.key(1);
    fixture.begin(at(1), key);
    fixture.table.finish(key, call_outcome::run, makeResponse(std::string(20000, 'x')));
    const claim_result repeat = fixture.begin(at(2), key);
    BOOST_TEST((repeat.verdict == claim_verdict::refuse));
    BOOST_TEST((repeat.response->outcome == call_outcome::run));
}

} // namespace almondnotch
