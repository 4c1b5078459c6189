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

/// What a strategy may look at for one choice.
struct selection_context
{
    instant now;
    const worker_table &workers;
    group_record &group;
    const estimate_tuning &tuning;
    random_source &random;
};

/// A worker of the group that may be chosen.
struct candidate
{
    worker_index worker {};
    /// Position in the group's list of members.
    std::size_t position = 0;
};

/// Chooses one of the candidates. Has no state of its own; what must last is in `group_record`.
class selection_strategy
{
public:
    selection_strategy() = default;
    selection_strategy(const selection_strategy &) = delete;
    selection_strategy &operator=(const selection_strategy &) = delete;
    virtual ~selection_strategy() = default;

    virtual std::string_view name() const = 0;

    /// True if the candidates of a large group must follow one another from `group.cursor` on;
    /// otherwise they are drawn at random.
    virtual bool isSequential() const { return false; }

    /// \param candidates not empty.
    /// \return index into `candidates`.
    virtual std::size_t choose(const selection_context &context,
                               const std::vector<candidate> &candidates) const = 0;
};

/// The strategy of that name, or null: uniform_random, round_robin, least_in_flight, power_of_two,
/// expected_wait.
std::unique_ptr<selection_strategy> makeSelectionStrategy(std::string_view name);

} // namespace almondnotch
