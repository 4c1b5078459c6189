#include <cstdio>
#include <memory>

#include <ev++.h>
#include <gflags/gflags.h>

#include "tests/standins/platform_standin/platform_server.h"

DEFINE_string(address, "127.0.0.1:0", "ip:port to listen on; port 0 lets the kernel choose");

namespace almondnotch {

namespace {

struct signal_handler
{
    ev::loop_ref loop;
    void handleSignal(ev::sig & /*watcher*/, int /*events*/) { loop.break_loop(ev::ALL); }
};

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
    const result<std::unique_ptr<platform_server>> server
        = platform_server::create(loop, FLAGS_address);
    if (!server) {
        std::fprintf(stderr, "platform_standin: %s\n", toString(server.error()).c_str());
        return 1;
    }
    std::printf("listening on %s\n", (*server)->address().c_str());
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
