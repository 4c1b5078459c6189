#include <boost/test/unit_test.hpp>

#include "decision/claims/handover_receiver.h"
#include "decision/claims/handover_sender.h"
#include "tests/decision/claims/claim_fixture.h"

namespace almondnotch {

namespace {

/// A leaving process with five completed operations and its successor. The tests deliver the
/// messages.
struct handover_fixture
{
    handover_fixture()
    {
        for (unsigned i = 1; i <= 5; ++i) {
            leavingGateway.beginOperation(at(1), leavingGateway.key(i));
            leavingGateway.table.finishOperation(leavingGateway.key(i), call_outcome::run,
                                                 makeResponse("done"));
        }
        leavingGateway.table.seal();
    }

    /// Starts the handover at 10 s.
    void start() { sender.start(at(10), {{successor.self, "successor:1"}}, actions); }

    /// Delivers one message to the successor and its acknowledgement to the leaving gateway.
    void deliver(const peer_message &message)
    {
        handover_ack ack;
        if (std::holds_alternative<handover_chunk>(message))
            ack = receiver.chunkReceived(at(11), std::get<handover_chunk>(message));
        else
            ack = receiver.commitReceived(at(11), leavingGateway.self,
                                          std::get<handover_commit>(message));
        sender.acknowledged(at(11), successor.self, ack, actions);
    }

    /// Removes the messages of the sender from `actions` and returns them.
    std::vector<peer_message> takeMessages()
    {
        std::vector<peer_message> messages;
        for (const action &entry : actions)
            messages.push_back(std::get<send_peer_message>(entry).message);
        actions.clear();
        return messages;
    }

