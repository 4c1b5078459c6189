/// Measures the selection strategies in fake time and checks the targets of the default strategy.
///
/// Prints one row for each policy and scenario with the median over the seeds and, for p99, the
/// least and the greatest value. Ends with status 1 if a target is missed.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>

#include "tests/decision/balance/balance_scenario.h"

DEFINE_bool(quick, false, "3 seeds, the loads 50 and 85 with noise, no budget series");
DEFINE_int32(seeds, 10, "runs of each policy and scenario");
DEFINE_int32(threads, 4, "runs at a time");
DEFINE_string(policies, "", "only these, separated by commas");
DEFINE_string(loads, "", "only these, percent, separated by commas");
DEFINE_string(figures, "", "folder for the SVG figures; empty for none");
DEFINE_double(budget, 4, "probes per worker and second over all gateways");
DEFINE_double(variation, 0, "coefficient of variation of service times; 0 for the users' own");
DEFINE_double(relax, 0, "estimate tuning: relaxFactor");
DEFINE_double(prior, 0, "estimate tuning: priorResponses");
DEFINE_double(memory, 0, "estimate tuning: memoryFactor");
DEFINE_double(fresh, -1, "estimate tuning: freshSpread");
DEFINE_double(noise_scale, -1, "estimate tuning: noiseScale");
DEFINE_bool(budget_series, true, "also run the series over the measuring budget");

namespace almondnotch {

namespace {

/// Targets of the default strategy against power_of_two on the last report.
constexpr double tailTarget = 0.6;
constexpr double lowLoadTarget = 1.0;
constexpr double costTarget = 0.2;
constexpr const char *defaultPolicy = "expected_wait";
constexpr const char *baselinePolicy = "power_of_two";
constexpr const char *polledSuffix = "+poll100ms";
/// The load and noise of the budget series.
constexpr int seriesLoad = 85;

struct bench_case
{
    std::string user;
    std::string policy;
    int load = 0;
    bool noise = false;
    double budget = 0;

    // clang-tidy 14 takes the 0 in the comparison that the compiler generates for a null pointer.
    auto operator<=>(const bench_case &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Values of one quantity over the seeds.
struct spread
{
    double least = 0;
    double median = 0;
    double greatest = 0;
};

using results = std::map<bench_case, std::vector<scenario_result>>;

std::vector<std::string> splitWords(const std::string &text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, ',');)
        out.push_back(word);
    return out;
}

scenario_settings settingsOf(const bench_case &what, std::uint64_t seed)
{
    scenario_settings out;
    out.user = what.user == "kestrelwood" ? kestrelwood() : obrtHorvatic();
    if (FLAGS_variation > 0)
        out.user.worker.serviceVariation = FLAGS_variation;
    if (what.noise)
        out.user.worker.noise = noisyNeighbours();
    out.policy = what.policy;
    const std::size_t suffix = what.policy.find(polledSuffix);
    if (suffix != std::string::npos) {
        out.policy = what.policy.substr(0, suffix);
        out.pollInterval = milliseconds(100);
    }
    out.load = what.load / 100.0;
    out.seed = seed;
    out.probesPerSecond = what.budget;
    out.bytesPerSecond = what.budget * 1024;
    if (FLAGS_relax > 0)
        out.tuning.relaxFactor = FLAGS_relax;
    if (FLAGS_prior > 0)
        out.tuning.priorResponses = FLAGS_prior;
    if (FLAGS_memory > 0)
        out.tuning.memoryFactor = FLAGS_memory;
    if (FLAGS_fresh >= 0)
        out.tuning.freshSpread = FLAGS_fresh;
    if (FLAGS_noise_scale >= 0)
        out.tuning.noiseScale = FLAGS_noise_scale;
    return out;
}

template <typename Value>
spread spreadOf(const std::vector<scenario_result> &runs, Value value)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const scenario_result &run : runs)
        values.push_back(value(run));
    std::sort(values.begin(), values.end());
    const std::size_t count = values.size();
    return {values.front(), (values[(count - 1) / 2] + values[count / 2]) / 2, values.back()};
}

spread tailOf(const std::vector<scenario_result> &runs)
{
    return spreadOf(runs, [](const scenario_result &run) { return run.p99; });
}

std::vector<bench_case> listCases()
{
    std::vector<std::string> policies = {"uniform_random",
                                         "round_robin",
                                         "least_in_flight",
                                         baselinePolicy,
                                         std::string(baselinePolicy) + polledSuffix,
                                         defaultPolicy};
    std::vector<int> loads = {50, 70, 85, 95, 120};
    std::vector<bool> noises = {false, true};
    if (FLAGS_quick) {
        loads = {50, 85};
        noises = {true};
    }
    if (!FLAGS_policies.empty())
        policies = splitWords(FLAGS_policies);
    if (!FLAGS_loads.empty()) {
        loads.clear();
        for (const std::string &word : splitWords(FLAGS_loads))
            loads.push_back(std::stoi(word));
    }
    std::vector<bench_case> out;
    for (const std::string user : {"kestrelwood", "obrt_horvatic"}) {
        for (const int load : loads) {
            for (const bool noise : noises) {
                for (const std::string &policy : policies)
                    out.push_back({user, policy, load, noise, FLAGS_budget});
            }
        }
        if (FLAGS_quick || !FLAGS_budget_series)
            continue;
        for (const double budget : {0.0, 1.0, 8.0, 16.0, 32.0, 64.0}) {
            for (const std::string policy : {baselinePolicy, defaultPolicy})
                out.push_back({user, policy, seriesLoad, true, budget});
        }
    }
    return out;
}

