#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/balance/load_estimate.h"
#include "decision/balance/worker_table.h"
#include "decision/types.h"

namespace almondnotch {

/// Input of a strategy for one selection.
struct selection_context
{
    instant now;
    const worker_table &workers;
    group_record &group;
    const estimate_tuning &tuning;
    random_source &random;
};

/// A worker of the group that may be selected.
struct candidate
{
    worker_index worker {};
    /// Position in the group's list of members.
    std::size_t position = 0;
};

/// Selects one of the candidates. A strategy has no state of its own; state that must persist
/// between selections is in `group_record`.
class selection_strategy
{
public:
    selection_strategy() = default;
    selection_strategy(const selection_strategy &) = delete;
    selection_strategy &operator=(const selection_strategy &) = delete;
    virtual ~selection_strategy() = default;

    virtual std::string_view name() const = 0;

    /// If true, the candidates of a large group are consecutive members from
    /// `group.roundRobinCursor` on; otherwise they are sampled at random.
    virtual bool isSequential() const { return false; }

    /// \param candidates must not be empty.
    /// \return index into `candidates`.
    virtual std::size_t choose(const selection_context &context,
                               const std::vector<candidate> &candidates) const = 0;
};

/// Creates the strategy with the given name: uniform_random, round_robin, least_in_flight,
/// power_of_two or expected_wait.
/// \return null if there is no strategy with this name.
std::unique_ptr<selection_strategy> makeSelectionStrategy(std::string_view name);

} // namespace almondnotch
