#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// One run of a gateway process. A VM that is replaced or restarted gets a higher start number,
/// so the same VM name with another start number is another process.
struct process_id
{
    std::string vm;
    /// Upper 44 bits: wall-clock milliseconds at start; lower 20 bits: random.
    std::uint64_t startNumber = 0;

    auto operator<=>(const process_id &) const = default;
    bool operator==(const process_id &) const = default;
};

/// "vm#start_number", for logs and dumps.
std::string toString(const process_id &process);

/// Identifiers that are unique within one process run.
enum class call_id : std::uint64_t {};
enum class attempt_id : std::uint64_t {};
enum class probe_id : std::uint64_t {};
enum class query_id : std::uint64_t {};
enum class read_id : std::uint64_t {};

/// Index of a worker in the balancer's table; stable while the process runs.
enum class worker_index : std::uint32_t {};

/// One HTTP header field.
struct header_field
{
    std::string name;
    std::string value;

    bool operator==(const header_field &) const = default;
};

/// What is known of whether a call was executed.
enum class call_outcome {
    /// A worker executed the call and the whole response is here.
    run,
    /// The call was certainly not executed.
    not_run,
    /// The call may or may not have been executed.
    unknown,
};

/// "run", "not-run" or "unknown", as in the `Almondnotch-Outcome` header.
std::string_view toString(call_outcome outcome);

/// A caller's request, whole and checked against the bounds. Immutable once shared.
struct call_request
{
    std::string method;
    /// Path with query, as received.
    std::string target;
    /// End-to-end headers to forward; hop-by-hop and `Almondnotch-*` headers are removed.
    std::vector<header_field> headers;
    std::string body;
    /// Value of `Idempotency-Key`; empty if absent.
    std::string idempotencyKey;
    /// Time that the caller left for the call; nothing if it did not say.
    std::optional<duration> timeout;
    /// Hops that the call has made before this one, 0 to `callDepthMax`.
    unsigned depth = 0;
    /// Retries that layers before this one made, 0 for a first try.
    unsigned attempt = 0;
    /// Identifies the call in the logs of all hops.
    std::string requestId;
    /// Host that the caller asked for, without the port; empty where routes have no host.
    std::string host;

    bool operator==(const call_request &) const = default;
};

/// A whole response. Immutable once shared.
struct call_response
{
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
    call_outcome outcome = call_outcome::run;

    bool operator==(const call_response &) const = default;
};

using shared_request = std::shared_ptr<const call_request>;
using shared_response = std::shared_ptr<const call_response>;

/// State of a VM on the platform's list.
struct listed_vm
{
    std::string name;
    bool leaving = false;
    /// End of the notice period by the platform's wall clock; 0 if none is known.
    std::int64_t leaveAtUnixMs = 0;

    bool operator==(const listed_vm &) const = default;
};

/// Deepest chain of calls that is forwarded.
constexpr unsigned callDepthMax = 10;

/// State that a worker reports of itself.
enum class worker_state { ready, cold, draining };

/// A worker's own report of its load, from a response header or the load endpoint.
struct load_report
{
    /// Calls being executed.
    unsigned running = 0;
    /// Calls waiting for a slot.
    unsigned queued = 0;
    /// Calls that the worker executes at once.
    unsigned slots = 0;
    worker_state state = worker_state::ready;
    /// How long work takes on the worker's machine now, in percent of the usual time.
    unsigned slowdownPercent = 100;

    bool operator==(const load_report &) const = default;
};

/// How an attempt at a worker ended.
enum class attempt_end {
    /// A whole response arrived.
    answered,
    /// The connection could not be opened, or the attempt ended before a byte of the call was sent.
    not_sent,
    /// The connection was lost, or the response was cut or not framed, after bytes were sent.
    broken,
    /// The time limit passed after bytes were sent.
    timed_out,
    /// The attempt was cancelled by `cancel_attempt` after bytes were sent.
    cancelled,
};

std::string_view toString(attempt_end end);

/// Problem response in `application/problem+json` (RFC 9457) with the outcome vocabulary.
struct problem
{
    int status = 500;
    /// Short stable word, as in "no-worker-available"; the last part of the `type` URI.
    std::string type;
    std::string title;
    call_outcome outcome = call_outcome::unknown;
    std::string step;
    std::string peer;
    std::string detail;
    std::string requestId;
    /// Value of `Retry-After`; nothing if a retry makes no sense.
    std::optional<duration> retryAfter;
};

/// The response that carries a problem.
shared_response makeProblemResponse(const problem &cause);

} // namespace almondnotch
