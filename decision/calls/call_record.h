#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/model.h"
#include "core/time.h"
#include "decision/balance/balancer.h"
#include "decision/peer_messages.h"
#include "decision/types.h"

namespace almondnotch {

/// One transmission of a call to a worker.
struct attempt_record
{
    attempt_id attempt {};
    worker_index worker {};
    std::string workerName;
    instant startedAt;
    /// Nothing while the attempt runs.
    std::optional<attempt_end> end;
    bool refusedNotRun = false;
};

/// What the call waits for.
enum class call_stage {
    /// At least one attempt at a worker runs.
    running,
    /// The owner of the key was asked.
    forwarded,
    /// Another call with the same key runs.
    waiting,
};

std::string_view toString(call_stage stage);

/// A call that another gateway forwarded, and where its response goes.
struct forward_origin
{
    process_id from;
    std::uint64_t forwardId = 0;
    /// Where the response goes; empty if the sender did not say.
    std::string replyAddress;
};

/// A call in progress.
struct call_record
{
    call_id call {};
    shared_request request;
    /// Set if another gateway sent the call; a caller of this gateway otherwise.
    std::optional<forward_origin> origin;
    /// Keeps the objects that `target` points to.
    shared_config config;
    route target;
    call_stage stage = call_stage::running;
    instant arrivedAt;
    instant deadline;
    std::vector<attempt_record> attempts;
    /// When a hedge is due; `never` if none is planned.
    instant hedgeAt = instant::never();
    /// The call holds a claim under its idempotency key.
    bool claimed = false;
    /// The caller is gone; the response has no receiver.
    bool callerGone = false;
    std::uint64_t forwardId = 0;

    /// True if a worker may have executed the call, by the record of what was sent.
    bool mayHaveRun() const;
    unsigned runningAttempts() const;
    unsigned brokenAttempts() const;
    std::vector<worker_index> triedWorkers() const;
};

/// Digest of method, target and body (XXH3, 64 bits). Tells requests apart; not a MAC.
std::uint64_t digestOf(const call_request &request);

} // namespace almondnotch