    claim_fixture leavingGateway {"vm-a"};
    claim_fixture successor {"vm-b"};
    handover_sender sender {leavingGateway.table, leavingGateway.counters};
    handover_receiver receiver {successor.table, successor.counters};
    action_list actions;
};

} // namespace

// Guards against losing the claims of completed operations when a gateway leaves: retries would be
// executed again.
BOOST_AUTO_TEST_CASE(successor_answers_duplicate_calls_after_the_commit)
{
    handover_fixture fixture;
    fixture.start();
    for (int round = 0; round < 5 && !fixture.sender.isFinished(); ++round) {
        for (const peer_message &message : fixture.takeMessages())
            fixture.deliver(message);
    }
    BOOST_TEST(fixture.sender.isFinished());
    BOOST_TEST((fixture.successor.beginOperation(at(12), fixture.leavingGateway.key(3)).verdict
                == claim_verdict::replay));
    // While its table was sealed, the leaving gateway rejected unused keys as `not_run`, so their
    // operations must never be executed.
    const claim_result unused
        = fixture.successor.beginOperation(at(12), fixture.leavingGateway.key(9));
    BOOST_TEST((unused.verdict == claim_verdict::reject));
    BOOST_TEST((unused.response->outcome == call_outcome::not_run));
    const claim_result old
        = fixture.leavingGateway.beginOperation(at(12), fixture.leavingGateway.key(3));
    BOOST_TEST((old.verdict == claim_verdict::forward));
    BOOST_TEST((old.owner == fixture.successor.self));
}

// Guards against two owners when a handover is interrupted before its commit.
BOOST_AUTO_TEST_CASE(handover_interrupted_before_the_commit_leaves_one_owner)
{
    handover_fixture fixture;
    fixture.start();
    const std::vector<peer_message> chunks = fixture.takeMessages();
    BOOST_REQUIRE(chunks.size() == 3U);
    fixture.receiver.chunkReceived(at(11), std::get<handover_chunk>(chunks[0]));
    BOOST_TEST((fixture.successor.beginOperation(at(12), fixture.leavingGateway.key(9)).verdict
                == claim_verdict::forward));
    BOOST_TEST((fixture.leavingGateway.beginOperation(at(12), fixture.leavingGateway.key(9)).verdict
                == claim_verdict::reject));
}

// Guards against a commit that takes effect while chunks are missing.
BOOST_AUTO_TEST_CASE(commit_takes_effect_only_when_all_chunks_have_arrived)
{
    handover_fixture fixture;
    fixture.start();
    const std::vector<peer_message> chunks = fixture.takeMessages();
    fixture.deliver(chunks[0]);
    const std::vector<peer_message> commits = fixture.takeMessages();
    BOOST_REQUIRE(commits.size() == 1U);
    fixture.deliver(commits[0]);
    BOOST_TEST(!fixture.sender.isFinished());
    BOOST_TEST(!fixture.successor.table.ownsRangesOf(fixture.leavingGateway.self));
    for (int round = 0; round < 5 && !fixture.sender.isFinished(); ++round) {
        for (const peer_message &message : fixture.takeMessages())
            fixture.deliver(message);
    }
    BOOST_TEST(fixture.sender.isFinished());
}

// Guards against a sender that selects another successor after its commit, for example after a
// pause.
BOOST_AUTO_TEST_CASE(successor_is_fixed_once_a_commit_was_sent)
{
    handover_fixture fixture;
    fixture.start();
    fixture.deliver(fixture.takeMessages()[0]);
    fixture.takeMessages();
    fixture.sender.timerExpired(at(60), {{{"vm-c", 3}, "other:1"}}, fixture.actions);
    BOOST_REQUIRE(!fixture.actions.empty());
    for (const action &entry : fixture.actions)
        BOOST_TEST(std::get<send_peer_message>(entry).peerAddress == "successor:1");
}

// Guards against two owners when one of two transfers is committed and the other one is rejected:
// if the sender then chose another successor for both transfers, two processes would own the ranges
// of the committed one.
BOOST_AUTO_TEST_CASE(rejection_after_a_commit_does_not_change_the_successor)
{
    claim_fixture leavingGateway("vm-a");
    const claim_fixture gone("vm-x");
    handover_commit adoptedCommit;
    adoptedCommit.from = gone.self;
    adoptedCommit.replayPeriod = seconds(1200);
    BOOST_REQUIRE(leavingGateway.table.adopt(at(1), gone.self, adoptedCommit, {}));
    leavingGateway.table.seal();
    handover_sender sender(leavingGateway.table, leavingGateway.counters);
    action_list actions;
    const process_id first {"vm-b", 2};
    sender.start(at(10), {{first, "first:1"}}, actions);
    handover_ack committed;
    committed.from = leavingGateway.self;
    committed.committed = true;
    sender.acknowledged(at(11), first, committed, actions);
    handover_ack rejection;
    rejection.from = gone.self;
    rejection.refused = true;
    sender.acknowledged(at(11), first, rejection, actions);
    sender.timerExpired(at(12), {{{"vm-c", 3}, "other:1"}}, actions);
    for (const action &entry : actions)
        BOOST_TEST(std::get<send_peer_message>(entry).peerAddress == "first:1");
    BOOST_TEST(sender.isFinished());
}

// Guards against chunks and commits that are resent after the handover and duplicate or remove
// claims of the successor.
BOOST_AUTO_TEST_CASE(resent_commit_changes_nothing)
{
    handover_fixture fixture;
    fixture.start();
    std::vector<peer_message> all;
    for (int round = 0; round < 5 && !fixture.sender.isFinished(); ++round) {
        for (const peer_message &message : fixture.takeMessages()) {
            all.push_back(message);
            fixture.deliver(message);
        }
    }
    const std::size_t claims = fixture.successor.table.size();
    for (const peer_message &message : all)
        fixture.deliver(message);
    BOOST_TEST(fixture.successor.table.size() == claims);
    BOOST_TEST((fixture.successor.beginOperation(at(13), fixture.leavingGateway.key(3)).verdict
                == claim_verdict::replay));
}

// Guards against a successor that removes adopted claims earlier than their initial owner would
// have.
BOOST_AUTO_TEST_CASE(adopted_claims_keep_their_lifetime)
{
    handover_fixture fixture;
    fixture.start();
    for (int round = 0; round < 5 && !fixture.sender.isFinished(); ++round) {
        for (const peer_message &message : fixture.takeMessages())
            fixture.deliver(message);
    }
    // Both clocks read 11 s at the commit. The range was minted at 0 s, so its claims must be kept
    // until 1200 s: the accept period and the replay period are 600 s each.
    fixture.successor.table.expire(at(1200));
    BOOST_TEST((fixture.successor.beginOperation(at(1200), fixture.leavingGateway.key(1)).verdict
                == claim_verdict::replay));
}

} // namespace almondnotch
