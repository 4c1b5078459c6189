#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "decision/routing/items/published.h"
#include "decision/types.h"

namespace almondnotch {

/// State of a gateway process as other gateways see it.
enum class gateway_state { alive, suspect, leaving, gone };

std::string_view toString(gateway_state state);

/// Membership update about one gateway process, sent by that process or by another one. Updates
/// take precedence by higher start number, then higher incarnation, then the `gateway_state` that
/// comes later in the enumeration.
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
    /// Number of calls in progress, by which entry responses balance callers over the gateways.
    std::uint32_t callsInProgress = 0;
    /// Time since any gateway on the path of this update last received a message of the process.
    /// Receivers derive the time of their last indirect contact with the process from it. They do
    /// not add an unknown process if the age exceeds `membership_settings::unknownMemberAgeMax`,
    /// since a gateway that was paused sends stale updates.
    duration lastContactAge {0};
    /// Estimated reading of the process's monotonic clock: the last reading that it reported plus
    /// the time for which gateways have held this reading. Other gateways need it to mint key
    /// ranges for the process. Never ahead of the true reading; 0 if unknown.
    duration clock {0};
    /// CPU capacity available to the VM, in hundredths of a core; 0 if unknown.
    std::uint32_t capacity = 0;
    /// The process has no configuration yet, so no callers are directed to it.
    bool isJoining = false;

    bool operator==(const member_update &) const = default;
};

/// A worker that is known to be draining or, in gateways that read workers as published items, to
/// have been removed.
struct worker_drain
{
    std::string worker;
    /// Time since any gateway first observed the drain.
    duration age {0};

    bool operator==(const worker_drain &) const = default;
};

/// Records that a request crashed a worker.
struct crash_record
{
    /// Digest that identifies the request, see `digestOf`.
    std::uint64_t requestDigest = 0;
    std::string worker;
    /// Time since the connection to the worker broke.
    duration age {0};

    bool operator==(const crash_record &) const = default;
};

/// Records that a process took over the claims of another one that is shutting down.
struct handover_record
{
    process_id from;
    process_id to;
    /// Time since the handover; a record is dropped once every key of `from` has expired.
    duration age {0};

    bool operator==(const handover_record &) const = default;
};

/// Maximum lengths of the lists in a digest. A digest that exceeds one of them is rejected.
constexpr std::size_t digestMembersMax = 16;
constexpr std::size_t digestLeavingVmsMax = 32;
constexpr std::size_t digestUnresponsivePeersMax = 4;
constexpr std::size_t digestRecordsMax = 32;

/// Maximum number of parts that one `config_request` asks for.
constexpr std::size_t configRequestPartsMax = 8;

/// Gossip message of the periodic exchange between two gateways.
struct fleet_digest
{
    member_update self;
    std::uint64_t configVersion = 0;
    std::string manifestSha256;
    /// Time since the sender's own last successful read of the manifest from the platform; 0 while
    /// a watch of it is pending; the maximum value if no read has succeeded.
    duration platformReadAge {duration::max()};
    /// The smallest `platformReadAge` of any gateway that the sender knows of, its own included.
    duration minPlatformReadAge {duration::max()};
    /// If true, the receiver replies with its own digest.
    bool replyRequested = false;
    /// Version of the platform's VM list; 0 if the sender knows none.
    std::uint64_t vmListVersion = 0;
    /// Number of leaving VMs on that list.
    std::uint32_t leavingVmCount = 0;
    /// Leaving VMs of that list, at most `digestLeavingVmsMax` in each digest, selected
    /// round-robin.
    std::vector<listed_vm> leavingVms;
    /// Updates about other processes, at most `digestMembersMax`.
    std::vector<member_update> members;
    /// Processes that do not answer the sender, at most `digestUnresponsivePeersMax`. The receiver
    /// reports when it last had contact with them, or contacts them on behalf of the sender
    /// (indirect probe of SWIM).
    std::vector<process_id> unresponsivePeers;
    /// At most `digestRecordsMax` each of drains, crashes and handovers.
    std::vector<worker_drain> drains;
    std::vector<crash_record> crashes;
    std::vector<handover_record> handovers;

    bool operator==(const fleet_digest &) const = default;
};

/// Requests the manifest of a configuration version. If `partSha256` is not empty, requests these
/// parts instead.
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

