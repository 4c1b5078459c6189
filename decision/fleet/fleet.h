#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/model.h"
#include "config/parser.h"
#include "core/counters.h"
#include "core/error.h"
#include "core/invariants.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/events.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Settings of the gossip exchange between gateways and of the reads of the platform.
struct fleet_settings
{
    process_id self;
    std::string failureDomain;
    /// "ip:port" at which this gateway accepts calls of callers.
    std::string entryAddress;
    /// "ip:port" at which this gateway accepts messages of peers.
    std::string peerAddress;
    /// Addresses of peers to contact in addition to the gateways that the configuration lists. A
    /// process without a configuration knows only these.
    std::vector<std::string> seedPeers;
    /// Number of random peers contacted in each exchange round.
    unsigned fanout = 2;
    /// Nominal interval between exchange rounds.
    duration exchangeInterval {milliseconds(500)};
    /// How long a new process waits for a peer to report its configuration version before it uses
    /// the platform's configuration without this confirmation.
    duration startupPeerTimeout {seconds(2)};
    /// Number of designated readers of the platform in each failure domain.
    unsigned readersPerDomain = 2;
    /// Time without a successful read of the platform by any gateway after which other gateways
    /// take over as backup readers.
    duration readerFailoverTimeout {seconds(3)};
    /// Maximum duration of a watch (long poll) of the platform.
    duration watchTimeout {seconds(10)};
    /// Time without direct or indirect contact, and with an unanswered message, after which a
    /// process is declared suspect.
    duration suspectAfter {seconds(3)};
    /// Time in the suspect state after which a process is declared gone. A leaving process is
    /// declared gone after this time without contact and with an unanswered message.
    duration goneAfter {seconds(10)};
    /// Limit of calls per second to the platform, summed over all gateways.
    double platformCallsPerSecond = 2000;
    /// Number of gateways among which `platformCallsPerSecond` is divided until a configuration
    /// gives the maximum number of gateways.
    unsigned assumedGatewayCount = 256;

    bool operator==(const fleet_settings &) const = default;
};

/// Changes that the owner of the `fleet` has to apply to other components after an event was
/// handled.
struct fleet_changes
{
    bool configChanged = false;
    /// All VMs that the platform's VM list reports as leaving; nothing if they did not change. This
    /// process's own VM is excluded if its entry refers to an earlier VM of the same name.
    std::optional<std::vector<listed_vm>> leavingVmList;
    /// Drains, crash records and handovers that a peer reported.
    std::vector<worker_drain> drains;
    std::vector<crash_record> crashes;
    std::vector<handover_record> handovers;
};

/// State of other components of this process that is sent to peers in digests.
struct local_state
{
    std::uint32_t callsInProgress = 0;
    std::vector<worker_drain> drains;
    std::vector<crash_record> crashes;
    std::vector<handover_record> handovers;
};

/// Coordinates this gateway with the others: distributes the configuration, tracks membership,
/// determines whether this gateway reads the platform, and selects the addresses of entry
/// responses. Owns the configuration store and the membership table.
class fleet
{
public:
    /// \param random, invariants, counters must outlive the fleet.
    static std::unique_ptr<fleet> create(fleet_settings settings, random_source &random,
                                         invariant_set &invariants, counter_set &counters);
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;
    ~fleet();

    /// Issues the first reads of the platform and sends the first digests.
    void start(instant now, action_list &actions);

    /// Runs the work that is due; to be called at `nextWake()`.
    fleet_changes timerExpired(instant now, action_list &actions);
    fleet_changes platformReadFinished(instant now, const platform_value_read_finished &input,
                                       action_list &actions);

    /// Handles `fleet_digest`, `config_request` and `config_data`; ignores other messages.
    fleet_changes peerMessage(instant now, const process_id &from, const peer_message &message,
                              action_list &actions);
    /// Records that a message to the peer could not be delivered.
    void peerSendFailed(instant now, const std::string &peerAddress);

    /// Records that this process was suspended for a while, and contacts peers immediately. Until a
    /// peer contacts it, this process declares no other process suspect or gone, and its entry
    /// responses contain only its own address, unless it is leaving or superseded itself.
    void pauseDetected(instant now, action_list &actions);

    /// Announces the graceful shutdown of this process to its peers. From then on, entry responses
    /// no longer contain its address.
    void beginLeaving(instant now, action_list &actions);

    /// Sets the state that the next digests contain. The ages of its records are relative to the
    /// time of the last handled event.
    void setLocalState(local_state localState);

    /// Active configuration; null until one has been activated.
    const shared_config &config() const;

    /// Addresses of the gateways to which callers can send their calls to a service, the preferred
    /// one first, at most three; empty if the service is unknown or there is no configuration.
    /// Gateways known to be leaving are never included.
    std::vector<std::string> entryAddresses(instant now, std::string_view service);

    /// Peer address of a process; nothing if the process is unknown or was declared gone.
    std::optional<std::string> peerAddress(const process_id &process) const;

    /// True if a process with a higher start number is known on its VM, so that the process has
    /// certainly ended, or if the process was declared gone.
    bool isGone(const process_id &process) const;

    /// Other processes that are alive, not joining and not leaving, sorted by the configured
    /// latency between failure domains; those of this failure domain come first.
    std::vector<member_update> livePeers() const;

    /// Time at which `timerExpired()` has work to do.
    instant nextWake() const;

    /// Diagnostic state: membership, configuration versions, pending parts, rejected sets and
    /// reader role.
    nlohmann::json dump(instant now) const;

private:
    struct state;
    explicit fleet(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
