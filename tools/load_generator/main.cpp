#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

#include <curl/curl.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "tools/load_generator/execution_check.h"
#include "tools/load_generator/load_run.h"

DEFINE_string(addresses, "", "entry addresses to query, ip:port, comma separated");
DEFINE_bool(direct, false, "--addresses are those of workers, which are called without a query");
DEFINE_string(service, "", "service whose entry addresses are queried");
DEFINE_double(rate, 100, "calls per second");
DEFINE_double(seconds, 10, "duration of the run in seconds");
DEFINE_double(read_share, 0.8, "share of reads, 0 to 1; the other calls are bookings");
DEFINE_string(read_path, "/read", "path prefix of reads");
DEFINE_string(book_path, "/book", "path prefix of bookings");
DEFINE_uint32(callers, 20, "number of callers, each with its own entry addresses and key range");
DEFINE_uint32(deadline_ms, 5000, "deadline of each call in milliseconds");
DEFINE_uint32(transmissions, 5, "maximum transmissions of a call, including the first one");
DEFINE_uint32(body_bytes, 64, "padding of a booking's body in bytes");
DEFINE_uint64(seed, 1, "seed of the random generator");
DEFINE_string(worker_controls, "",
              "addresses of worker stand-ins, one per process, whose execution logs are checked");
DEFINE_string(output, "text", "output format: text or json");

namespace almondnotch {

namespace {

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

load_plan planFromFlags()
{
    load_plan plan;
    plan.addresses = splitList(FLAGS_addresses);
    plan.direct = FLAGS_direct;
    plan.service = FLAGS_service;
    plan.callsPerSecond = FLAGS_rate;
    plan.seconds = FLAGS_seconds;
    plan.readShare = FLAGS_read_share;
    plan.readPathPrefix = FLAGS_read_path;
    plan.bookingPathPrefix = FLAGS_book_path;
    plan.callers = FLAGS_callers;
    plan.deadline = milliseconds(FLAGS_deadline_ms);
    plan.transmissionsMax = FLAGS_transmissions;
    plan.bodyPaddingBytes = FLAGS_body_bytes;
    plan.seed = FLAGS_seed;
    return plan;
}

nlohmann::json toJson(const load_result &totals)
{
    return {{"planned", totals.planned},
            {"succeeded", totals.succeeded},
            {"not_run", totals.notRun},
            {"unknown", totals.unknown},
            {"wrong", totals.wrong},
            {"failed", totals.failed},
            {"sent_again", totals.retransmissions},
            {"entry_queries", totals.entryQueries},
            {"elapsed_s", totals.elapsedSeconds},
            {"p50_ms", totals.all.quantileMs(0.5)},
            {"p99_ms", totals.all.quantileMs(0.99)},
            {"p999_ms", totals.all.quantileMs(0.999)},
            {"mean_ms", totals.all.meanMs()},
            {"reads_p99_ms", totals.reads.quantileMs(0.99)},
            {"bookings_p99_ms", totals.bookings.quantileMs(0.99)},
            {"reasons", totals.reasons}};
}

int runLoad()
{
    const load_plan plan = planFromFlags();
    if (plan.addresses.empty() || plan.callsPerSecond <= 0 || plan.callers == 0) {
        std::fprintf(stderr, "load_generator: --addresses must not be empty, "
                             "--rate and --callers must be greater than 0\n");
        return 2;
    }
    load_run generator(plan);
    const load_result totals = generator.run();
    nlohmann::json report = toJson(totals);
    bool passed = totals.wrong == 0;
    const std::vector<std::string> controlAddresses = splitList(FLAGS_worker_controls);
    if (!controlAddresses.empty()) {
        const result<execution_report> checked
            = checkExecutions(controlAddresses, totals.bookingResults);
        if (!checked) {
            std::fprintf(stderr, "load_generator: %s\n", toString(checked.error()).c_str());
            return 1;
        }
        report["bookings"] = checked->bookings;
        report["doubled"] = checked->doubled;
        report["false_not_run"] = checked->falseNotRun;
        report["never_executed"] = checked->neverExecuted;
        passed = passed && checked->doubled == 0 && checked->falseNotRun == 0
                 && checked->neverExecuted == 0;
    }
    if (FLAGS_output == "json") {
        std::printf("%s\n", report.dump().c_str());
    } else {
        for (auto it = report.begin(); it != report.end(); ++it)
            std::printf("%-16s %s\n", it.key().c_str(), it.value().dump().c_str());
    }
    return passed ? 0 : 1;
}

} // namespace

} // namespace almondnotch

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("generates open-loop load and checks every response");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const int code = almondnotch::runLoad();
    curl_global_cleanup();
    return code;
}
