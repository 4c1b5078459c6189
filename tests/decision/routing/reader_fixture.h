#pragma once

#include <string>
#include <variant>
#include <vector>

#include "tests/decision/routing/routing_fixture.h"

namespace almondnotch {

/// Number of other gateways in the failure domain of a `reader_fixture`.
constexpr unsigned otherGatewayCount = 9;

/// A ready gateway that knows other gateways of its failure domain, by default nine. Of these
/// gateways, the two with the largest processor share are the readers, which watch the store and
/// relay the changes. The next three are standby readers; all others follow the readers and do not
/// watch the store.
struct reader_fixture : routing_fixture
{
    /// \param capacity processor share of this gateway in hundredths of a core. With 100 it is a
    /// reader, with 20 the first standby reader, and with 1 neither.
    /// \param watchHoldoff see `routing_settings::startupWatchHoldoff`.
    explicit reader_fixture(std::uint32_t capacity = 10, unsigned otherCount = otherGatewayCount,
                            duration watchHoldoff = duration {0})
        : routing_fixture(makeSettings(capacity, watchHoldoff)), m_otherCount(otherCount)
    {
        becomeReady({workerEntry("w-1", "reads"), workerEntry("w-2", "reads")});
        receiveDigestsFromOthers();
        advance(milliseconds(600));
    }

    static routing_settings makeSettings(std::uint32_t capacity, duration watchHoldoff)
    {
        routing_settings settings = localGatewaySettings();
        settings.peers.capacity = capacity;
        settings.startupWatchHoldoff = watchHoldoff;
        if (watchHoldoff > duration {0})
            settings.peers.seeds = {localDigest(nameOf(0), 0).self.peerAddress};
        return settings;
    }

    static std::string nameOf(unsigned index) { return "vm-" + std::to_string(index + 2); }

    /// Delivers a digest from each other gateway. Two of them have a processor share of 0.5 cores,
    /// the others of 0.1 cores.
    void receiveDigestsFromOthers()
    {
        for (unsigned i = 0; i < m_otherCount; ++i) {
            fleet_digest digest = localDigest(nameOf(i), i);
            digest.self.capacity = i < 2 ? 50 : 10;
            handle(peer_message_received {digest.self.process, digest});
        }
    }

    /// Delivers a report of another gateway, as if it were a reader.
    void receiveReport(unsigned from, bool isConnectedToStore = true,
                       std::uint64_t knownRevision = 10)
    {
        handle(peer_message_received {
            {nameOf(from), 1}, reader_report {isConnectedToStore, knownRevision, knownRevision}});
    }

    /// Delivers changes of the workers after `fromRevision` up to `toRevision`, relayed by vm-2.
    void receiveUpdate(std::uint64_t fromRevision, std::uint64_t toRevision,
                       std::vector<published_item> items)
    {
        handle(peer_message_received {
            {nameOf(0), 1},
            items_update {item_scope::workers, fromRevision, toRevision, std::move(items)}});
    }

    /// Ends the watches in flight without changes.
    void endWatches()
    {
        item_page page;
        page.revision = 10;
        answerRead(item_scope::configuration, page);
        answerRead(item_scope::workers, page);
    }

    /// Delivers a report of a reader and ends the watches, so that the gateway follows the readers
    /// instead of watching the store.
    void startFollowing()
    {
        receiveReport(0);
        endWatches();
    }

    /// Sends and answers `count` read requests, which must all go to this worker.
    void expectReadsAt(const std::string &worker, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            call("GET", "/read/x");
            const start_attempt attempt = takeOne<start_attempt>();
            BOOST_TEST(attempt.workerName == worker);
            answer(attempt);
        }
    }

    bool isWatching() const
    {
        return inFlightRead(item_scope::configuration) != nullptr
               && inFlightRead(item_scope::workers) != nullptr;
    }

    void answerRevisionRead()
    {
        item_page page;
        page.revision = 10;
        handle(items_read_finished {revisionReads.back().read, page});
    }

    /// Removes the sent peer messages from `actions` and returns those of one type.
    template <typename Message>
    std::vector<Message> takeSent()
    {
        std::vector<Message> out;
        for (const send_peer_message &command : take<send_peer_message>()) {
            if (const Message *message = std::get_if<Message>(&command.message))
                out.push_back(*message);
        }
        return out;
    }

private:
    unsigned m_otherCount;
};

} // namespace almondnotch
