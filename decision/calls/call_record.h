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
    /// Empty while the attempt is in flight.
    std::optional<attempt_end> end;
    bool rejectedBeforeRun = false;
};

/// How a call in progress is being processed.
enum class call_stage {
    /// This gateway sends the call to workers.
    running,
    /// The call was forwarded to the owner of its idempotency key.
    forwarded,
    /// Another call with the same idempotency key is in progress; this call gets the same response.
    waiting,
};

std::string_view toString(call_stage stage);

/// Origin of a call that another gateway forwarded, to which its response is sent.
struct forward_origin
{
    process_id from;
    /// Identifier that `from` chose; returned with the response.
    std::uint64_t forwardId = 0;
    /// "ip:port" to which the response is sent; empty if the sender did not provide it.
    std::string replyAddress;
};

/// A call in progress.
struct call_record
{
    call_id call {};
    shared_request request;
    /// Set if another gateway forwarded the call; empty if it came from a caller of this gateway.
    std::optional<forward_origin> origin;
    /// Keeps alive the objects that `matchedRoute` points to.
    shared_config config;
    route matchedRoute;
    call_stage stage = call_stage::running;
    instant arrivedAt;
    instant deadline;
    std::vector<attempt_record> attempts;
    /// Time at which a hedge is due; `never` if none is planned.
    instant hedgeAt = instant::never();
    /// The call holds the claim on its idempotency key.
    bool claimed = false;
    /// The caller has disconnected, so no response is sent.
    bool isCallerDisconnected = false;
    /// Identifier under which this process forwarded the call to the owner of its key; 0 if it did
    /// not.
    std::uint64_t outgoingForwardId = 0;

    /// True if the call may have been executed: by a worker to which an attempt may have sent it,
    /// by the owner of its key (forwarded call), or through the call that it waits for.
    bool mayHaveRun() const;
    unsigned runningAttempts() const;
    unsigned brokenAttempts() const;
    std::vector<worker_index> triedWorkers() const;
};

/// Digest of method, target and body (XXH3, 64 bits). It distinguishes requests but is not a
/// cryptographic hash.
std::uint64_t digestOf(const call_request &request);

} // namespace almondnotch
