/// Compares the selection strategies in simulated time and checks the performance targets of the
/// default strategy.
///
/// Prints one row for each strategy and scenario with the median over the seeds and, for p99, also
/// the minimum and the maximum. Exits with status 1 if a target is missed or a figure cannot be
/// written.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gflags/gflags.h>

#include "tests/decision/balance/balance_scenario.h"
#include "tests/decision/policy_bench/line_chart.h"

DEFINE_bool(quick, false, "run 3 seeds, only the loads 50 and 85 with noise, and no budget series");
DEFINE_int32(seeds, 10, "number of seeds, with one run of each strategy and scenario per seed");
DEFINE_int32(threads, 4, "number of concurrent runs");
DEFINE_string(policies, "", "selection strategies to run, separated by commas; empty for all");
DEFINE_string(loads, "", "loads to run in percent, separated by commas; empty for all");
DEFINE_string(figures, "", "folder for the SVG figures; empty for none");
DEFINE_double(budget, 4, "probe budget per worker and second for all gateways together");
DEFINE_double(variation, 0,
              "coefficient of variation of service times; 0 for that of the deployment");
DEFINE_double(relax, 0, "estimate tuning: reportDecayFactor; 0 for the default");
DEFINE_double(prior, 0, "estimate tuning: priorResponses; 0 for the default");
DEFINE_double(memory, 0, "estimate tuning: latencyDecayFactor; 0 for the default");
DEFINE_double(fresh, -1, "estimate tuning: freshReportDeviation; -1 for the default");
DEFINE_double(noise_scale, -1, "estimate tuning: samplingDeviationFactor; -1 for the default");
DEFINE_int32(seconds, 4, "measured time of a run, in seconds");
DEFINE_bool(budget_series, true, "also run the series that varies the probe budget");

namespace almondnotch {

namespace {

/// Upper limits for the default strategy: p99 relative to `power_of_two`, which uses the last
/// report, at 85% load with noise and at 50% load, and the rate of probes relative to polling every
/// 100 ms.
constexpr double p99RatioTarget = 0.6;
constexpr double lowLoadP99RatioTarget = 1.0;
constexpr double probeRatioTarget = 0.2;
constexpr const char *defaultStrategy = "expected_wait";
constexpr const char *baselineStrategy = "power_of_two";
/// Suffix of a strategy that is run with a poll of each worker every 100 ms in addition to the
/// probes.
constexpr const char *polledSuffix = "+poll100ms";
/// Load in percent at which the budget series varies the probe budget.
constexpr int budgetSeriesLoad = 85;

/// One scenario and the strategy that is run in it.
struct bench_case
{
    std::string deployment;
    /// May end with `polledSuffix`.
    std::string strategy;
    /// Offered load in percent of the capacity.
    int load = 0;
    bool noise = false;
    /// Probes per worker and second for all gateways together.
    double budget = 0;

    // clang-tidy 14 mistakes the 0 in the compiler-generated comparison for a null pointer.
    auto operator<=>(const bench_case &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Range of one value over the seeds.
struct value_range
{
    double minimum = 0;
    double median = 0;
    double maximum = 0;
};

/// Results of each case, one for each seed.
using results_by_case = std::map<bench_case, std::vector<scenario_result>>;

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, ',');)
        out.push_back(word);
    return out;
}

scenario_settings settingsOf(const bench_case &benchCase, std::uint64_t seed)
{
    scenario_settings out;
    out.deployment = benchCase.deployment == "kestrelwood" ? kestrelwood() : obrtHorvatic();
    if (FLAGS_variation > 0)
        out.deployment.worker.serviceVariation = FLAGS_variation;
    if (benchCase.noise)
        out.deployment.worker.noise = noisyNeighbours();
    out.strategy = benchCase.strategy;
    const std::size_t suffix = benchCase.strategy.find(polledSuffix);
    if (suffix != std::string::npos) {
        out.strategy = benchCase.strategy.substr(0, suffix);
        out.pollInterval = milliseconds(100);
    }
    out.load = benchCase.load / 100.0;
    out.seed = seed;
    out.probesPerSecond = benchCase.budget;
    out.bytesPerSecond = benchCase.budget * 1024;
    out.measuredTime = seconds(FLAGS_seconds);
    if (FLAGS_relax > 0)
        out.tuning.reportDecayFactor = FLAGS_relax;
    if (FLAGS_prior > 0)
        out.tuning.priorResponses = FLAGS_prior;
    if (FLAGS_memory > 0)
        out.tuning.latencyDecayFactor = FLAGS_memory;
    if (FLAGS_fresh >= 0)
        out.tuning.freshReportDeviation = FLAGS_fresh;
    if (FLAGS_noise_scale >= 0)
        out.tuning.samplingDeviationFactor = FLAGS_noise_scale;
    return out;
}

/// Range of `value(run)` over the seeds.
template <typename Value>
value_range rangeOf(const std::vector<scenario_result> &runs, Value value)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const scenario_result &run : runs)
        values.push_back(value(run));
    std::sort(values.begin(), values.end());
    const std::size_t count = values.size();
    return {values.front(), (values[(count - 1) / 2] + values[count / 2]) / 2, values.back()};
}

