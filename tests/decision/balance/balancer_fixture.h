#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config/model.h"
#include "core/counters.h"
#include "core/invariants.h"
#include "core/random_source.h"
#include "decision/balance/balancer.h"

namespace almondnotch {

/// The balancer of a gateway in failure domain "near", with a group "g" of workers w0, w1, ... that
/// have 4 slots each and run on VMs vm0, vm1, ... in the same failure domain.
class balancer_fixture
{
public:
    explicit balancer_fixture(std::size_t workers, std::uint64_t seed = 1,
                              std::string strategy = "expected_wait")
        : random(seed)
    {
        objects.limits.selection = std::move(strategy);
        objects.failureDomains = {{"near", "r", milliseconds(1)}, {"far", "r", milliseconds(1)}};
        objects.budgets = {{"b", 16, 16 * 1024}};
        objects.groups = {{"g", "b", 4, 160, 0.3}};
        for (std::size_t i = 0; i < workers; ++i)
            addWorker(i);
        balancer_settings balancerSettings;
        balancerSettings.failureDomain = "near";
        balancerSettings.selectionSeed = seed;
        loadBalancer = balancer::create(balancerSettings, random, invariants, counters);
        apply();
    }

    /// Adds a worker to `objects`; `apply` makes it effective.
    void addWorker(std::size_t number)
    {
        const std::string text = std::to_string(number);
        objects.workers.push_back(
            {"w" + text, "g", "near", "vm" + text, "127.0.0.1:" + std::to_string(10000 + number)});
    }

    /// Applies `objects` as a new configuration version.
    void apply()
    {
        config = config_set::create(++version, "0", objects);
        loadBalancer->applyConfig(now, config);
    }

    std::optional<selected_worker> select(std::vector<worker_index> excluded = {},
                                          duration timeLeft = seconds(1))
    {
        return loadBalancer->select({config->group("g"), std::move(excluded), timeLeft, now});
    }

    /// Ends an attempt that was started `elapsed` ago.
    void finish(worker_index worker, duration elapsed, attempt_end end, int status,
                std::optional<load_report> load = std::nullopt, bool rejectedBeforeRun = false)
    {
        loadBalancer->attemptFinished(now, {worker, end, elapsed, status, rejectedBeforeRun, load});
    }

    /// Simulates a call that takes `elapsed` and ends with status 200.
    void serve(worker_index worker, duration elapsed, std::optional<load_report> load)
    {
        loadBalancer->attemptStarted(now, worker);
        now = now + elapsed;
        finish(worker, elapsed, attempt_end::answered, 200, load);
    }

    /// Simulates ten calls to every worker, each with a response time of 10 ms and a report of
    /// `running` running calls in 4 slots.
    void serveInitialCalls(unsigned running = 1)
    {
        for (int round = 0; round < 10; ++round) {
            for (std::size_t i = 0; i < objects.workers.size(); ++i)
                serve(indexOf(i), milliseconds(10),
                      load_report {running, 0, 4, worker_state::ready});
        }
    }

    /// Number of times that each worker is selected in `selections` selections, without starting
    /// attempts.
    std::vector<int> selectionCounts(int selections)
    {
        std::vector<int> out(objects.workers.size());
        for (int i = 0; i < selections; ++i) {
            const std::optional<selected_worker> chosen = select();
            if (chosen)
                ++out[static_cast<std::size_t>(chosen->worker)];
        }
        return out;
    }

    /// Index of worker `number` in the balancer, which numbers workers in the order of the
    /// configuration.
    static worker_index indexOf(std::size_t number)
    {
        return worker_index(static_cast<std::uint32_t>(number));
    }

    instant now {seconds(100)};
    random_source random;
    invariant_set invariants;
    counter_set counters;
    config_objects objects;
    shared_config config;
    std::uint64_t version = 0;
    std::unique_ptr<balancer> loadBalancer;
};

} // namespace almondnotch
