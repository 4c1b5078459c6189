#include <boost/test/unit_test.hpp>

#include <set>

#include "decision/fleet/membership.h"
#include "tests/decision/fleet/sample_config.h"

namespace almondnotch {

namespace {

member_update makeUpdate(unsigned index, std::uint64_t startNumber = 1,
                         std::uint64_t incarnation = 0, gateway_state state = gateway_state::alive)
{
    member_update update;
    update.process = {vmName(index), startNumber};
    update.incarnation = incarnation;
    update.state = state;
    update.failureDomain = failureDomainName(index);
    update.entryAddress = entryAddressOf(index);
    update.peerAddress = peerAddressOf(index);
    return update;
}

struct membership_fixture
{
    gateway_state stateOf(unsigned index) const { return table.find(vmName(index))->update.state; }

    bool hasState(unsigned index, gateway_state state) const { return stateOf(index) == state; }

    counter_set counters;
    membership table {{}, makeUpdate(0, 9), counters};
    instant now {seconds(1000)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_suite, membership_fixture)

// Guards against an outdated update that overrides a newer one about the same VM.
BOOST_AUTO_TEST_CASE(updates_are_ordered_by_start_number_then_incarnation_then_state)
{
    table.merge(now, makeUpdate(1, 2, 5));
    table.merge(now, makeUpdate(1, 1, 9, gateway_state::gone));
    BOOST_TEST(hasState(1, gateway_state::alive));
    table.merge(now, makeUpdate(1, 2, 5, gateway_state::suspect));
    BOOST_TEST(hasState(1, gateway_state::suspect));
    table.merge(now, makeUpdate(1, 2, 5));
    BOOST_TEST(hasState(1, gateway_state::suspect));
    table.merge(now, makeUpdate(1, 2, 6));
    BOOST_TEST(hasState(1, gateway_state::alive));
    table.merge(now, makeUpdate(1, 3, 0));
    BOOST_TEST(table.isGone({vmName(1), 2}));
    BOOST_TEST(!table.isGone({vmName(1), 3}));
}

// Guards against a live process that remains suspect or is declared gone, and against a process
// that does not notice that its VM runs a newer process.
BOOST_AUTO_TEST_CASE(process_refutes_suspicion_and_detects_its_successor)
{
    BOOST_TEST(
        (table.merge(now, makeUpdate(0, 9, 4, gateway_state::suspect)) == merge_outcome::refuted));
    BOOST_TEST(table.self().incarnation == 5U);
    table.beginLeaving();
    BOOST_TEST(
        (table.merge(now, makeUpdate(0, 9, 6, gateway_state::gone)) == merge_outcome::refuted));
    BOOST_TEST((table.self().state == gateway_state::leaving));
    BOOST_TEST((table.merge(now, makeUpdate(0, 10)) == merge_outcome::superseded));
}

// Guards against suspecting a process that has left no message unanswered, and against ended
// processes that remain in the table.
BOOST_AUTO_TEST_CASE(unresponsive_process_becomes_suspect_then_gone_then_removed)
{
    table.mergeDirect(now, makeUpdate(1));
    table.mergeDirect(now, makeUpdate(2));
    table.markUnanswered(now + seconds(1), peerAddressOf(1));
    table.checkTimeouts(now + seconds(5));
    BOOST_TEST(hasState(1, gateway_state::suspect));
    BOOST_TEST(hasState(2, gateway_state::alive));
    BOOST_TEST(table.checkTimeouts(now + seconds(15)).size() == 1U);
    BOOST_TEST(hasState(1, gateway_state::gone));
    table.merge(now + seconds(16), makeUpdate(1));
    BOOST_TEST(hasState(1, gateway_state::gone));
    table.checkTimeouts(now + seconds(136));
    BOOST_TEST(table.find(vmName(1)) == nullptr);
    // Updates about a process that was removed do not add it again.
    table.merge(now + seconds(137), makeUpdate(1, 1, 0, gateway_state::gone));
    member_update outdated = makeUpdate(1);
    outdated.lastContactAge = seconds(137);
    table.merge(now + seconds(137), outdated);
    BOOST_TEST(table.find(vmName(1)) == nullptr);
}

// Guards against suspecting a process that is in contact with other processes.
BOOST_AUTO_TEST_CASE(indirect_contact_prevents_suspicion)
{
    table.mergeDirect(now, makeUpdate(1));
    table.markUnanswered(now, peerAddressOf(1));
    member_update relayed = makeUpdate(1);
    relayed.lastContactAge = milliseconds(500);
    table.merge(now + seconds(2), relayed);
    table.checkTimeouts(now + seconds(4));
    BOOST_TEST(hasState(1, gateway_state::alive));
}

// Guards against a process that declares all others suspect or gone after it was paused.
BOOST_AUTO_TEST_CASE(paused_process_declares_no_process_suspect_or_gone_before_contact)
{
    for (unsigned i = 1; i <= 3; ++i) {
        table.mergeDirect(now, makeUpdate(i));
        table.markUnanswered(now, peerAddressOf(i));
    }
    table.merge(now, makeUpdate(3, 1, 0, gateway_state::suspect));
    now = now + seconds(60);
    table.pauseDetected(now);
    table.markUnanswered(now, peerAddressOf(1));
    table.markUnanswered(now, peerAddressOf(2));
    BOOST_TEST(table.checkTimeouts(now + seconds(30)).empty());
    BOOST_TEST(hasState(1, gateway_state::alive));
    table.mergeDirect(now + seconds(31), makeUpdate(2));
    table.checkTimeouts(now + seconds(31));
    BOOST_TEST(hasState(1, gateway_state::alive));
    BOOST_TEST(hasState(3, gateway_state::suspect));
    table.markUnanswered(now + seconds(31), peerAddressOf(1));
    table.checkTimeouts(now + seconds(34));
    BOOST_TEST(hasState(1, gateway_state::suspect));
}

// Guards against a membership table that grows without bound or evicts live processes.
BOOST_AUTO_TEST_CASE(full_table_rejects_additions_and_evicts_only_gone_processes)
{
    for (unsigned i = 1; i <= membersMax; ++i)
        table.merge(now, makeUpdate(i));
    BOOST_TEST((table.merge(now, makeUpdate(5000)) == merge_outcome::rejected));
    table.merge(now, makeUpdate(7, 1, 0, gateway_state::gone));
    BOOST_TEST((table.merge(now, makeUpdate(5000)) == merge_outcome::changed));
    BOOST_TEST(table.records().size() == membersMax);
    BOOST_TEST(counters.value("members_refused_total{reason=\"table_full\"}") == 1U);
}

// Guards against digests of unbounded size, and against records that are never included in a
// digest.
BOOST_AUTO_TEST_CASE(gossip_updates_are_bounded_and_cover_all_members)
{
    for (unsigned i = 1; i <= 100; ++i)
        table.merge(now, makeUpdate(i));
    std::set<std::string> sent;
    BOOST_TEST(table.takeGossipUpdates(now, 16, 6).front().process.vm == vmName(100));
    for (int i = 0; i < 17; ++i) {
        const std::vector<member_update> takeGossipUpdates = table.takeGossipUpdates(now, 16, 6);
        BOOST_TEST(takeGossipUpdates.size() <= 16U);
        for (const member_update &update : takeGossipUpdates)
            sent.insert(update.process.vm);
    }
    BOOST_TEST(sent.size() == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondnotch
