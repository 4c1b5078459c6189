#include <algorithm>
#include <memory>
#include <thread>

#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "servers/event_loop/event_loop.h"
#include "servers/event_loop/io_watcher.h"
#include "servers/event_loop/timer_watcher.h"
#include "servers/service_interfaces.h"

using namespace almondnotch;

BOOST_AUTO_TEST_SUITE(event_loop_suite)

// Guards against tasks that are lost or reordered when another thread posts while the loop runs.
BOOST_AUTO_TEST_CASE(tasksPostedFromAnotherThreadRunInOrder)
{
    event_loop loop;
    std::vector<int> seen;
    std::thread poster([&loop, &seen] {
        for (int i = 0; i < 1000; ++i)
            loop.post([&seen, i] { seen.push_back(i); });
        loop.requestStop();
    });
    loop.run();
    poster.join();
    BOOST_TEST(seen.size() == 1000U);
    BOOST_TEST(std::is_sorted(seen.begin(), seen.end()));
}

// Guards against a timer that expires early because libev's cached time lags behind the clock: the
// callback that starts the timer has already run for 20 ms.
BOOST_AUTO_TEST_CASE(timerStartedInLongCallbackIsNotEarly)
{
    event_loop loop;
    instant due;
    instant fired;
    timer_watcher timer(loop, [&loop, &fired] {
        fired = loop.now();
        loop.requestStop();
    });
    loop.post([&loop, &due, &timer] {
        std::this_thread::sleep_for(milliseconds(20));
        due = loop.now() + milliseconds(10);
        timer.start(milliseconds(10));
    });
    loop.run();
    // libev timers may expire early by its clock granularity, which is below 1 ms.
    BOOST_TEST((fired - due).count() >= -1000);
}

// Guards against a use after free when a callback destroys its own watcher.
BOOST_AUTO_TEST_CASE(callbackMayDestroyItsWatcher)
{
    event_loop loop;
    int descriptors[2];
    BOOST_REQUIRE(pipe(descriptors) == 0);
    std::unique_ptr<io_watcher> watcher;
    int calls = 0;
    watcher = std::make_unique<io_watcher>(loop, [&loop, &watcher, &calls](int /*events*/) {
        watcher.reset();
        ++calls;
        loop.requestStop();
    });
    watcher->start(descriptors[0], EV_READ);
    BOOST_TEST(write(descriptors[1], "x", 1) == 1);
    loop.run();
    close(descriptors[0]);
    close(descriptors[1]);
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
