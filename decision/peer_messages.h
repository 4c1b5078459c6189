#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "decision/routing/published.h"
#include "decision/types.h"

namespace almondnotch {

/// State of a gateway process as other gateways see it.
enum class gateway_state { alive, suspect, leaving, gone };

std::string_view toString(gateway_state state);

/// What one gateway says of one process, itself or another.
/// Precedence: higher start number, then higher incarnation, then the later `gateway_state`.
struct member_update
{
    process_id process;
    std::uint64_t incarnation = 0;
    gateway_state state = gateway_state::alive;
    std::string failureDomain;
    /// "ip:port" for callers.
    std::string entryAddress;
    /// "ip:port" for peers.
    std::string peerAddress;
    /// Calls in progress, for even entry responses.
    std::uint32_t callsInProgress = 0;
    /// Time since the process was last heard, by the sender or by those who told the sender. Lets
    /// receivers discard what a paused process still believes, and counts as indirect contact.
    duration lastContactAge {0};
    /// Reading of the process's clock: what it last told of itself plus `lastContactAge`, so that
    /// others can mint key ranges for it. Never ahead of the true reading; 0 if unknown.
    duration clock {0};
    /// Processor share of the VM, hundredths of a core; 0 if unknown.
    std::uint32_t capacity = 0;
    /// The process has no configuration yet; callers are not sent there.
    bool isJoining = false;

    bool operator==(const member_update &) const = default;
};

/// A worker that is known to leave.
struct worker_drain
{
    std::string worker;
    /// Time since the fact was first observed by any gateway.
    duration age {0};

    bool operator==(const worker_drain &) const = default;
};

/// A request that crashed workers.
struct crash_record
{
    /// Keyed hash of method, target and body, or of the idempotency key.
    std::uint64_t requestDigest = 0;
    std::string worker;
    duration age {0};

    bool operator==(const crash_record &) const = default;
};

/// Ownership of an ended process's claims.
struct handover_record
{
    process_id from;
    process_id to;
    /// Time since the handover; a record is dropped once every key of `from` has expired.
    duration age {0};

    bool operator==(const handover_record &) const = default;
};

/// Bounds of the lists in a digest; a digest that exceeds one is refused.
constexpr std::size_t digestMembersMax = 16;
constexpr std::size_t digestLeavingVmsMax = 32;
constexpr std::size_t digestUnresponsiveMax = 4;
constexpr std::size_t digestRecordsMax = 32;

/// Most parts that one `config_request` names.
constexpr std::size_t configRequestPartsMax = 8;

/// Periodic exchange between two gateways.
struct fleet_digest
{
    member_update self;
    std::uint64_t configVersion = 0;
    std::string manifestSha256;
    /// Time since the sender last read the platform itself; maximum value if never. A watch that
    /// waits counts as reading.
    duration platformReadAge {duration::max()};
    /// The smallest `platformReadAge` of any gateway that the sender knows of, its own included.
    duration minPlatformReadAge {duration::max()};
    /// True asks the receiver to send its own digest back.
    bool replyRequested = false;
    /// Version of the platform's VM list; 0 if the sender knows none.
    std::uint64_t vmListVersion = 0;
    /// Number of leaving VMs on that list.
    std::uint32_t leavingVmCount = 0;
    /// Leaving VMs of that list, at most `digestLeavingVmsMax` by turns.
    std::vector<listed_vm> leavingVms;
    /// At most `digestMembersMax`.
    std::vector<member_update> members;
    /// Processes that do not answer the sender, at most `digestUnresponsiveMax`. The receiver says
    /// when it last heard them, or contacts them on behalf of the sender.
    std::vector<process_id> unresponsivePeers;
    /// At most `digestRecordsMax` each of drains, crashes and handovers.
    std::vector<worker_drain> drains;
    std::vector<crash_record> crashes;
    std::vector<handover_record> handovers;

    bool operator==(const fleet_digest &) const = default;
};

/// Asks for the manifest of a version and, if not empty, parts of it.
struct config_request
{
    std::uint64_t version = 0;
    std::string manifestSha256;
    std::vector<std::string> partSha256;

    bool operator==(const config_request &) const = default;
};

/// One value of a configuration set: a manifest or a part.
struct config_data
{
    /// "manifest" or the part's SHA-256 in hexadecimal.
    std::string key;
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const config_data &) const = default;
};

/// A call with an idempotency key, sent to the process that owns the key.
struct forwarded_call
{
    /// Sender's identifier, returned with the response.
    std::uint64_t forwardId = 0;
    shared_request request;
    /// Time left for the call when it was sent.
    duration timeLeft {0};
    /// "ip:port" for the response, since the owner may not know a sender that has just started.
    /// Empty from senders of an earlier version.
    std::string replyAddress;
};

struct forwarded_response
{
    std::uint64_t forwardId = 0;
    shared_response response;
};

/// One operation of a claim table, as handed over.
struct claim_record
{
    std::string key;
    /// Digest of method, target and body; tells a repeat from another request with the same key.
    std::uint64_t requestDigest = 0;
    call_outcome outcome = call_outcome::unknown;
    /// Null if the response was too large to be kept.
    shared_response response;
};

/// A numbered part of a handover. Chunks may arrive in any order and more than once.
struct handover_chunk
{
    process_id from;
    std::uint32_t sequence = 0;
    std::vector<claim_record> claims;
};

/// All chunks were sent; the receiver owns the sender's claims once it holds every chunk.
struct handover_commit
{
    process_id from;
    std::uint32_t chunkCount = 0;
    /// Reading of the clock of `from` when the commit was sent; key ranges carry times of that
    /// clock.
    duration clock {0};
    /// Lifetimes that `from` applied to its claims, which may differ from the receiver's settings.
    duration acceptPeriod {0};
    duration replayPeriod {0};
};

struct handover_ack
{
    process_id from;
    /// True after the commit took effect.
    bool committed = false;
    /// Sequence numbers that the receiver still lacks, at most 1,000.
    std::vector<std::uint32_t> missing;
    /// The receiver refuses, since it is leaving itself or its table is full.
    bool refused = false;
};

/// Steady report of a gateway that reads the platform's store for others; its absence shows that
/// the reader is gone.
struct reader_report
{
    /// True while the store answers the reader.
    bool isCurrent = false;
    /// Revisions of the last change that the reader knows.
    std::uint64_t configurationRevision = 0;
    std::uint64_t workersRevision = 0;

    bool operator==(const reader_report &) const = default;
};

/// Most items, and most routes of a configuration, that one `items_update` carries. Longer changes
/// are only announced by a report.
constexpr std::size_t updateItemsMax = 64;
constexpr std::size_t updateRoutesMax = 100;

/// Changes of one scope of the platform's store, passed on by a reader.
struct items_update
{
    item_scope scope = item_scope::configuration;
    /// The sender knows of no other change between the two revisions.
    std::uint64_t afterRevision = 0;
    std::uint64_t revision = 0;
    /// At most `updateItemsMax`.
    std::vector<published_item> items;
};

using peer_message
    = std::variant<fleet_digest, config_request, config_data, forwarded_call, forwarded_response,
                   handover_chunk, handover_commit, handover_ack, reader_report, items_update>;

/// Name of the message's type, for logs and counters.
std::string_view messageName(const peer_message &message);

} // namespace almondnotch
