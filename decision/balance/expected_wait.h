#pragma once

#include "decision/balance/selection_strategy.h"

namespace almondnotch {

/// Selects the worker with the lowest score (response time plus a penalty for expected failures),
/// where the response time of each candidate is sampled from its estimated distribution (Thompson
/// sampling).
///
/// Sampling prevents gateways that have equally old reports of a worker from all selecting that
/// worker: the older the report, the wider the distribution and the more the selections differ.
/// With recent reports the strategy is nearly the same as join-the-shortest-queue (JSQ).
class expected_wait : public selection_strategy
{
public:
    std::string_view name() const override { return "expected_wait"; }
    std::size_t choose(const selection_context &context,
                       const std::vector<candidate> &candidates) const override;

    /// Cost of sending a call to a worker, in seconds: the expected response time plus a penalty
    /// for the expected failures. Lower is better.
    static double score(const load_prediction &prediction, const group_estimate &group);
};

} // namespace almondnotch
