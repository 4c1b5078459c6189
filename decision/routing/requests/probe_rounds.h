#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "core/time.h"
#include "decision/routing/requests/routed_request.h"
#include "decision/routing/requests/worker_selector.h"

namespace almondnotch {

/// Workers that are probed at the same time before a request is sent.
struct probe_round
{
    /// Workers to probe, the most promising first.
    std::vector<worker_index> workers;
    /// How long the request waits for the results.
    duration wait {0};
};

/// Whom a round probes.
struct probe_round_plan
{
    /// Maximum number of workers to probe.
    std::size_t workersMax;
    /// Whether the round probes workers of the gateway's own failure domain or those of others.
    bool isLocal;
};

/// Rounds of probes in this order. Any one local worker is at full speed most of the time, so the
/// first round probes only one. Remote workers are probed last, since to send a request to another
/// failure domain costs more than to probe further local workers.
constexpr std::array<probe_round_plan, 3> probeRoundPlan {{{1, true}, {3, true}, {2, false}}};
/// Number of local rounds of `probeRoundPlan`, after which a remote worker may be selected.
constexpr unsigned localProbeRounds = 2;
/// Minimum interval between two rounds in which the same request probes remote workers, while there
/// is room at home.
constexpr duration remoteProbeInterval = milliseconds(75);

/// Begins the next round of probes of a request's selection, and counts it in the request. Rounds
/// that would probe nobody, or for which no time is left, are skipped.
/// \param ranked usable workers, the best first.
/// \return nothing if no round is left.
std::optional<probe_round> beginProbeRound(instant now, routed_request &record,
                                           const selection_criteria &criteria,
                                           const std::vector<scored_worker> &ranked);

} // namespace almondnotch
