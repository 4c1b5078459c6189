#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/log_line.h"
#include "core/time.h"
#include "decision/peer_messages.h"
#include "decision/routing/published.h"
#include "decision/types.h"

namespace almondnotch {

/// Send a request to a worker. Ends with exactly one `attempt_finished`.
struct start_attempt
{
    attempt_id attempt;
    shared_request request;
    /// "ip:port".
    std::string workerAddress;
    std::string workerName;
    /// After this time the attempt is ended as `timed_out`.
    duration timeLimit {0};
    /// Value for `Almondnotch-Attempt`.
    unsigned attemptNumber = 0;
    /// A second transmission by the transport is allowed only if true.
    bool idempotent = false;
    /// Most connections that this gateway may hold to the worker.
    unsigned connectionLimit = 1;
    /// Use a new connection and close it afterwards: nothing of an earlier exchange can reach the
    /// caller, and no idle connection can be lost under the request.
    bool freshConnection = false;
};

/// End an attempt early; its `attempt_finished` still arrives.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Send the response to the caller. Exactly one for each `call_received`.
struct send_response
{
    call_id call;
    shared_response response;
    /// The process is leaving: the connection is closed after the response.
    bool closeConnection = false;
};

/// Read a worker's load endpoint. Ends with exactly one `probe_finished`.
struct start_probe
{
    probe_id probe;
    std::string workerAddress;
    duration timeLimit {0};
    /// Worker that is expected at the address; empty if any will do.
    std::string workerName {};
    /// Path of the health check; empty for the load endpoint of the product's own workers.
    std::string target {};
};

/// Response to an `entry_query`.
struct send_entry_response
{
    query_id query;
    /// Empty if the service is unknown.
    std::vector<std::string> addresses;
    /// For how long the caller may use the addresses.
    duration ttl {0};
    /// Token for idempotency keys.
    std::string keyRange;
    /// Why there are no addresses; empty otherwise.
    std::string refusalReason;
};

/// Send a message to another gateway, at most once.
struct send_peer_message
{
    std::string peerAddress;
    std::uint64_t messageId = 0;
    peer_message message;
};

/// What to read from the platform.
enum class platform_key { manifest, part, vm_list };

/// Read or watch one value. Ends with exactly one `platform_read_finished`.
struct read_platform
{
    read_id read;
    platform_key key = platform_key::manifest;
    /// SHA-256 of the part, if `key` is `part`.
    std::string partSha256;
    /// A watch waits for a version greater than this; 0 reads at once.
    std::uint64_t afterVersion = 0;
    /// How long a watch waits; 0 reads at once.
    duration wait {0};
};

/// Read or watch published items. Ends with exactly one `items_read`.
struct read_items
{
    read_id read;
    item_scope scope = item_scope::configuration;
    /// A list continues after this key; empty for its first page.
    std::string afterKey;
    /// A watch reports changes after this revision; 0 for a list.
    std::uint64_t afterRevision = 0;
    /// How long a watch waits.
    duration wait {0};
    /// The list may be some seconds old, which the store answers at a lower price.
    bool allowStale = false;
    /// Only the revision is wanted, to see whether the store answers: the page has no items.
    bool revisionOnly = false;
};

/// Write a log record.
struct write_log
{
    log_level level = log_level::info;
    std::string prefix;
    std::string message;
    std::vector<header_field> fields;
};

/// All work is done, or the deadline has come: end the process.
struct exit_process
{
    std::string reason;
};

using action
    = std::variant<start_attempt, cancel_attempt, send_response, start_probe, send_entry_response,
                   send_peer_message, read_platform, read_items, write_log, exit_process>;

using action_list = std::vector<action>;

} // namespace almondnotch
