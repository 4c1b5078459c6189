#pragma once

#include <optional>
#include <vector>

#include "core/counters.h"
#include "decision/actions.h"

namespace almondnotch {

/// Checks whether the store answers, by reads of only its current revision.
///
/// A watch that arrives while the store is silent is lost without an error, and this does not show
/// for as long as a watch may wait. A check that is sent shortly after the watch is lost as well,
/// which shows after the time limit of a read that does not wait.
class store_checks
{
public:
    /// A check that has ended.
    struct outcome
    {
        bool isAnswered = false;
        /// The watch that the check followed, if any.
        std::optional<read_id> watch;
    };

    /// \param counters must outlive the checks.
    explicit store_checks(counter_set &counters) : m_counters(counters) { }

    /// Sends a check, unless too many are in flight.
    /// \param check identifier of the read. \param watch the watch that it follows, if any.
    /// \param areReadsFailing whether the open connections may be dead.
    void send(read_id check, std::optional<read_id> watch, bool areReadsFailing,
              action_list &actions);
    /// \return nothing if the read is no check.
    std::optional<outcome> readFinished(read_id read, bool isAnswered);

    bool isAnyInFlight() const { return !m_inFlight.empty(); }

private:
    struct sent_check
    {
        read_id check;
        std::optional<read_id> watch;
    };

    counter_set &m_counters;
    std::vector<sent_check> m_inFlight;
    bool m_wasLastLost = false;
};

} // namespace almondnotch