value_range p99RangeOf(const std::vector<scenario_result> &runs)
{
    return rangeOf(runs, [](const scenario_result &run) { return run.p99; });
}

/// Lists the cases that the flags select.
std::vector<bench_case> listCases()
{
    std::vector<std::string> strategies = {"uniform_random",
                                           "round_robin",
                                           "least_in_flight",
                                           baselineStrategy,
                                           std::string(baselineStrategy) + polledSuffix,
                                           defaultStrategy};
    std::vector<int> loads = {50, 70, 85, 95, 120};
    std::vector<bool> noises = {false, true};
    if (FLAGS_quick) {
        loads = {50, 85};
        noises = {true};
    }
    if (!FLAGS_policies.empty())
        strategies = splitAtCommas(FLAGS_policies);
    if (!FLAGS_loads.empty()) {
        loads.clear();
        for (const std::string &word : splitAtCommas(FLAGS_loads))
            loads.push_back(std::stoi(word));
    }
    std::vector<bench_case> out;
    for (const std::string deployment : {"kestrelwood", "obrt_horvatic"}) {
        for (const int load : loads) {
            for (const bool noise : noises) {
                for (const std::string &strategy : strategies)
                    out.push_back({deployment, strategy, load, noise, FLAGS_budget});
            }
        }
        if (FLAGS_quick || !FLAGS_budget_series)
            continue;
        for (const double budget : {0.0, 1.0, 8.0, 16.0, 32.0, 64.0}) {
            for (const std::string strategy : {baselineStrategy, defaultStrategy})
                out.push_back({deployment, strategy, budgetSeriesLoad, true, budget});
        }
    }
    return out;
}

