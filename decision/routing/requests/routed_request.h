#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "decision/events.h"
#include "decision/routing/items/published.h"
#include "decision/routing/requests/worker_selector.h"
#include "decision/types.h"

namespace almondnotch {

/// Maximum number of attempts of a request, including those that certainly were not executed and
/// do not count towards `host_route::attemptsMax`.
constexpr std::size_t transmissionsMax = 6;

/// One transmission of a request to a worker.
struct routed_attempt
{
    attempt_id attempt {};
    worker_index worker {};
    instant startedAt;
    /// Slowdown of the worker's machine when the worker was selected, in percent (100 is normal
    /// speed); 0 if there was no recent load report.
    unsigned slowdownPercent = 0;
    /// Including this request, the worker was nearly saturated when it was selected.
    bool isNearSaturation = false;
    /// Empty while the attempt is in flight.
    std::optional<attempt_end> end;
    /// The worker refused the request and reported that it did not execute it.
    bool rejectedBeforeRun = false;
    /// It was sent while an earlier attempt was in flight.
    bool isHedge = false;

    bool mayHaveRun() const { return !rejectedBeforeRun && end != attempt_end::not_sent; }
};

/// Why a hedge that was due was not sent.
enum class hedge_refusal {
    /// It may be sent.
    none,
    /// `hedge_settings::share` is used up.
    share_used,
    /// The retry budget of the service is used up but for the reserve for retries.
    retry_budget,
    /// The service is short of room.
    no_room,
    /// The gateway's drain ends too soon.
    leaving,
    /// The request has crashed workers.
    quarantined,
    /// No worker is free enough for a hedge.
    no_worker,
};

/// A request in progress.
struct routed_request
{
    call_id call {};
    shared_request request;
    /// Keeps alive the object that `route` points to.
    shared_route_config config;
    const host_route *route = nullptr;
    std::string service;
    instant arrivedAt;
    /// Time until which a response meets the latency objective of the route, but not later than
    /// `deadline`.
    instant objectiveAt;
    instant deadline;
    std::vector<routed_attempt> attempts;
    /// A worker is being selected.
    bool isSelecting = false;
    /// The worker is being selected for a hedge, in addition to the attempt in flight.
    bool isHedge = false;
    /// The request was deferred during the current selection because no worker was acceptable.
    bool wasDeferred = false;
    /// Number of probe rounds (see `beginProbeRound`) that were started or
    /// skipped since the selection began or its last retry was scheduled (see `reselectAt`).
    unsigned probeRounds = 0;
    /// Earliest time at which workers of other failure domains may be probed again.
    instant remoteProbesAllowedAt;
    /// Workers whose probe results are awaited until `probeDeadline`.
    std::set<worker_index> awaitedWorkers;
    instant probeDeadline = instant::never();
    /// When the selection is retried; `never` unless the request is deferred or no worker was
    /// usable.
    instant reselectAt = instant::never();
    /// When a hedge is due; `never` if none is planned.
    instant hedgeAt = instant::never();
    /// When workers were last probed for a hedge; the origin of the clock if they were not.
    instant hedgeProbedAt;
    /// Why no hedge was sent when it was last tried.
    hedge_refusal hedgeRefusal = hedge_refusal::none;
    /// Attempt whose answer is returned to the caller.
    std::optional<attempt_id> answeredBy;
    /// If the request is refused, its caller is told not to return before this time.
    instant retryNotBefore;
    /// Failure response of a worker. It is forwarded to the caller if no other attempt succeeds.
    shared_response failureResponse;

    bool isIdempotent() const { return route->delivery == delivery_semantics::idempotent; }
    bool mayHaveRun() const;
    unsigned runningAttempts() const;
    /// Number of attempts that were or may have been executed.
    unsigned possiblyRunAttempts() const;
    std::vector<worker_index> triedWorkers() const;
    /// Earliest time at which a timer of the request is due.
    instant nextTimer() const;
};

} // namespace almondnotch
