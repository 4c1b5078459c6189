#include <set>

#include <boost/test/unit_test.hpp>

#include "tests/decision/routing/routing_fixture.h"

using namespace almondnotch;

namespace {

constexpr unsigned workerCount = 6;

std::vector<published_worker> makeWorkers()
{
    std::vector<published_worker> workers;
    for (unsigned i = 0; i < workerCount; ++i)
        workers.push_back(workerEntry("b-" + std::to_string(i), "books"));
    return workers;
}

/// Changes of the store that remove the entries of all workers.
item_page makeRemovalOfAll(std::uint64_t revision)
{
    item_page page;
    for (const published_worker &worker : makeWorkers())
        page.items.push_back(removedItem(worker.name));
    page.revision = revision;
    return page;
}

/// Sends a booking and answers its first attempt.
/// \return the name of the worker, or nothing if no attempt was started.
std::optional<std::string> bookOnce(routing_fixture &fixture)
{
    fixture.call("POST", "/book/1");
    fixture.advance(milliseconds(100));
    const std::vector<start_attempt> attempts = fixture.take<start_attempt>();
    if (attempts.empty())
        return std::nullopt;
    fixture.answer(attempts.front());
    fixture.take<send_response>();
    return attempts.front().workerName;
}

/// Delivers a digest in which another gateway reports that a worker is draining.
void receiveDigest(routing_fixture &fixture, const std::string &drainingWorker)
{
    fleet_digest digest;
    digest.self.process = {"vm-2", 1};
    digest.self.failureDomain = "near";
    digest.self.entryAddress = "10.0.0.2:80";
    digest.self.peerAddress = "10.0.0.2:90";
    digest.drains = {{drainingWorker, seconds(1)}};
    fixture.handle(peer_message_received {digest.self.process, digest});
}

} // namespace

BOOST_AUTO_TEST_SUITE(mass_expiry_suite)

// Guards against rejecting all requests for a service after a long outage of the store, during
// which the entries of all workers have expired, until the workers have renewed their entries.
BOOST_AUTO_TEST_CASE(workersServeWhileExpiredEntriesAreRenewed)
{
    routing_fixture fixture;
    fixture.becomeReady(makeWorkers());
    fixture.answerRead(item_scope::workers, makeRemovalOfAll(11));
    fixture.advance(milliseconds(2200));
    BOOST_TEST(bookOnce(fixture).has_value());
    // The first worker that renews its entry must not get all requests while the entries of the
    // others are still missing.
    item_page page;
    page.items = {workerItem(workerEntry("b-0", "books"))};
    page.revision = 12;
    fixture.answerRead(item_scope::workers, page);
    std::set<std::string> usedWorkers;
    for (int i = 0; i < 8; ++i)
        fixture.call("POST", "/book/1");
    fixture.advance(milliseconds(50));
    const std::vector<start_attempt> sent = fixture.take<start_attempt>();
    BOOST_TEST(sent.size() == 8U);
    for (const start_attempt &attempt : sent) {
        usedWorkers.insert(attempt.workerName);
        fixture.answer(attempt);
    }
    BOOST_TEST(usedWorkers.size() > 1U);
    fixture.take<send_response>();
    fixture.advance(seconds(4));
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(bookOnce(fixture).value_or("") == "b-0");
}

// Guards against a worker that gets no more requests because another gateway reports its drain in a
// digest, although the entry of the worker was only missing from the store for a moment.
BOOST_AUTO_TEST_CASE(gossipedDrainIsIgnoredWhileTheStoreAnswers)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-0", "books")});
    receiveDigest(fixture, "b-0");
    BOOST_TEST(bookOnce(fixture).has_value());
}

// Guards against requests to a draining worker from a gateway whose reads of the store fail.
BOOST_AUTO_TEST_CASE(gossipedDrainAppliesWhileTheStoreDoesNotAnswer)
{
    routing_fixture fixture;
    fixture.becomeReady({workerEntry("b-0", "books"), workerEntry("b-1", "books")});
    const auto failRead = [&fixture] {
        fixture.answerRead(item_scope::workers,
                           fail(error_code::unavailable, "read store", "", "status 503"));
    };
    failRead();
    receiveDigest(fixture, "b-0");
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(bookOnce(fixture).value_or("") == "b-1");
    // As soon as the store answers again, the entry read from it takes precedence over the digest.
    fixture.advance(seconds(1));
    item_page page;
    page.items = {workerItem(workerEntry("b-0", "books"))};
    page.revision = 12;
    fixture.answerRead(item_scope::workers, page);
    fixture.advance(seconds(2));
    BOOST_TEST(bookOnce(fixture).value_or("") == "b-0");
}

BOOST_AUTO_TEST_SUITE_END()
