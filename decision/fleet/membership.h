#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/peer_messages.h"

namespace almondnotch {

/// Maximum number of VMs in the membership table.
constexpr std::size_t membersMax = 4096;

struct membership_settings
{
    duration suspectAfter {seconds(3)};
    duration goneAfter {seconds(10)};
    /// How long the record of a gone process is retained, so that outdated updates do not add the
    /// process again. Must exceed `unknownMemberAgeMax`, after which no gateway adds an unknown
    /// process any more.
    duration goneRetention {seconds(120)};
    /// An update that another process relays adds an unknown process only if the last contact with
    /// the unknown process is at most this long ago.
    duration unknownMemberAgeMax {seconds(60)};
};

/// Table entry of a process, with the times from which its state is derived.
struct member_record
{
    member_update update;
    /// Time of the latest direct or indirect contact.
    instant lastContactAt;
    /// Time at which `update.clock` was received.
    instant clockUpdatedAt;
    instant stateSince;
    /// Time at which the oldest unanswered message was sent, or its delivery failed;
    /// `instant::never()` if none is outstanding.
    instant unansweredSince = instant::never();
    /// Number of digests that will still include this record as a recent change.
    unsigned sendsLeft = 0;
    /// Sequence number of the last change of this record within the table.
    std::uint64_t changeNumber = 0;
};

/// Effect of merging an update.
enum class merge_outcome {
    unchanged,
    /// A process was added or replaced by a newer one on its VM, or its state or incarnation
    /// changed.
    changed,
    /// The update about this process takes precedence over its own record, for example because it
    /// declares the process suspect. This process raised its incarnation above that of the update
    /// to refute it.
    refuted,
    /// This process's VM runs a process with a higher start number.
    superseded,
    /// An unknown process was not added: the table is full, the last contact with the process is
    /// too long ago, or the update declares it gone.
    rejected,
};

/// Table of the gateway processes, one for each VM, with the failure detection of SWIM (Das et al.,
/// DSN 2002): contact with random processes, indirect contact through other processes, suspicion,
/// and refutation by a higher incarnation.
///
/// Guarantee: a record is replaced only by one of higher precedence (start number, then
/// incarnation, then state).
class membership
{
public:
    /// \param self this process; its state must be `alive`.
    membership(membership_settings settings, member_update self, counter_set &counters);

    const member_update &self() const { return m_self; }
    void setCallsInProgress(std::uint32_t calls) { m_self.callsInProgress = calls; }
    /// True if a process with a higher start number runs on this process's VM.
    bool isSuperseded() const { return m_superseded; }

    /// Marks this process as ready to serve callers. Peers learn this from the next digests, like
    /// the number of calls in progress. It does not count as a change of the record, since one such
    /// change by each process would double the number of messages when a large fleet starts.
    void markReady() { m_self.isJoining = false; }
    /// Changes this process's state to `leaving`; it does not return to `alive`.
    void beginLeaving();

    /// Merges an update that was relayed by a process other than the one it describes.
    merge_outcome merge(instant now, const member_update &update);
    /// Merges an update that a process sent about itself, which counts as direct contact.
    merge_outcome mergeDirect(instant now, const member_update &update);

    /// Records that a message to this address requests a reply, or could not be delivered: the
    /// processes at the address count as unanswered from `now` on, unless they already do.
    void markUnanswered(instant now, const std::string &peerAddress);

    /// Declares processes suspect or gone whose timeout has expired, and removes gone ones after
    /// `goneRetention`. \return the processes that were newly declared gone.
    std::vector<process_id> checkTimeouts(instant now);

    /// Records that this process was suspended: no process is declared suspect or gone before the
    /// next direct contact.
    void pauseDetected(instant now);
    /// True from `pauseDetected()` until another process has contacted this one directly.
    bool isAwaitingContact() const { return m_awaitingContact; }

    /// Selects the records for a digest: at most `maxCount`, first those with the most recent
    /// changes, then those of the next `roundRobinCount` records in round-robin order that are not
    /// selected yet. Decrements `sendsLeft` of the selected recent changes.
    std::vector<member_update> takeGossipUpdates(instant now, std::size_t maxCount,
                                                 std::size_t roundRobinCount);

    /// Update about the process on a VM as it is sent to peers, with the contact age and the clock
    /// advanced to `now`; nothing if the VM is unknown.
    std::optional<member_update> currentUpdate(instant now, const std::string &vm) const;

    const member_record *find(const std::string &vm) const;
    /// VM at this peer address whose process is not in the state `alive`, if there is one.
    std::optional<std::string> findNonAliveVm(const std::string &peerAddress) const;
    const std::map<std::string, member_record> &records() const { return m_records; }

    /// Other processes that may still run, including suspect and leaving ones.
    std::vector<const member_record *> contactableMembers() const;
    /// Up to `digestUnresponsivePeersMax` randomly chosen processes that have not answered for more
    /// than `probeTimeout`.
    std::vector<process_id> unresponsivePeers(instant now, duration probeTimeout,
                                              random_source &random) const;

    /// True if the process has certainly ended or was declared gone.
    bool isGone(const process_id &process) const;

    nlohmann::json dump(instant now) const;

private:
    merge_outcome mergeSelf(const member_update &update);
    bool evictOldestGone();
    void recordChange(instant now, member_record &record, bool stateChanged);
    void recordContact(member_record &record, instant lastContactAt);

    membership_settings m_settings;
    member_update m_self;
    counter_set &m_counters;
    std::map<std::string, member_record> m_records;
    /// VM after which the next round-robin selection of `takeGossipUpdates()` starts.
    std::string m_cursor;
    std::uint64_t m_lastChangeNumber = 0;
    bool m_superseded = false;
    bool m_awaitingContact = false;
};

} // namespace almondnotch
