#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decision/routing/route_gateway.h"

namespace almondnotch {

/// Settings of a gateway in failure domain "near", with a fixed seed.
routing_settings localGatewaySettings(std::uint64_t seed = 1);

/// Store entry of a worker that is ready and has four slots.
published_worker workerEntry(const std::string &name, const std::string &service,
                             const std::string &failureDomain = "near");

/// Item that registers a worker or changes its entry.
published_item workerItem(const published_worker &entry);
/// Item that removes the entry of a worker.
published_item removedItem(const std::string &name);

/// The item as the store returns it for a change at this revision.
published_item withRevision(published_item item, std::uint64_t revision);
/// A whole list, or the changes of a watch, at this revision of the store.
item_page pageOf(std::vector<published_item> items, std::uint64_t revision);
/// Item by which a worker of service "reads" announces its drain.
published_item drainingWorkerItem(const std::string &name, std::uint64_t revision);

/// Digest of another gateway of failure domain "near". Its addresses differ by `number`.
fleet_digest localDigest(const std::string &vm, unsigned number);

/// Routes of host "shop.example": /read/ (idempotent, priority 1) and /urgent/ (idempotent,
/// priority 0) to service "reads", /book/ (at most once) to service "books". All have two attempts,
/// an objective of 200 ms and a timeout of 600 ms.
route_config shopRoutes(std::uint64_t version);
/// Item that publishes a configuration.
published_item configItem(const route_config &config);

/// One gateway on a simulated clock. Reads of the store wait until the test answers them. Probes
/// are answered at once if `answersProbes` is set: with the load in `loads`, or as failed if the
/// worker is in `unreachableWorkers`.
class routing_fixture
{
public:
    explicit routing_fixture(routing_settings settings = localGatewaySettings(),
                             instant startAt = instant(seconds(100)));

    /// Answers the first lists of both scopes with these workers and this configuration, so that
    /// the gateway becomes ready.
    void becomeReady(const std::vector<published_worker> &workers,
                     const route_config &config = shopRoutes(1));

    /// Passes an event to the gateway at the current time.
    void handle(const event &input);
    /// Advances the clock and fires all timers that become due.
    void advance(duration length);
    /// Advances the clock without firing timers, as if the process had been paused.
    void simulatePause(duration length) { now = now + length; }

    /// Sends a request to shop.example. \return its id.
    call_id call(const std::string &method, const std::string &target,
                 duration timeout = milliseconds(600));

    /// Ends an attempt with a response whose body is the name of the worker.
    void answer(const start_attempt &attempt, int status = 200);
    /// Ends an attempt with status 503 from a worker that did not execute the request.
    /// \param pause how long the worker asks for no requests.
    void rejectBeforeRun(const start_attempt &attempt, duration pause = duration {0});
    /// Ends an attempt without a response.
    void endAttempt(const start_attempt &attempt, attempt_end attemptEnd);
    /// Answers the read of a scope that is in flight.
    void answerRead(item_scope scope, result<item_page> page);
    /// Ends a read as given, whether the gateway still waits for it or not.
    void endRead(read_id read, result<item_page> page);
    /// Read of a scope that is in flight, or null.
    const read_items *inFlightRead(item_scope scope) const;
    /// Finishes a probe with a load report, or as failed if there is none.
    void answerProbe(const start_probe &probe, const std::optional<load_report> &load);

    /// Removes all actions of one type from `actions` and returns them.
    template <typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> out;
        std::vector<action> left;
        for (action &one : actions) {
            if (std::holds_alternative<Action>(one))
                out.push_back(std::get<Action>(std::move(one)));
            else
                left.push_back(std::move(one));
        }
        actions = std::move(left);
        return out;
    }
    /// Like `take`, for exactly one action; throws if there is any other number.
    template <typename Action>
    Action takeOne()
    {
        std::vector<Action> all = take<Action>();
        if (all.size() != 1)
            throw std::runtime_error("expected one action, found " + std::to_string(all.size()));
        return all.front();
    }

    std::unique_ptr<decision_core> gateway;
    instant now;
    /// Actions that were not taken yet. Reads and probes are not included.
    action_list actions;
    bool answersProbes = true;
    /// Load by worker name. Workers that are not in the map report no load and normal speed.
    std::map<std::string, load_report> loads;
    /// Request limits by worker name, which the workers name in their responses to requests and
    /// probes, in requests per second.
    std::map<std::string, double> requestLimits;
    /// Workers that say in their responses to requests and probes that they leave.
    std::set<std::string> leavingWorkers;
    /// Workers whose probes fail. Attempts to them must be ended by the test.
    std::set<std::string> unreachableWorkers;
    /// All probes that the gateway has started.
    std::vector<start_probe> probes;
    /// Reads of only the current revision of the store that the gateway has sent.
    std::vector<read_items> revisionReads;
    /// Revision of the lists that `becomeReady` answers with.
    std::uint64_t listRevision = 10;

private:
    worker_signals signalsOf(const std::string &worker) const;
    void dispatchActions(action_list &newActions);

    std::map<item_scope, read_items> m_inFlightReads;
    std::uint64_t m_nextCall = 1;
};

/// Value of a response header; empty if the header is missing.
std::string headerOf(const shared_response &response, const std::string &name);

} // namespace almondnotch
