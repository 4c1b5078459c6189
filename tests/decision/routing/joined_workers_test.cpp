#include <boost/test/unit_test.hpp>

#include <map>

#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

constexpr unsigned knownWorkers = 12;

std::vector<published_worker> twelveWorkers()
{
    std::vector<published_worker> out;
    for (unsigned i = 1; i <= knownWorkers; ++i)
        out.push_back(workerEntry("r-" + std::to_string(i), "reads"));
    return out;
}

/// Sends reads one after another, each answered after 20 ms. \return the number that each worker
/// got.
std::map<std::string, unsigned> serveReads(routing_fixture &fixture, unsigned count)
{
    std::map<std::string, unsigned> out;
    for (unsigned i = 0; i < count; ++i) {
        fixture.call("GET", "/read/" + std::to_string(i));
        const std::vector<start_attempt> sent = fixture.take<start_attempt>();
        BOOST_REQUIRE_EQUAL(sent.size(), 1U);
        ++out[sent.front().workerName];
        fixture.advance(milliseconds(20));
        fixture.answer(sent.front());
        fixture.advance(milliseconds(20));
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(joined_workers_suite)

/// Load: a few requests a second and workers with free slots, to which this gateway is connected.
BOOST_AUTO_TEST_CASE(joinedWorkerGetsItsShareOfRequests)
{
    routing_fixture fixture;
    fixture.becomeReady(twelveWorkers());
    serveReads(fixture, 60);
    item_page joined;
    joined.items = {withRevision(workerItem(workerEntry("r-new", "reads")), 11)};
    joined.revision = 11;
    fixture.answerRead(item_scope::workers, joined);
    const std::map<std::string, unsigned> served = serveReads(fixture, 130);
    // An equal share is 10 requests; half of it shows that the worker is not passed over.
    BOOST_CHECK_GE(served.count("r-new") == 0 ? 0U : served.at("r-new"), 5U);
}

BOOST_AUTO_TEST_SUITE_END()
