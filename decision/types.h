#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace almondnotch {

/// Identifies one run of a gateway process. A replaced or restarted VM gets a higher start number,
/// so the same VM name with another start number identifies another process.
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

/// Index of a worker in `balancer` or `worker_pool`; stable while the worker is in the table.
/// `worker_pool` reuses the indexes of dropped workers.
enum class worker_index : std::uint32_t {};

/// One HTTP header field. Also used for the fields of log records, see `write_log`.
struct header_field
{
    std::string name;
    std::string value;

    bool operator==(const header_field &) const = default;
};

/// Whether a call was executed, as far as it is known.
enum class call_outcome {
    /// A worker executed the call, and its complete response was received.
    run,
    /// The call was definitely not executed.
    not_run,
    /// The call may or may not have been executed.
    unknown,
};

/// "run", "not-run" or "unknown", as in the `Almondnotch-Outcome` header.
std::string_view toString(call_outcome outcome);

/// A complete request of a caller that is within the size limits. Immutable once shared.
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
    /// Timeout that the caller set for the call; empty if it set none.
    std::optional<duration> timeout;
    /// Number of hops of the call before this one, 0 to `callDepthMax`.
    unsigned depth = 0;
    /// Number of retries of the call that earlier hops made; 0 for its first attempt.
    unsigned priorRetries = 0;
    /// Identifies the call in the logs of all hops.
    std::string requestId;
    /// Requested host without the port; empty if routes do not depend on the host.
    std::string host;

    bool operator==(const call_request &) const = default;
};

/// A complete response. Immutable once shared.
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

/// Entry of the platform's VM list.
struct listed_vm
{
    std::string name;
    bool leaving = false;
    /// End of the notice period that the platform gives before it removes the VM, by the platform's
    /// wall clock in milliseconds since 1970; 0 if unknown.
    std::int64_t leaveAtUnixMs = 0;

    bool operator==(const listed_vm &) const = default;
};

/// Maximum number of hops in a chain of calls. A call that has made this many hops is rejected.
constexpr unsigned callDepthMax = 10;

/// State that a worker reports about itself. A `cold` worker is not warmed up yet, and
/// `balancer` gives it only a reduced share of the calls.
enum class worker_state { ready, cold, draining };

/// A worker's own report of its load, from a response header or the load endpoint.
struct load_report
{
    /// Calls being executed.
    unsigned running = 0;
    /// Calls waiting for a slot.
    unsigned queued = 0;
    /// Maximum number of calls that the worker executes concurrently.
    unsigned slots = 0;
    worker_state state = worker_state::ready;
    /// Current execution time of a fixed unit of work on the worker's machine, in percent of its
    /// usual execution time; 200 means twice as slow.
    unsigned slowdownPercent = 100;

    bool operator==(const load_report &) const = default;
};

/// How an attempt at a worker ended.
enum class attempt_end {
    /// A complete response was received.
    answered,
    /// The connection could not be opened, or the attempt ended before a byte of the call was sent.
    not_sent,
    /// After bytes of the call were sent, the connection was lost, or the response was truncated,
    /// had no valid framing or did not belong to the attempt.
    broken,
    /// The time limit passed after bytes of the call were sent.
    timed_out,
    /// The attempt was cancelled by `cancel_attempt` after bytes of the call were sent.
    cancelled,
};

std::string_view toString(attempt_end end);

/// Content of a problem response in `application/problem+json` (RFC 9457), extended by the outcome
/// of the call.
struct problem
{
    int status = 500;
    /// Stable identifier such as "no-worker-available"; the last part of the `type` URI.
    std::string type;
    std::string title;
    call_outcome outcome = call_outcome::unknown;
    /// Step of the processing that failed, such as "connect".
    std::string step;
    /// Worker, worker group or gateway process that the problem concerns; may be empty.
    std::string peer;
    std::string detail;
    std::string requestId;
    /// Value of the `Retry-After` header; empty if a retry would be useless or could execute the
    /// call twice.
    std::optional<duration> retryAfter;
};

/// Builds the response that reports a problem.
shared_response makeProblemResponse(const problem &cause);

} // namespace almondnotch
