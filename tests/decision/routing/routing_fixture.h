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

/// Settings of a gateway in failure domain "near" with a fixed seed.
routing_settings localGatewaySettings(std::uint64_t seed = 1);

/// A ready worker.
published_worker workerEntry(const std::string &name, const std::string &service,
                             const std::string &failureDomain = "near");

/// An item with a worker's entry, or its removal.
published_item workerItem(const published_worker &entry);
published_item removedItem(const std::string &name);

/// Routes of host "shop.example": /read/ (idempotent, priority 1) and /urgent/ (idempotent,
/// priority 0) to service "reads", /book/ (at most once) to service "books"; two attempts,
/// objective 200 ms, timeout 600 ms.
route_config shopRoutes(std::uint64_t version);
published_item configItem(const route_config &config);

/// One gateway in fake time. The store's reads wait until the test answers them; probes are
/// answered at once with the load in `loads` if `answersProbes` is set.
class routing_fixture
{
public:
    explicit routing_fixture(routing_settings settings = localGatewaySettings());

    /// Answers both lists, with these workers and the configuration, so that the gateway is ready.
    void becomeReady(const std::vector<published_worker> &workers,
                     const route_config &config = shopRoutes(1));

    void handle(const event &input);
    /// Moves the time on, with all timers that fall due.
    void advance(duration length);
    /// Moves the time on as if the process had not run.
    void simulatePause(duration length) { now = now + length; }

    /// A call to shop.example. \return its number.
    call_id call(const std::string &method, const std::string &target,
                 duration timeout = milliseconds(600));

    void answer(const start_attempt &attempt, int status = 200);
    void refuseNotRun(const start_attempt &attempt);
    void end(const start_attempt &attempt, attempt_end how);
    /// Answers the newest read of a scope that is under way.
    void answerRead(item_scope scope, result<item_page> page);
    const read_items *inFlightRead(item_scope scope) const;
    /// Reports the load of the worker of a probe.
    void answerProbe(const start_probe &probe, const std::optional<load_report> &load);

    /// Removes and returns all actions of one type that were not taken yet.
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
    /// The single action of one type; fails the test if there is another number.
    template <typename Action>
    Action takeOne()
    {
        std::vector<Action> all = take<Action>();
        if (all.size() != 1)
            throw std::runtime_error("expected one action, found " + std::to_string(all.size()));
        return all.front();
    }

    std::unique_ptr<decision_core> gateway;
    instant now {seconds(100)};
    action_list actions;
    bool answersProbes = true;
    /// Load by worker; an idle machine at its usual speed if it is not here.
    std::map<std::string, load_report> loads;
    /// Workers that refuse connections.
    std::set<std::string> unreachableWorkers;
    std::vector<start_probe> probes;
    /// Checks whether the store answers.
    std::vector<read_items> checks;
    std::uint64_t revision = 10;

private:
    void dispatchActions(action_list &fresh);

    std::map<item_scope, read_items> m_reads;
    std::uint64_t m_nextCall = 1;
};

/// Value of a response header; empty if it is not there.
std::string headerOf(const shared_response &response, const std::string &name);

} // namespace almondnotch
