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

/// Settings of the exchange between gateways.
struct fleet_settings
{
    process_id self;
    std::string failureDomain;
    std::string entryAddress;
    std::string peerAddress;
    /// Peer addresses to ask when no configuration is known yet.
    std::vector<std::string> seedPeers;
    /// Peers that each round of the exchange reaches.
    unsigned fanout = 2;
    duration exchangeInterval {milliseconds(500)};
    /// How long a new process waits for peers before it serves the platform's configuration.
    duration startupPeerTimeout {seconds(2)};
    /// Gateways in a failure domain that read the platform.
    unsigned readers = 2;
    /// Silence of all readers after which others step in.
    duration readerFailoverTimeout {seconds(3)};
    /// Longest watch of the platform.
    duration watch {seconds(10)};
    /// Time without direct or indirect contact after which a process is a suspect.
    duration suspectAfter {seconds(3)};
    /// Time as a suspect after which a process counts as gone.
    duration goneAfter {seconds(10)};
    /// Calls a second to the platform over all readers.
    double platformCallsPerSecond = 2000;
    /// Gateways assumed for the share of these calls before a configuration is known.
    unsigned gatewaysAssumed = 256;

    bool operator==(const fleet_settings &) const = default;
};

/// What other parts must learn after the fleet handled an input.
struct fleet_changes
{
    bool configChanged = false;
    /// The leaving VMs of the platform's list, if they changed; a VM that is not in it does not
    /// leave. This process's own VM is left out if the entry is about an earlier VM of that name.
    std::optional<std::vector<listed_vm>> leavingVmList;
    std::vector<worker_drain> drains;
    std::vector<crash_record> crashes;
    std::vector<handover_record> handovers;
};

/// Facts of other parts that the exchange carries.
struct local_state
{
    std::uint32_t callsInProgress = 0;
    std::vector<worker_drain> drains;
    std::vector<crash_record> crashes;
    std::vector<handover_record> handovers;
};

/// How the gateways act together: configuration, membership, readers and entry responses.
/// Owns the configuration store and the membership table.
class fleet
{
public:
    /// \param random, invariants, counters outlive the fleet.
    static std::unique_ptr<fleet> create(fleet_settings settings, random_source &random,
                                         invariant_set &invariants, counter_set &counters);
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;
    ~fleet();

    /// First reads and exchanges.
    void start(instant now, action_list &actions);

    /// Runs what is due.
    fleet_changes timerExpired(instant now, action_list &actions);
    fleet_changes platformReadFinished(instant now, const platform_read_finished &input,
                                       action_list &actions);

    /// Handles `fleet_digest`, `config_request` and `config_data`; others are ignored.
    fleet_changes peerMessage(instant now, const process_id &from, const peer_message &message,
                              action_list &actions);
    void peerSendFailed(instant now, const std::string &peerAddress);

    /// The process did not run for a while: membership is old until peers confirm it.
    void pauseDetected(instant now, action_list &actions);

    /// Announces that this process leaves. From then on no entry response names it.
    void beginLeaving(instant now, action_list &actions);

    /// Facts for the next exchange. Their ages count from the input handled last.
    void setLocalState(local_state localState);

    /// Configuration in force; null until one was accepted.
    const shared_config &config() const;

    /// Addresses for callers of a service, best first, at most three. Never one known to leave.
    std::vector<std::string> entryAddresses(instant now, std::string_view service);

    /// Peer address of a running process; nothing if it is gone or was never seen.
    std::optional<std::string> peerAddress(const process_id &process) const;

    /// True if the process is certainly over: another start number of its VM was seen, or it was
    /// declared gone.
    bool isGone(const process_id &process) const;

    /// Live processes other than this one that do not leave, near ones first.
    std::vector<member_update> livePeers() const;

    instant nextWake() const;

    /// Membership, configuration versions, pending parts, refusals, reader role.
    nlohmann::json dump(instant now) const;

private:
    struct state;
    explicit fleet(std::unique_ptr<state> data);

    std::unique_ptr<state> m_state;
};

} // namespace almondnotch
