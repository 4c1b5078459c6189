#include <boost/test/unit_test.hpp>

#include "tests/config/sample_texts.h"

namespace almondnotch {

namespace {

shared_config routingSet()
{
    config_objects objects;
    objects.failureDomains = {{"east", "home", milliseconds(1)}, {"west", "home", milliseconds(2)}};
    objects.groups = {{"till", "modest", 4, 100, 0.3}};
    for (const std::string name : {"root", "sales", "archive"}) {
        service_config sampleService;
        sampleService.name = name;
        sampleService.group = "till";
        objects.services.push_back(sampleService);
    }
    objects.rules = {{"root", "/", {"GET"}, "root", true},
                     {"sales", "/sales", {"GET", "POST"}, "sales", false},
                     {"archive", "/sales/archive", {"GET"}, "archive", true}};
    return config_set::create(3, "hash", objects);
}

std::string serviceFor(const shared_config &set, std::string_view method, std::string_view target)
{
    const std::optional<route> found = set->findRoute(method, target);
    return found ? found->service->name : "none";
}

} // namespace

// Guards against calls routed by a prefix that is shorter than the longest matching one, or that
// ends within a path segment (/sales for /salesroom).
BOOST_AUTO_TEST_CASE(longest_prefix_of_whole_segments_wins)
{
    const shared_config set = routingSet();
    BOOST_TEST(serviceFor(set, "GET", "/sales") == "sales");
    BOOST_TEST(serviceFor(set, "GET", "/sales/") == "sales");
    BOOST_TEST(serviceFor(set, "GET", "/sales/archive/2019/07") == "archive");
    BOOST_TEST(serviceFor(set, "GET", "/sales/archives") == "sales");
    BOOST_TEST(serviceFor(set, "GET", "/salesroom") == "root");
    BOOST_TEST(serviceFor(set, "GET", "/") == "root");
    BOOST_TEST(serviceFor(set, "GET", "") == "none");
    BOOST_TEST(serviceFor(set, "GET", "sales") == "none");
}

// Guards against a query string that is matched as path segments.
BOOST_AUTO_TEST_CASE(ignores_the_query)
{
    const shared_config set = routingSet();
    BOOST_TEST(serviceFor(set, "GET", "/sales?next=/sales/archive") == "sales");
    BOOST_TEST(serviceFor(set, "GET", "/?x=/sales") == "root");
}

// Guards against a non-idempotent call that is routed by a rule for reads.
BOOST_AUTO_TEST_CASE(falls_back_to_a_shorter_prefix_that_allows_the_method)
{
    const shared_config set = routingSet();
    BOOST_TEST(serviceFor(set, "POST", "/sales/archive") == "sales");
    BOOST_TEST(serviceFor(set, "POST", "/other") == "none");
    const std::optional<route> found = set->findRoute("POST", "/sales/archive");
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(!found->rule->idempotent);
    BOOST_TEST(found->group == set->group("till"));
}

// Guards against a wrong route for a path longer than every prefix. For such a path the search
// starts at the last segment boundary within the longest prefix, so that a hostile path does not
// cost one lookup for each of its thousands of segments.
BOOST_AUTO_TEST_CASE(routes_paths_longer_than_every_prefix)
{
    const shared_config set = routingSet();
    const std::string tail(16000, '/');
    BOOST_TEST(serviceFor(set, "GET", "/sales/archive" + tail) == "archive");
    BOOST_TEST(serviceFor(set, "GET", tail) == "root");
    BOOST_TEST(serviceFor(set, "GET", "/" + std::string(16000, 'x')) == "root");
}

// Guards against a delay that depends on the direction because the two domains state different
// values.
BOOST_AUTO_TEST_CASE(one_way_delay_is_symmetric)
{
    const shared_config set = routingSet();
    BOOST_TEST(set->oneWayDelay("east", "east").count() == 0);
    BOOST_TEST(set->oneWayDelay("east", "west").count() == 2000);
    BOOST_TEST(set->oneWayDelay("west", "east").count() == 2000);
}

// Guards against a change that the description leaves out, so that an operator does not see it
// before publishing.
BOOST_AUTO_TEST_CASE(describes_changes_and_routing)
{
    const config_objects before = routingSet()->objects();
    config_objects after = before;
    BOOST_TEST(describeChanges(before, after).empty());
    after.groups[0].slots = 6;
    after.services.pop_back();
    after.services[1].timeout = milliseconds(2500);
    after.rules.pop_back();
    after.rules[0].methods = {};
    after.failureDomains.push_back({"north", "home", milliseconds(1)});
    const std::vector<std::string> expected {
        "added failure_domain north: region = \"home\", one_way_ms = 1",
        "changed group till: slots 4 -> 6",
        R"(removed service archive: group = "till", class = "", timeout_ms = 10000, retry_budget = 0.1, hedge_budget = 0.05, fallback = "")",
        "changed service sales: timeout_ms 10000 -> 2500",
        R"(removed rule archive: path_prefix = "/sales/archive", methods = ["GET"], service = "archive", idempotent = true)",
        "changed rule root: methods [\"GET\"] -> []",
        "routing HEAD,POST,PUT,PATCH,DELETE,OPTIONS /: no service -> root (idempotent)",
        "routing HEAD,PUT,PATCH,DELETE,OPTIONS /sales: no service -> root (idempotent)",
        "routing GET /sales/archive: archive (idempotent) -> sales (at most once)",
        "routing HEAD,PUT,PATCH,DELETE,OPTIONS /sales/archive: no service -> root (idempotent)"};
    BOOST_TEST(describeChanges(before, after) == expected, boost::test_tools::per_element());
}

} // namespace almondnotch