/// A call with an idempotency key, forwarded to the process that owns the key.
struct forwarded_call
{
    /// Identifier chosen by the sender. The response returns it.
    std::uint64_t forwardId = 0;
    shared_request request;
    /// Time that the owner has for the call, counted from the sending of the message: the time
    /// until the deadline minus the sender's `call_settings::responseReserve`.
    duration timeLeft {0};
    /// "ip:port" to which the response is sent, since the owner may not know a sender that has just
    /// started. Senders of earlier versions leave it empty.
    std::string replyAddress;
};

struct forwarded_response
{
    std::uint64_t forwardId = 0;
    shared_response response;
};

/// One claim of a claim table, as transferred in a handover.
struct claim_record
{
    std::string key;
    /// Digest of method, target and body. It distinguishes a duplicate call from another request
    /// with the same key.
    std::uint64_t requestDigest = 0;
    call_outcome outcome = call_outcome::unknown;
    /// Null if the outcome is unknown or the response was not stored because of its size.
    shared_response response;
};

/// A numbered part of the claims in a handover. Chunks may arrive in any order and more than once.
struct handover_chunk
{
    /// Process whose key ranges are handed over. Differs from the sender if the sender took these
    /// ranges over from another process.
    process_id from;
    std::uint32_t sequence = 0;
    std::vector<claim_record> claims;
};

/// Sent after all chunks. The receiver becomes the owner of the claims if it has received every
/// chunk.
struct handover_commit
{
    /// Process whose key ranges are handed over. Differs from the sender if the sender took these
    /// ranges over from another process.
    process_id from;
    std::uint32_t chunkCount = 0;
    /// Reading of the monotonic clock of `from` when the commit was sent. The mint times of its key
    /// ranges refer to that clock.
    duration clock {0};
    /// `acceptPeriod` and `replayPeriod` of the `claim_settings` of `from`, which may differ from
    /// the receiver's.
    duration acceptPeriod {0};
    duration replayPeriod {0};
};

struct handover_ack
{
    /// Process whose key ranges are handed over.
    process_id from;
    /// True after the commit took effect.
    bool committed = false;
    /// Sequence numbers of the chunks that the receiver has not received, at most 1,000.
    std::vector<std::uint32_t> missing;
    /// The receiver rejects the handover, since it is draining itself or its table is full.
    bool refused = false;
};

/// Heartbeat of a gateway that reads the platform's store on behalf of others. If no reports
/// arrive, other gateways read the store instead.
struct reader_report
{
    /// True while the store answers the reader.
    bool isConnectedToStore = false;
    /// Revisions of the last change that the reader has received in each scope.
    std::uint64_t configurationRevision = 0;
    std::uint64_t workersRevision = 0;
    /// Era of the store that the revisions belong to, see `item_page::era`.
    std::uint64_t storeEra = 0;

    bool operator==(const reader_report &) const = default;
};

/// Maximum number of items, and of routes in a configuration, in one `items_update`. Larger changes
/// are only advertised by a `reader_report`.
constexpr std::size_t updateItemsMax = 64;
constexpr std::size_t updateRoutesMax = 100;
/// Maximum size of the texts of a configuration in one `items_update`, in bytes. The update is sent
/// to each gateway of the failure domain.
constexpr std::size_t updateConfigBytesMax = 65'536;

/// Changes in one scope of the platform's store, relayed by a reader.
struct items_update
{
    item_scope scope = item_scope::configuration;
    /// The update contains all changes of the scope after this revision, up to and including
    /// `revision`.
    std::uint64_t afterRevision = 0;
    std::uint64_t revision = 0;
    /// At most `updateItemsMax`.
    std::vector<published_item> items;
    /// Era of the store that the revisions belong to, see `item_page::era`.
    std::uint64_t era = 0;
    /// The items are the difference between what the reader knew at `afterRevision` and a list.
    /// They do not tell the removal of an item that was added in between, so they are all changes
    /// only for a gateway that knows none of these.
    bool isListDifference = false;
};

using peer_message
    = std::variant<fleet_digest, config_request, config_data, forwarded_call, forwarded_response,
                   handover_chunk, handover_commit, handover_ack, reader_report, items_update>;

/// Name of the message's type, for logs and counters.
std::string_view messageName(const peer_message &message);

} // namespace almondnotch