/// Runs all cases with all seeds in `--threads` threads.
results_by_case runAll(const std::vector<bench_case> &cases, std::size_t seeds)
{
    results_by_case out;
    for (const bench_case &benchCase : cases)
        out[benchCase].resize(seeds);
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int i = 0; i < FLAGS_threads; ++i) {
        workers.emplace_back([&] {
            for (std::size_t job = next++; job < cases.size() * seeds; job = next++) {
                const bench_case &benchCase = cases[job / seeds];
                const std::uint64_t seed = job % seeds + 1;
                out.find(benchCase)->second[seed - 1] = runScenario(settingsOf(benchCase, seed));
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    return out;
}

void printRows(const std::vector<bench_case> &cases, const results_by_case &allResults)
{
    std::printf("%-13s %4s %5s %6s %-23s %7s %8s %17s %8s %8s %8s %8s %8s %7s %4s\n", "user",
                "load", "noise", "budget", "policy", "p50_ms", "p99_ms", "p99_least..most",
                "p99.9_ms", "refused%", "goodput%", "probes/s", "bytes/s", "budget%", "over");
    for (const bench_case &benchCase : cases) {
        const std::vector<scenario_result> &runs = allResults.at(benchCase);
        const value_range p99Range = p99RangeOf(runs);
        std::uint64_t overruns = 0;
        for (const scenario_result &run : runs)
            overruns += run.overruns + run.invariantFailures;
        const double p50 = rangeOf(runs, [](const scenario_result &r) { return r.p50; }).median;
        const double p999 = rangeOf(runs, [](const scenario_result &r) { return r.p999; }).median;
        const double rejectedShare
            = rangeOf(runs, [](const scenario_result &r) { return r.rejectedShare; }).median;
        const double goodputShare
            = rangeOf(runs, [](const scenario_result &r) { return r.goodputShare; }).median;
        const double probes
            = rangeOf(runs, [](const scenario_result &r) { return r.probeRate; }).median;
        const double bytes
            = rangeOf(runs, [](const scenario_result &r) { return r.probeByteRate; }).median;
        const double share
            = rangeOf(runs, [](const scenario_result &r) { return r.budgetShare; }).median;
        std::printf("%-13s %4d %5s %6.0f %-23s %7.2f %8.2f %7.2f..%8.2f %8.2f %8.3f %8.2f %8.2f "
                    "%8.0f %7.1f %4llu\n",
                    benchCase.deployment.c_str(), benchCase.load, benchCase.noise ? "yes" : "no",
                    benchCase.budget, benchCase.strategy.c_str(), p50, p99Range.median,
                    p99Range.minimum, p99Range.maximum, p999, rejectedShare * 100,
                    goodputShare * 100, probes, bytes, share * 100,
                    static_cast<unsigned long long>(overruns));
    }
}

/// Median over the seeds of the ratio of p99 to the p99 of the baseline strategy with the same
/// seed.
double p99Ratio(const results_by_case &allResults, bench_case benchCase,
                const std::string &baseline)
{
    const std::vector<scenario_result> &testedRuns = allResults.at(benchCase);
    benchCase.strategy = baseline;
    const std::vector<scenario_result> &baselineRuns = allResults.at(benchCase);
    std::vector<double> ratios;
    for (std::size_t seed = 0; seed < testedRuns.size(); ++seed)
        ratios.push_back(testedRuns[seed].p99 / baselineRuns[seed].p99);
    std::sort(ratios.begin(), ratios.end());
    return (ratios[(ratios.size() - 1) / 2] + ratios[ratios.size() / 2]) / 2;
}

/// Prints a target and whether it was met.
bool checkTarget(const std::string &text, double value, double limit)
{
    const bool met = value <= limit;
    std::printf("%-6s %-66s %8.3f, target at most %.3f\n", met ? "met" : "MISSED", text.c_str(),
                value, limit);
    return met;
}

bool checkTargets(const std::vector<bench_case> &cases, const results_by_case &allResults)
{
    bool met = true;
    std::uint64_t overruns = 0;
    for (const bench_case &benchCase : cases) {
        for (const scenario_result &run : allResults.at(benchCase))
            overruns += run.overruns + run.invariantFailures;
        const std::string polled = std::string(baselineStrategy) + polledSuffix;
        bench_case baseline = benchCase;
        baseline.strategy = baselineStrategy;
        bench_case polling = benchCase;
        polling.strategy = polled;
        if (benchCase.strategy != defaultStrategy || !allResults.contains(baseline)
            || !allResults.contains(polling))
            continue;
        const std::string caseText = benchCase.deployment + " at " + std::to_string(benchCase.load)
                                     + "%" + (benchCase.noise ? " with noise" : " without noise");
        if (benchCase.load == 85 && benchCase.noise) {
            met &= checkTarget("p99 against power_of_two, " + caseText,
                               p99Ratio(allResults, benchCase, baselineStrategy), p99RatioTarget);
            const double probeRatio
                = rangeOf(allResults.at(benchCase),
                          [](const scenario_result &r) { return r.probeRate; })
                      .median
                  / rangeOf(allResults.at(polling), [](const scenario_result &r) {
                        return r.probeRate;
                    }).median;
            met &= checkTarget("probes against polling each 100 ms, " + caseText, probeRatio,
                               probeRatioTarget);
        }
        if (benchCase.load == 50)
            met &= checkTarget("p99 against power_of_two, " + caseText,
                               p99Ratio(allResults, benchCase, baselineStrategy),
                               lowLoadP99RatioTarget);
    }
    met &= checkTarget("probes beyond the budget, failed invariants, all runs",
                       static_cast<double>(overruns), 0);
    return met;
}

/// Plots p99 against `x` for the cases that `isIncluded` accepts, one line for each strategy.
template <typename Filter, typename X>
bool writeChart(const std::string &path, line_chart chart, const results_by_case &allResults,
                Filter isIncluded, X x)
{
    std::map<std::string, chart_line> lines;
    for (const std::pair<const bench_case, std::vector<scenario_result>> &entry : allResults) {
        if (!isIncluded(entry.first))
            continue;
        chart_line &line = lines[entry.first.strategy];
        line.label = entry.first.strategy;
        line.points.emplace_back(x(entry.first), p99RangeOf(entry.second).median);
    }
    for (std::pair<const std::string, chart_line> &line : lines) {
        std::sort(line.second.points.begin(), line.second.points.end());
        chart.lines.push_back(line.second);
    }
    chart.yLabel = "p99, ms";
    const result<void> written = chart.write(path);
    if (!written)
        std::fprintf(stderr, "%s\n", toString(written.error()).c_str());
    return written.has_value();
}

bool writeFigures(const results_by_case &allResults)
{
    bool written = true;
    for (const std::string deployment : {"kestrelwood", "obrt_horvatic"}) {
        std::string loadPath = FLAGS_figures;
        loadPath.append("/p99_load_").append(deployment).append(".svg");
        std::string budgetPath = FLAGS_figures;
        budgetPath.append("/p99_budget_").append(deployment).append(".svg");
        written &= writeChart(
            loadPath, {"p99 against load with noise bursts", "load, % of the capacity", "", {}},
            allResults,
            [&](const bench_case &benchCase) {
                return benchCase.deployment == deployment && benchCase.noise
                       && benchCase.budget == FLAGS_budget;
            },
            [](const bench_case &benchCase) { return benchCase.load; });
        written &= writeChart(
            budgetPath,
            {"p99 against probe budget, 85% load with noise bursts",
             "budget, probes per worker and second for all gateways together",
             "",
             {}},
            allResults,
            [&](const bench_case &benchCase) {
                return benchCase.deployment == deployment && benchCase.noise
                       && benchCase.load == budgetSeriesLoad
                       && (benchCase.strategy == defaultStrategy
                           || benchCase.strategy == baselineStrategy);
            },
            [](const bench_case &benchCase) { return benchCase.budget; });
    }
    return written;
}

} // namespace

} // namespace almondnotch

int main(int argc, char **argv)
{
    using namespace almondnotch;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::size_t seeds = static_cast<std::size_t>(FLAGS_quick ? 3 : FLAGS_seeds);
    const std::vector<bench_case> cases = listCases();
    const results_by_case allResults = runAll(cases, seeds);
    printRows(cases, allResults);
    bool passed = checkTargets(cases, allResults);
    if (!FLAGS_figures.empty())
        passed &= writeFigures(allResults);
    return passed ? 0 : 1;
}
