#include <boost/test/unit_test.hpp>

#include "core/service_manager.h"

namespace almondnotch {

namespace {

class recording_service : public service
{
public:
    recording_service(std::string name, std::vector<std::string> &events, bool fails)
        : m_name(std::move(name)), m_events(events), m_fails(fails)
    { }

    result<void> start(service_manager &) override
    {
        if (m_fails)
            return fail(error_code::unavailable, "start", m_name, "configured to fail");
        m_events.push_back("start " + m_name);
        return {};
    }
    void stop() override { m_events.push_back("stop " + m_name); }

private:
    std::string m_name;
    std::vector<std::string> &m_events;
    bool m_fails;
};

std::unique_ptr<service> makeService(const std::string &name, std::vector<std::string> &events,
                                     bool fails = false)
{
    return std::make_unique<recording_service>(name, events, fails);
}

} // namespace

// Guards against a listener that accepts calls before the services that it depends on have started.
BOOST_AUTO_TEST_CASE(starts_by_level_and_stops_in_reverse)
{
    std::vector<std::string> events;
    service_manager manager;
    BOOST_REQUIRE(manager.add("entry", start_level::listeners, makeService("entry", events)));
    BOOST_REQUIRE(manager.add("loop", start_level::loop, makeService("loop", events)));
    BOOST_REQUIRE(manager.start());
    manager.stop();
    const std::vector<std::string> expected {"start loop", "start entry", "stop entry",
                                             "stop loop"};
    BOOST_TEST(events == expected, boost::test_tools::per_element());
}

// Guards against services that keep running after another one failed to start.
BOOST_AUTO_TEST_CASE(stops_started_services_when_one_fails)
{
    std::vector<std::string> events;
    service_manager manager;
    BOOST_REQUIRE(manager.add("loop", start_level::loop, makeService("loop", events)));
    BOOST_REQUIRE(manager.add("entry", start_level::listeners, makeService("entry", events, true)));
    BOOST_TEST(!manager.start());
    const std::vector<std::string> expected {"start loop", "stop loop"};
    BOOST_TEST(events == expected, boost::test_tools::per_element());
}

// Guards against two services under the same name, and against a lookup that succeeds for an
// unknown name.
BOOST_AUTO_TEST_CASE(rejects_duplicate_and_unknown_names)
{
    std::vector<std::string> events;
    service_manager manager;
    BOOST_REQUIRE(manager.add("loop", start_level::loop, makeService("loop", events)));
    BOOST_TEST(!manager.add("loop", start_level::loop, makeService("loop", events)));
    BOOST_TEST(manager.find<recording_service>("loop").has_value());
    BOOST_TEST(!manager.find<recording_service>("other").has_value());
}

} // namespace almondnotch
