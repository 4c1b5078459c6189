#pragma once

#include "decision/balance/selection_strategy.h"

namespace almondnotch {

/// Chooses the worker with the shortest time to a response, where the time of each candidate is
/// drawn from its estimated distribution (Thompson sampling).
///
/// Drawing spreads the choices of gateways that hold the same old report: the older the report,
/// the wider the distribution, and the less the gateways agree. With fresh reports the choice is
/// nearly that of the shortest queue.
class expected_wait : public selection_strategy
{
public:
    std::string_view name() const override { return "expected_wait"; }
    std::size_t choose(const selection_context &context,
                       const std::vector<candidate> &candidates) const override;

    /// Cost of sending a call to a worker, seconds; lower is better.
    static double score(const load_prediction &prediction, const group_estimate &group);
};

} // namespace almondnotch
