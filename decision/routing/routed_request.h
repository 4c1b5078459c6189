#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "decision/events.h"
#include "decision/routing/published.h"
#include "decision/routing/worker_selector.h"
#include "decision/types.h"

namespace almondnotch {

/// One transmission of a request to a worker.
struct routed_attempt
{
    attempt_id attempt {};
    worker_index worker {};
    instant startedAt;
    /// Slowdown of the worker's machine when it was chosen, percent; 0 if unknown.
    unsigned slowdownPercent = 0;
    /// Nearly all slots of the worker were in use when it was chosen.
    bool isNearSaturation = false;
    /// Nothing while the attempt runs.
    std::optional<attempt_end> end;
    bool refusedNotRun = false;

    bool mayHaveRun() const { return !refusedNotRun && end != attempt_end::not_sent; }
};

/// A request in progress.
struct routed_request
{
    call_id call {};
    shared_request request;
    /// Keeps the object that `route` points to.
    shared_route_config config;
    const host_route *route = nullptr;
    std::string service;
    instant arrivedAt;
    instant objectiveAt;
    instant deadline;
    std::vector<routed_attempt> attempts;
    /// A worker is being looked for.
    bool isSelecting = false;
    /// The worker that is looked for is a second one beside a running attempt.
    bool isHedge = false;
    /// It was held at least once, since no worker was good.
    bool wasDeferred = false;
    /// Rounds of probes for the attempt that is being placed.
    unsigned probeRounds = 0;
    /// When distant workers may be probed again.
    instant remoteProbesAllowedAt;
    /// Workers whose probes are awaited, until `probeDeadline`.
    std::set<worker_index> awaitedWorkers;
    instant probeDeadline = instant::never();
    /// When a worker is looked for again, since none had room.
    instant reselectAt = instant::never();
    instant hedgeAt = instant::never();
    bool hasTriedHedge = false;
    /// A worker's failure that is passed on if no other worker does better.
    shared_response failureResponse;

    bool isIdempotent() const { return route->delivery == delivery_semantics::idempotent; }
    bool mayHaveRun() const;
    unsigned runningAttempts() const;
    /// Attempts that may have run.
    unsigned possiblyRunAttempts() const;
    std::vector<worker_index> triedWorkers() const;
    /// Next time at which something is due.
    instant nextTimer() const;
};

} // namespace almondnotch