results runAll(const std::vector<bench_case> &cases, std::size_t seeds)
{
    results out;
    for (const bench_case &what : cases)
        out[what].resize(seeds);
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int i = 0; i < FLAGS_threads; ++i) {
        workers.emplace_back([&] {
            for (std::size_t job = next++; job < cases.size() * seeds; job = next++) {
                const bench_case &what = cases[job / seeds];
                const std::uint64_t seed = job % seeds + 1;
                out.find(what)->second[seed - 1] = runScenario(settingsOf(what, seed));
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    return out;
}

void printRows(const std::vector<bench_case> &cases, const results &all)
{
    std::printf("%-13s %4s %5s %6s %-23s %7s %8s %17s %8s %8s %8s %8s %8s %7s %4s\n", "user",
                "load", "noise", "budget", "policy", "p50_ms", "p99_ms", "p99_least..most",
                "p99.9_ms", "refused%", "goodput%", "probes/s", "bytes/s", "budget%", "over");
    for (const bench_case &what : cases) {
        const std::vector<scenario_result> &runs = all.at(what);
        const spread tail = tailOf(runs);
        std::uint64_t overruns = 0;
        for (const scenario_result &run : runs)
            overruns += run.overruns + run.invariantFailures;
        const double p50 = spreadOf(runs, [](const scenario_result &r) { return r.p50; }).median;
        const double p999 = spreadOf(runs, [](const scenario_result &r) { return r.p999; }).median;
        const double refused
            = spreadOf(runs, [](const scenario_result &r) { return r.refused; }).median;
        const double goodput
            = spreadOf(runs, [](const scenario_result &r) { return r.goodput; }).median;
        const double probes
            = spreadOf(runs, [](const scenario_result &r) { return r.probeCalls; }).median;
        const double bytes
            = spreadOf(runs, [](const scenario_result &r) { return r.probeBytes; }).median;
        const double share
            = spreadOf(runs, [](const scenario_result &r) { return r.budgetShare; }).median;
        std::printf("%-13s %4d %5s %6.0f %-23s %7.2f %8.2f %7.2f..%8.2f %8.2f %8.3f %8.2f %8.2f "
                    "%8.0f %7.1f %4llu\n",
                    what.user.c_str(), what.load, what.noise ? "yes" : "no", what.budget,
                    what.policy.c_str(), p50, tail.median, tail.least, tail.greatest, p999,
                    refused * 100, goodput * 100, probes, bytes, share * 100,
                    static_cast<unsigned long long>(overruns));
    }
}

/// Median over the seeds of the ratio of p99 to the baseline's on the same seed.
double tailRatio(const results &all, bench_case what, const std::string &baseline)
{
    const std::vector<scenario_result> &own = all.at(what);
    what.policy = baseline;
    const std::vector<scenario_result> &other = all.at(what);
    std::vector<double> ratios;
    for (std::size_t seed = 0; seed < own.size(); ++seed)
        ratios.push_back(own[seed].p99 / other[seed].p99);
    std::sort(ratios.begin(), ratios.end());
    return (ratios[(ratios.size() - 1) / 2] + ratios[ratios.size() / 2]) / 2;
}

bool checkTarget(const std::string &text, double value, double limit)
{
    const bool met = value <= limit;
    std::printf("%-6s %-66s %8.3f, target at most %.3f\n", met ? "met" : "MISSED", text.c_str(),
                value, limit);
    return met;
}

bool checkTargets(const std::vector<bench_case> &cases, const results &all)
{
    bool met = true;
    std::uint64_t overruns = 0;
    for (const bench_case &what : cases) {
        for (const scenario_result &run : all.at(what))
            overruns += run.overruns + run.invariantFailures;
        const std::string polled = std::string(baselinePolicy) + polledSuffix;
        bench_case baseline = what;
        baseline.policy = baselinePolicy;
        bench_case polling = what;
        polling.policy = polled;
        if (what.policy != defaultPolicy || !all.contains(baseline) || !all.contains(polling))
            continue;
        const std::string place = what.user + " at " + std::to_string(what.load) + "%"
                                  + (what.noise ? " with noise" : " without noise");
        if (what.load == 85 && what.noise) {
            met &= checkTarget("p99 against power_of_two, " + place,
                               tailRatio(all, what, baselinePolicy), tailTarget);
            const double cost
                = spreadOf(all.at(what), [](const scenario_result &r) { return r.probeCalls; })
                      .median
                  / spreadOf(all.at(polling), [](const scenario_result &r) {
                        return r.probeCalls;
                    }).median;
            met &= checkTarget("probes against polling each 100 ms, " + place, cost, costTarget);
        }
        if (what.load == 50)
            met &= checkTarget("p99 against power_of_two, " + place,
                               tailRatio(all, what, baselinePolicy), lowLoadTarget);
    }
    met &= checkTarget("probes beyond the budget, failed invariants, all runs",
                       static_cast<double>(overruns), 0);
    return met;
}

} // namespace

} // namespace almondnotch

int main(int argc, char **argv)
{
    using namespace almondnotch;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::size_t seeds = static_cast<std::size_t>(FLAGS_quick ? 3 : FLAGS_seeds);
    const std::vector<bench_case> cases = listCases();
    const results all = runAll(cases, seeds);
    printRows(cases, all);
    return checkTargets(cases, all) ? 0 : 1;
}
