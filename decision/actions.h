#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/log_line.h"
#include "core/time.h"
#include "decision/peer_messages.h"
#include "decision/routing/items/published.h"
#include "decision/types.h"

namespace almondnotch {

/// Sends a request to a worker. The driver reports its end with exactly one `attempt_finished`.
struct start_attempt
{
    attempt_id attempt;
    shared_request request;
    /// "ip:port".
    std::string workerAddress;
    std::string workerName;
    /// Maximum duration of the attempt, after which it ends as `timed_out`, or as `not_sent` if no
    /// byte of the request was sent.
    duration timeLimit {0};
    /// Value of the `Almondnotch-Attempt` request header.
    unsigned attemptNumber = 0;
    /// The transport may retransmit the request only if this is true.
    bool idempotent = false;
    /// Maximum number of connections that this gateway may have to the worker.
    unsigned connectionLimit = 1;
    /// Sends the request on a new connection and closes it afterwards, so that no data of an
    /// earlier exchange can reach the caller and the request cannot fail because the worker closes
    /// an idle connection.
    bool freshConnection = false;
};

/// Cancels an attempt. Its `attempt_finished` still arrives.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Ends an attempt as `not_sent` if no byte of its request has been sent yet, for example because
/// it waits for a connection. Otherwise the attempt continues.
struct withdraw_attempt
{
    attempt_id attempt;
};

/// Sends the response to a caller: exactly one for each `call_received`, unless the caller has
/// disconnected.
struct send_response
{
    call_id call;
    shared_response response;
    /// True while the process is draining: the connection is closed after the response.
    bool closeConnection = false;
};

/// Reads a worker's load endpoint or health check. The driver reports its end with exactly one
/// `probe_finished`.
struct start_probe
{
    probe_id probe;
    std::string workerAddress;
    duration timeLimit {0};
    /// Name of the worker expected at the address; empty if any worker is accepted.
    std::string workerName {};
    /// Path of the health check; empty to read Almondnotch's own load endpoint,
    /// `/almondnotch/load`.
    std::string target {};
};

/// Response to an `entry_query`.
struct send_entry_response
{
    query_id query;
    /// Empty if the service is unknown, no configuration is active or no gateway is available; see
    /// `refusalReason`.
    std::vector<std::string> addresses;
    /// Time for which the caller may cache the addresses.
    duration ttl {0};
    /// Key range token from which the caller builds its idempotency keys.
    std::string keyRange;
    /// Reason why there are no addresses; empty if there are any.
    std::string refusalReason;
};

/// Sends a message to another gateway at most once: a failed transmission is not repeated.
struct send_peer_message
{
    std::string peerAddress;
    /// Identifier that `peer_send_failed` returns if sending fails; 0 if the component that sends
    /// the message does not need it.
    std::uint64_t messageId = 0;
    peer_message message;
};

/// Values that can be read from the platform.
enum class platform_key { manifest, part, vm_list };

/// Reads or watches one value. The driver reports the end with exactly one
/// `platform_value_read_finished`.
struct read_platform_value
{
    read_id read;
    platform_key key = platform_key::manifest;
    /// SHA-256 of the part, if `key` is `part`.
    std::string partSha256;
    /// A watch ends when the version of the value is higher than this; 0 for an immediate read.
    std::uint64_t afterVersion = 0;
    /// Maximum time that a watch waits for a change; 0 for an immediate read.
    duration wait {0};
};

/// Reads or watches published items. The driver reports the end with exactly one
/// `items_read_finished`.
struct read_items
{
    read_id read;
    item_scope scope = item_scope::configuration;
    /// Last key of the previous page of a list; empty for the first page.
    std::string afterKey;
    /// Revision after which a watch reports changes; 0 for a list.
    std::uint64_t afterRevision = 0;
    /// Maximum time that a watch waits for a change.
    duration wait {0};
    /// The response may be a few seconds stale; a stale read is cheaper for the store.
    bool allowStale = false;
    /// Requests only the current revision, to check that the store answers. The page has no items.
    bool revisionOnly = false;
    /// The connections that are open now may be dead: this read and later ones must not reuse them.
    bool needsNewConnection = false;
};

/// Writes a log record.
struct write_log
{
    log_level level = log_level::info;
    std::string prefix;
    std::string message;
    /// Names and values that are logged with the message.
    std::vector<header_field> fields;
};

/// Ends the process, because its drain is complete or the time for the drain has run out.
struct exit_process
{
    std::string reason;
};

using action = std::variant<start_attempt, cancel_attempt, withdraw_attempt, send_response,
                            start_probe, send_entry_response, send_peer_message,
                            read_platform_value, read_items, write_log, exit_process>;

using action_list = std::vector<action>;

} // namespace almondnotch
