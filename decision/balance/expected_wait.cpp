#include "decision/balance/expected_wait.h"

#include <limits>

namespace almondnotch {

namespace {

/// Cost of a failed attempt as a multiple of the service time. A failed attempt leads to a retry on
/// another worker or to an error for the caller. The value is high enough that a worker that fails
/// half of its calls is selected only if all others are overloaded.
constexpr double failureCostFactor = 40;

/// Standard deviation of the random factor on each score. Without it, differences far below the
/// accuracy of the estimate would decide, and all gateways would prefer the same one of several
/// idle workers.
constexpr double tieBreakNoise = 0.01;

/// Approximately normal random number with mean 0 and variance 1, the scaled sum of three uniform
/// numbers. It stays within 3 standard deviations, so that a rare sample cannot send a call to a
/// worker that is known to be overloaded.
double drawNormalDeviate(random_source &random)
{
    const std::uint64_t bits = random.next();
    const double first = static_cast<double>(bits & 0x1fffff);
    const double second = static_cast<double>((bits >> 21) & 0x1fffff);
    const double third = static_cast<double>((bits >> 42) & 0x1fffff);
    return ((first + second + third) * 0x1.0p-21 - 1.5) * 2;
}

} // namespace

std::size_t expected_wait::choose(const selection_context &context,
                                  const std::vector<candidate> &candidates) const
{
    std::size_t best = 0;
    double bestScore = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const worker_record &worker = context.workers.at(candidates[i].worker);
        const double normalDeviate = drawNormalDeviate(context.random);
        const load_prediction prediction
            = worker.load.predict(context.now, context.group.estimate, context.tuning, worker.slots,
                                  worker.roundTripS, normalDeviate);
        const double cost
            = score(prediction, context.group.estimate) * (1 + tieBreakNoise * normalDeviate);
        if (cost < bestScore) {
            best = i;
            bestScore = cost;
        }
    }
    return best;
}

double expected_wait::score(const load_prediction &prediction, const group_estimate &group)
{
    return prediction.responseTimeS
           + prediction.failureExcess * failureCostFactor * group.serviceTimeS();
}

} // namespace almondnotch
