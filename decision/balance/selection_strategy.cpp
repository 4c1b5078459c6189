#include "decision/balance/selection_strategy.h"

#include <algorithm>

#include "decision/balance/expected_wait.h"

namespace almondnotch {

namespace {

class uniform_random : public selection_strategy
{
public:
    std::string_view name() const override { return "uniform_random"; }
    std::size_t choose(const selection_context &context,
                       const std::vector<candidate> &candidates) const override
    {
        return context.random.below(candidates.size());
    }
};

/// Selects the members of the group in turn. Members that are not candidates are skipped.
class round_robin : public selection_strategy
{
public:
    std::string_view name() const override { return "round_robin"; }
    bool isSequential() const override { return true; }
    std::size_t choose(const selection_context &context,
                       const std::vector<candidate> &candidates) const override
    {
        const std::size_t count = std::max<std::size_t>(1, context.group.members.size());
        std::size_t best = 0;
        std::size_t bestDistance = count;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::size_t distance
                = (candidates[i].position + count - context.group.roundRobinCursor % count) % count;
            if (distance < bestDistance) {
                best = i;
                bestDistance = distance;
            }
        }
        context.group.roundRobinCursor = candidates[best].position + 1;
        return best;
    }
};

/// Selects the worker with the fewest calls in flight from this gateway; ties are broken at random.
class least_in_flight : public selection_strategy
{
public:
    std::string_view name() const override { return "least_in_flight"; }
    std::size_t choose(const selection_context &context,
                       const std::vector<candidate> &candidates) const override
    {
        std::size_t best = 0;
        unsigned fewestInFlight = 0;
        std::uint64_t ties = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const unsigned inFlight = context.workers.at(candidates[i].worker).load.inFlight();
            if (ties == 0 || inFlight < fewestInFlight) {
                best = i;
                fewestInFlight = inFlight;
                ties = 1;
            } else if (inFlight == fewestInFlight && context.random.below(++ties) == 0) {
                best = i;
            }
        }
        return best;
    }
};

/// Selects, of two random workers, the one with fewer outstanding calls in its last report,
/// regardless of the report's age (Mitzenmacher, "The power of two choices in randomized load
/// balancing", 2001).
class power_of_two : public selection_strategy
{
public:
    std::string_view name() const override { return "power_of_two"; }
    std::size_t choose(const selection_context &context,
                       const std::vector<candidate> &candidates) const override
    {
        const std::size_t count = candidates.size();
        const std::size_t first = context.random.below(count);
        if (count == 1)
            return first;
        const std::size_t second = (first + 1 + context.random.below(count - 1)) % count;
        const unsigned firstOutstanding = reportedOutstanding(context, candidates[first]);
        const unsigned secondOutstanding = reportedOutstanding(context, candidates[second]);
        return secondOutstanding < firstOutstanding ? second : first;
    }

private:
    static unsigned reportedOutstanding(const selection_context &context, const candidate &target)
    {
        const std::optional<load_report> &report = context.workers.at(target.worker).load.report();
        return report ? report->running + report->queued : 0;
    }
};

} // namespace

std::unique_ptr<selection_strategy> makeSelectionStrategy(std::string_view name)
{
    if (name == "uniform_random")
        return std::make_unique<uniform_random>();
    if (name == "round_robin")
        return std::make_unique<round_robin>();
    if (name == "least_in_flight")
        return std::make_unique<least_in_flight>();
    if (name == "power_of_two")
        return std::make_unique<power_of_two>();
    if (name == "expected_wait")
        return std::make_unique<expected_wait>();
    return nullptr;
}

} // namespace almondnotch
