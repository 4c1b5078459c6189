#include "decision/routing/requests/routed_request.h"

#include <algorithm>

namespace almondnotch {

bool routed_request::mayHaveRun() const
{
    return possiblyRunAttempts() > 0;
}

unsigned routed_request::runningAttempts() const
{
    return static_cast<unsigned>(
        std::count_if(attempts.begin(), attempts.end(),
                      [](const routed_attempt &attempt) { return !attempt.end; }));
}

unsigned routed_request::possiblyRunAttempts() const
{
    return static_cast<unsigned>(
        std::count_if(attempts.begin(), attempts.end(),
                      [](const routed_attempt &attempt) { return attempt.mayHaveRun(); }));
}

std::vector<worker_index> routed_request::triedWorkers() const
{
    std::vector<worker_index> out;
    out.reserve(attempts.size());
    for (const routed_attempt &attempt : attempts)
        out.push_back(attempt.worker);
    return out;
}

instant routed_request::nextTimer() const
{
    return std::min({deadline, probeDeadline, reselectAt, hedgeAt});
}

} // namespace almondnotch
