#include <boost/test/unit_test.hpp>

#include "decision/routing/requests/overload_policy.h"
#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

constexpr instant start {seconds(100)};

held_request heldFor(duration age)
{
    return {start, start + milliseconds(300), start + seconds(1), milliseconds(90),
            age > duration {0}};
}

/// A worker that has just reported that all its slots are in use.
scored_worker fullWorker(duration expectedTime)
{
    scored_worker out;
    out.expectedTime = expectedTime;
    out.hasFreshReport = true;
    out.isAtFullSpeed = true;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_policy_suite)

// Load pattern: a burst of 2.5 times on one kind. What cannot be sent before its objective is
// refused when it arrives, not after it was held.
BOOST_AUTO_TEST_CASE(aBurstIsRefusedAtOnceBeyondWhatIsServedInTime)
{
    const service_room crowded {20, 50, 0.5, 1};
    const service_room passable {5, 50, 0.5, 1};
    const scored_worker full = fullWorker(milliseconds(400));
    BOOST_TEST((judgeHeldRequest(start, heldFor(duration {0}), full, crowded)
                == overload_verdict::refuse_queue_too_long));
    BOOST_TEST(
        (judgeHeldRequest(start, heldFor(duration {0}), full, passable) == overload_verdict::hold));
}

// Guards against refusals while a worker is free.
BOOST_AUTO_TEST_CASE(aFreeWorkerThatAnswersInTimeIsUsed)
{
    scored_worker best = fullWorker(milliseconds(150));
    best.hasFreeSlot = true;
    best.hasUnsaturatedSlot = true;
    BOOST_TEST((judgeHeldRequest(start, heldFor(duration {0}), best, {20, 50, 0.0, 1})
                == overload_verdict::send));
}

// Load pattern: callers that are refused at the same moment. Guards against their return at one
// time, when there is room for one of them only.
BOOST_AUTO_TEST_CASE(refusedCallersReturnOneAfterTheOther)
{
    return_schedule returns;
    const service_room room {0, 50, 0.1, 1};
    duration last {0};
    for (int i = 0; i < 10; ++i) {
        const duration delay = returns.place(start, heldFor(duration {0}), room, {});
        BOOST_TEST((delay >= last + milliseconds(20) || i == 0));
        last = delay;
    }
    for (int i = 0; i < 30; ++i)
        last = returns.place(start, heldFor(duration {0}), room, {});
    BOOST_TEST((last <= milliseconds(334)));
}

// Load pattern: shedding workers. The next try may succeed at once, so the caller returns while its
// objective can still be met.
BOOST_AUTO_TEST_CASE(aCallerTurnedAwayByAWorkerWithRoomReturnsSoon)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-1", "books")});
    fixture.call("POST", "/book/1");
    fixture.rejectBeforeRun(fixture.takeOne<start_attempt>());
    const send_response sent = fixture.takeOne<send_response>();
    BOOST_TEST(sent.response->status == 503);
    BOOST_TEST(headerOf(sent.response, "Retry-After") == "0.02");
}

BOOST_AUTO_TEST_SUITE_END()
