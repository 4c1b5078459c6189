#include <algorithm>
#include <memory>
#include <string>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "servers/decision_service/register_services.h"
#include "servers/event_loop/register_services.h"
#include "servers/event_loop/timer_watcher.h"
#include "tests/servers/fake_services.h"
#include "tests/servers/scripted_gateway.h"

using namespace almondnotch;

namespace {

struct decision_fixture
{
    decision_fixture()
    {
        gatewayScript().onEvent = [](instant, const event &, action_list &) {};
        gatewayScript().nextWake = instant::never();
        loop = *registerEventLoop(serviceManager);
        add<fake_workers>("worker_transport");
        add<fake_platform>("platform_client");
        peers = add<fake_peers>("peer_link");
        entry = add<fake_entry>("http_entry");
        BOOST_REQUIRE(registerDecisionService(serviceManager, gatewayFactory({})));
        BOOST_REQUIRE(serviceManager.start());
        sink = *serviceManager.find<event_sink>("decision");
    }
    decision_fixture(const decision_fixture &) = delete;
    decision_fixture &operator=(const decision_fixture &) = delete;

    template <typename T>
    T *add(std::string_view name)
    {
        std::unique_ptr<T> created = std::make_unique<T>(recorder);
        T *borrowed = created.get();
        BOOST_REQUIRE(serviceManager.add(name, start_level::transports, std::move(created)));
        return borrowed;
    }

    action_recorder recorder;
    service_manager serviceManager;
    event_loop *loop = nullptr;
    fake_peers *peers = nullptr;
    fake_entry *entry = nullptr;
    event_sink *sink = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(decision_service_suite, decision_fixture)

// Guards against re-entering the decision core when a service delivers an event while it executes
// an action.
BOOST_AUTO_TEST_CASE(eventsDeliveredDuringHandlingAreQueued)
{
    int depth = 0;
    int deepest = 0;
    std::vector<std::uint64_t> handled;
    gatewayScript().onEvent
        = [&depth, &deepest, &handled](instant, const event &input, action_list &actions) {
              deepest = std::max(deepest, ++depth);
              const call_id call = std::get<caller_disconnected>(input).call;
              handled.push_back(static_cast<std::uint64_t>(call));
              if (call == call_id {1}) {
                  actions.emplace_back(cancel_attempt {attempt_id {7}});
                  actions.emplace_back(cancel_attempt {attempt_id {8}});
              }
              --depth;
          };
    recorder.onAction = [this](const action &recorded) {
        if (std::get<cancel_attempt>(recorded).attempt == attempt_id {7})
            sink->deliver(caller_disconnected {call_id {2}});
    };
    sink->deliver(caller_disconnected {call_id {1}});
    BOOST_TEST(deepest == 1);
    BOOST_TEST((handled == std::vector<std::uint64_t> {1, 2}));
    BOOST_TEST(recorder.recordedActions.size() == 2U);
}

// Guards against a timer that misses the wake-up time, keeps an outdated one, or expires early.
BOOST_AUTO_TEST_CASE(timerFollowsNextWakeAndIsNeverEarly)
{
    int expiries = 0;
    duration earliness {0};
    gatewayScript().onEvent = [&](instant now, const event &input, action_list &) {
        if (!std::holds_alternative<timer_expired>(input)) {
            gatewayScript().nextWake = now + milliseconds(5);
            return;
        }
        earliness = std::max(earliness, gatewayScript().nextWake - now);
        if (++expiries == 10) {
            gatewayScript().nextWake = instant::never();
            loop->requestStop();
        } else {
            gatewayScript().nextWake = now + milliseconds(5);
        }
    };
    gatewayScript().nextWake = loop->now() + seconds(60);
    sink->deliver(drain_requested {});
    loop->run();
    BOOST_TEST(expiries == 10);
    BOOST_TEST(earliness.count() == 0);
}

// Guards against a process that exits before the last response or the last message to another
// gateway has been sent, or that never exits.
BOOST_AUTO_TEST_CASE(exitWaitsForFlush)
{
    gatewayScript().onEvent = [](instant, const event &, action_list &actions) {
        actions.emplace_back(exit_process {"test"});
    };
    int flushed = 0;
    timer_watcher responses(*loop, [this, &flushed] {
        ++flushed;
        entry->flushDone();
    });
    timer_watcher messages(*loop, [this, &flushed] {
        ++flushed;
        peers->flushDone();
    });
    responses.start(milliseconds(10));
    messages.start(milliseconds(20));
    sink->deliver(drain_requested {});
    loop->run();
    BOOST_TEST(flushed == 2);
}

BOOST_AUTO_TEST_SUITE_END()
