/// Measures the time of a selection, of a whole call and of the probes of one second, and the
/// memory per worker, for one group of 10 to 11,000 workers.

#include <benchmark/benchmark.h>

#include <malloc.h>

#include "tests/decision/balance/balancer_fixture.h"

namespace almondnotch {

namespace {

/// Number of heap bytes in use.
double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Measures a selection while half of the workers have a call in flight.
void selectWorker(benchmark::State &state)
{
    const std::size_t count = static_cast<std::size_t>(state.range(0));
    balancer_fixture fixture(count);
    for (std::size_t i = 0; i < count; ++i)
        fixture.serve(balancer_fixture::indexOf(i), milliseconds(1),
                      load_report {static_cast<unsigned>(i % 4), 0, 4, worker_state::ready});
    for (std::size_t i = 0; i < count; i += 2)
        fixture.loadBalancer->attemptStarted(fixture.now, balancer_fixture::indexOf(i));
    const worker_group *group = fixture.config->group("g");
    for (auto iterator : state) {
        static_cast<void>(iterator);
        fixture.now = fixture.now + microseconds(2);
        benchmark::DoNotOptimize(
            fixture.loadBalancer->select({group, {}, seconds(1), fixture.now}));
    }
}

/// Measures a selection together with the start and the end of its attempt, including a report.
void serveCall(benchmark::State &state)
{
    balancer_fixture fixture(static_cast<std::size_t>(state.range(0)));
    const worker_group *group = fixture.config->group("g");
    for (auto iterator : state) {
        static_cast<void>(iterator);
        const std::optional<selected_worker> chosen
            = fixture.loadBalancer->select({group, {}, seconds(1), fixture.now});
        fixture.serve(chosen->worker, microseconds(100),
                      load_report {1, 0, 4, worker_state::ready});
    }
}

/// Measures the memory of the balancer per worker, without the configuration, which the balancer
/// only refers to.
void memoryOfWorkers(benchmark::State &state)
{
    const std::size_t count = static_cast<std::size_t>(state.range(0));
    double perWorker = 0;
    for (auto iterator : state) {
        static_cast<void>(iterator);
        balancer_fixture fixture(1);
        for (std::size_t i = 1; i < count; ++i)
            fixture.addWorker(i);
        const shared_config large = config_set::create(2, "0", fixture.objects);
        const double before = heapBytes();
        fixture.loadBalancer->applyConfig(fixture.now, large);
        for (std::size_t i = 0; i < count; ++i)
            fixture.serve(balancer_fixture::indexOf(i), milliseconds(1),
                          load_report {1, 0, 4, worker_state::ready});
        perWorker = (heapBytes() - before) / static_cast<double>(count);
    }
    state.counters["bytes_per_worker"] = perWorker;
}

/// Measures the checks and probes of all workers during one second without calls.
void probeSecond(benchmark::State &state)
{
    balancer_fixture fixture(static_cast<std::size_t>(state.range(0)));
    for (auto iterator : state) {
        static_cast<void>(iterator);
        const instant end = fixture.now + seconds(1);
        while (fixture.loadBalancer->nextWake() < end) {
            fixture.now = fixture.loadBalancer->nextWake();
            for (const probe_request &probeRequest : fixture.loadBalancer->dueProbes(fixture.now))
                fixture.loadBalancer->probeFinished(fixture.now, probeRequest.worker,
                                                    load_report {1, 0, 4, worker_state::ready},
                                                    400);
        }
        fixture.now = end;
    }
}

} // namespace

BENCHMARK(selectWorker)->Arg(10)->Arg(100)->Arg(1000)->Arg(11000);
BENCHMARK(serveCall)->Arg(10)->Arg(100)->Arg(1000)->Arg(11000);
BENCHMARK(memoryOfWorkers)->Arg(1000)->Arg(11000)->Iterations(3)->Unit(benchmark::kMillisecond);
BENCHMARK(probeSecond)->Arg(1000)->Arg(11000)->Unit(benchmark::kMillisecond);

} // namespace almondnotch

BENCHMARK_MAIN();
