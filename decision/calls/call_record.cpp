#include "decision/calls/call_record.h"

#include <algorithm>

#include <xxhash.h>

namespace almondnotch {

std::string_view toString(call_stage stage)
{
    switch (stage) {
    case call_stage::running:
        return "running";
    case call_stage::forwarded:
        return "forwarded";
    case call_stage::waiting:
        return "waiting";
    }
    return "running";
}

bool call_record::mayHaveRun() const
{
    // The owner of the key executes a forwarded call, and another call executes the operation of a
    // waiting one. This record does not show whether that has happened.
    if (stage != call_stage::running)
        return true;
    return std::any_of(attempts.begin(), attempts.end(), [](const attempt_record &attempt) {
        return !attempt.rejectedBeforeRun && attempt.end != attempt_end::not_sent;
    });
}

unsigned call_record::runningAttempts() const
{
    return static_cast<unsigned>(
        std::count_if(attempts.begin(), attempts.end(),
                      [](const attempt_record &attempt) { return !attempt.end.has_value(); }));
}

unsigned call_record::brokenAttempts() const
{
    return static_cast<unsigned>(
        std::count_if(attempts.begin(), attempts.end(), [](const attempt_record &attempt) {
            return attempt.end == attempt_end::broken;
        }));
}

std::vector<worker_index> call_record::triedWorkers() const
{
    std::vector<worker_index> tried;
    for (const attempt_record &attempt : attempts)
        tried.push_back(attempt.worker);
    return tried;
}

std::uint64_t digestOf(const call_request &request)
{
    // The lengths separate the fields, so that "a" + "bc" differs from "ab" + "c".
    const std::uint64_t lengths = request.method.size() ^ (request.target.size() << 20U)
                                  ^ (static_cast<std::uint64_t>(request.body.size()) << 40U);
    std::uint64_t digest
        = XXH3_64bits_withSeed(request.method.data(), request.method.size(), lengths);
    digest = XXH3_64bits_withSeed(request.target.data(), request.target.size(), digest);
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), digest);
}

} // namespace almondnotch
