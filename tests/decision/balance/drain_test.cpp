#include <boost/test/unit_test.hpp>

#include "decision/balance/drain_table.h"
#include "tests/decision/balance/balancer_fixture.h"

namespace almondnotch {

namespace {

const std::vector<std::string> strategies
    = {"uniform_random", "round_robin", "least_in_flight", "power_of_two", "expected_wait"};

} // namespace

// Guards against a strategy that selects a draining worker or one that the call excludes.
BOOST_AUTO_TEST_CASE(no_strategy_selects_a_draining_or_excluded_worker)
{
    for (const std::string &strategy : strategies) {
        balancer_fixture fixture(4, 1, strategy);
        fixture.loadBalancer->markDraining(fixture.now, "w0", milliseconds(10));
        for (int i = 0; i < 200; ++i) {
            const std::optional<selected_worker> chosen
                = fixture.select({balancer_fixture::indexOf(1)});
            BOOST_REQUIRE(chosen);
            BOOST_TEST(chosen->name != "w0");
            BOOST_TEST(chosen->name != "w1");
        }
        BOOST_TEST(fixture.invariants.failures() == 0U);
    }
}

// Guards against calls to a draining worker when all workers of the group are draining. The call
// must be rejected instead.
BOOST_AUTO_TEST_CASE(a_group_with_only_draining_workers_selects_none)
{
    balancer_fixture fixture(2);
    fixture.loadBalancer->markDraining(fixture.now, "w0", duration(0));
    fixture.loadBalancer->markDraining(fixture.now, "w1", duration(0));
    BOOST_TEST(!fixture.select());
}

// Guards against new calls to a worker whose VM is leaving, even if it is the last worker: a
// rejected call is `not-run` and can be retried, while a call to this worker could be cut off.
BOOST_AUTO_TEST_CASE(a_leaving_vm_gets_no_calls)
{
    balancer_fixture fixture(2);
    fixture.loadBalancer->markVmLeaving(fixture.now, "vm0", fixture.now + seconds(5));
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(fixture.select()->name == "w1");
    BOOST_TEST(!fixture.select({balancer_fixture::indexOf(1)}, seconds(4)));
    BOOST_TEST(!fixture.select({balancer_fixture::indexOf(1)}, seconds(6)));
    fixture.loadBalancer->clearVmLeaving(fixture.now, "vm0");
    BOOST_TEST(fixture.select({balancer_fixture::indexOf(1)}, seconds(6))->name == "w0");
}

// Guards against ignoring the state `draining` in a load report: the drain would then become known
// only from the VM list.
BOOST_AUTO_TEST_CASE(a_report_of_draining_ends_selection_immediately)
{
    balancer_fixture fixture(3);
    fixture.serve(balancer_fixture::indexOf(2), milliseconds(5),
                  load_report {0, 0, 4, worker_state::draining});
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(fixture.select()->name != "w2");
    BOOST_TEST(fixture.loadBalancer->recentDrains(fixture.now, 10).size() == 1U);
}

// Guards against a drain that is ended by a stale report of `ready` from a lagging load endpoint,
// and against a worker that is never selected again after it was restarted and reports `ready`.
BOOST_AUTO_TEST_CASE(a_drain_ends_with_a_newer_report_of_ready)
{
    balancer_fixture fixture(2);
    const load_report ready {0, 0, 4, worker_state::ready};
    fixture.loadBalancer->markDraining(fixture.now, "w0", duration(0));
    fixture.now = fixture.now + seconds(1);
    fixture.loadBalancer->probeFinished(fixture.now, balancer_fixture::indexOf(0), ready, 400);
    BOOST_TEST(!fixture.select({balancer_fixture::indexOf(1)}));
    fixture.now = fixture.now + seconds(10);
    fixture.loadBalancer->probeFinished(fixture.now, balancer_fixture::indexOf(0), ready, 400);
    BOOST_TEST(fixture.select({balancer_fixture::indexOf(1)}).has_value());
    // A peer announces the old drain again.
    fixture.loadBalancer->markDraining(fixture.now, "w0", seconds(11));
    BOOST_TEST(fixture.select({balancer_fixture::indexOf(1)}).has_value());
    // A new drain is not ignored.
    fixture.now = fixture.now + seconds(10);
    fixture.loadBalancer->markDraining(fixture.now, "w0", seconds(1));
    BOOST_TEST(!fixture.select({balancer_fixture::indexOf(1)}));
}

// Guards against losing a drain that a peer announces before the configuration that adds the worker
// arrives.
BOOST_AUTO_TEST_CASE(a_drain_of_an_unconfigured_worker_is_recorded)
{
    balancer_fixture fixture(1);
    fixture.loadBalancer->markDraining(fixture.now, "w1", duration(0));
    fixture.addWorker(1);
    fixture.apply();
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(fixture.select()->name == "w0");
}

// Guards against a new worker that gets no calls because an earlier worker of the same name was
// draining.
BOOST_AUTO_TEST_CASE(a_worker_with_a_new_address_does_not_inherit_a_drain)
{
    balancer_fixture fixture(1);
    fixture.loadBalancer->markDraining(fixture.now, "w0", duration(0));
    fixture.now = fixture.now + seconds(1);
    fixture.objects.workers[0].address = "127.0.0.1:20000";
    fixture.apply();
    const std::optional<selected_worker> chosen = fixture.select();
    BOOST_REQUIRE(chosen);
    BOOST_TEST(chosen->address == "127.0.0.1:20000");
}

// Guards against a drain table that grows without bound with the worker names that peers send.
BOOST_AUTO_TEST_CASE(the_drain_table_is_bounded)
{
    drain_table table;
    for (std::size_t i = 0; i < drain_table::drainsMax + 10; ++i)
        table.add("w" + std::to_string(i), instant(milliseconds(i)));
    BOOST_TEST(table.size() == drain_table::drainsMax);
    BOOST_TEST(table.evictedCount() == 10U);
    BOOST_TEST(!table.contains("w0"));
    const std::vector<worker_drain> recent = table.recent(instant(seconds(10)), 2);
    BOOST_REQUIRE(recent.size() == 2U);
    BOOST_TEST(recent[0].worker == "w" + std::to_string(drain_table::drainsMax + 9));
}

// Guards against crashes and wrong selections caused by late events of a removed or unknown worker.
BOOST_AUTO_TEST_CASE(late_events_of_removed_workers_have_no_effect)
{
    balancer_fixture fixture(3);
    fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(2));
    fixture.objects.workers.pop_back();
    fixture.apply();
    fixture.now = fixture.now + milliseconds(5);
    fixture.finish(balancer_fixture::indexOf(2), milliseconds(5), attempt_end::broken, 0);
    fixture.loadBalancer->probeFinished(fixture.now, balancer_fixture::indexOf(2), std::nullopt, 0);
    fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(99));
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(fixture.select()->name != "w2");
}

// Guards against a connection limit that is not divided among the gateways (160 connections per
// worker / 16 gateways = 10), and against a limit of 0 if there are fewer connections than
// gateways; each gateway then gets 1.
BOOST_AUTO_TEST_CASE(the_connection_limit_is_one_gateways_share)
{
    balancer_fixture fixture(1);
    BOOST_TEST(fixture.select()->connectionLimit == 10U);
    fixture.objects.groups[0].connections = 3;
    fixture.apply();
    BOOST_TEST(fixture.select()->connectionLimit == 1U);
}

} // namespace almondnotch
