#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <ev++.h>
#include <gflags/gflags.h>

#include "tools/worker_standin/worker_server.h"

DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_int32(base_port, 0, "port of the first worker; 0 lets the kernel choose every port");
DEFINE_int32(workers, 1, "number of workers, on successive ports");
DEFINE_string(name, "worker", "name of the worker; several workers get -0, -1, ... appended");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_string(set, "", "initial parameters, for example slots=6&service_ms=5&queue=24");
DEFINE_int32(slots, 6, "calls executed concurrently");
DEFINE_int32(queue, 24, "calls that may wait for a slot");
DEFINE_double(service_ms, 5, "mean service time in milliseconds");
DEFINE_string(distribution, "exponential",
              "distribution of service times: exponential or constant");

namespace almondnotch {

namespace {

struct signal_handler
{
    ev::loop_ref loop;
    void handleSignal(ev::sig & /*watcher*/, int /*events*/) { loop.break_loop(ev::ALL); }
};

/// Initial behaviour according to the flags.
result<worker_behaviour> initialBehaviour()
{
    std::map<std::string, std::string, std::less<>> parameters {
        {"slots", std::to_string(FLAGS_slots)},
        {"queue", std::to_string(FLAGS_queue)},
        {"service_ms", std::to_string(FLAGS_service_ms)},
        {"distribution", FLAGS_distribution},
    };
    std::string rest = FLAGS_set;
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        parameters[pair.substr(0, equals)]
            = equals == std::string::npos ? "" : pair.substr(equals + 1);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    worker_behaviour behaviour;
    const result<void> applied = behaviour.apply(parameters);
    if (!applied)
        return tl::unexpected(applied.error());
    return behaviour;
}

int run()
{
    ev::default_loop loop;
    signal_handler handler {loop};
    ev::sig terminate(loop);
    terminate.set<signal_handler, &signal_handler::handleSignal>(&handler);
    terminate.start(SIGTERM);
    ev::sig interrupt(loop);
    interrupt.set<signal_handler, &signal_handler::handleSignal>(&handler);
    interrupt.start(SIGINT);
    const result<worker_behaviour> behaviour = initialBehaviour();
    if (!behaviour) {
        std::fprintf(stderr, "worker_standin: %s\n", toString(behaviour.error()).c_str());
        return 1;
    }
    std::vector<std::unique_ptr<worker_server>> workers;
    for (int index = 0; index < FLAGS_workers; ++index) {
        const int port = FLAGS_base_port == 0 ? 0 : FLAGS_base_port + index;
        const std::string name
            = FLAGS_workers == 1 ? FLAGS_name : FLAGS_name + "-" + std::to_string(index);
        result<std::unique_ptr<worker_server>> added
            = worker_server::create(loop, FLAGS_host + ":" + std::to_string(port), name, *behaviour,
                                    FLAGS_seed + static_cast<std::uint64_t>(index), workers);
        if (!added) {
            std::fprintf(stderr, "worker_standin: %s\n", toString(added.error()).c_str());
            return 1;
        }
        workers.push_back(std::move(*added));
    }
    for (const std::unique_ptr<worker_server> &worker : workers)
        std::printf("listening on %s\n", worker->address().c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}

} // namespace

} // namespace almondnotch

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return almondnotch::run();
}
