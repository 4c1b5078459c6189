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

/// Most VMs in the membership table.
constexpr std::size_t membersMax = 4096;

struct membership_settings
{
    duration suspectAfter {seconds(3)};
    duration goneAfter {seconds(10)};
    /// How long the record of a gone process is kept so that old news does not bring it back.
    /// Longer than `unknownMemberAgeMax`, after which nobody takes up an unknown process any more.
    duration goneRetention {seconds(120)};
    /// Unknown processes that were last heard longer ago are not taken up from hearsay.
    duration unknownMemberAgeMax {seconds(60)};
};

/// A process in the table, with the evidence for its state.
struct member_record
{
    member_update update;
    /// Newest direct or indirect contact.
    instant lastContactAt;
    /// When `update.clock` was taken over.
    instant clockUpdatedAt;
    instant stateSince;
    /// When the first message was sent that it has not answered; never if none is outstanding.
    instant unansweredSince = instant::never();
    /// Messages that still carry this record as a recent change.
    unsigned sendsLeft = 0;
    /// Order of changes in this table.
    std::uint64_t changeNumber = 0;
};

/// What a piece of news changed.
enum class merge_outcome {
    unchanged,
    /// A process is new or its state or incarnation changed.
    changed,
    /// Others believe this process suspect or gone; its incarnation was raised.
    refuted,
    /// This process's VM runs a process with a higher start number.
    superseded,
    /// Not taken up: the table is full, or the news is too old.
    refused,
};

/// Gateway processes, one for each VM, with the failure detection of SWIM (Das et al., DSN 2002):
/// random contact, indirect contact through others, suspicion, refutation by incarnation.
///
/// Guarantee: a record is only replaced by one of higher precedence (start number, incarnation,
/// state).
class membership
{
public:
    /// \param self this process; its state must be `alive`.
    membership(membership_settings settings, member_update self, counter_set &counters);

    const member_update &self() const { return m_self; }
    void setCallsInProgress(std::uint32_t calls) { m_self.callsInProgress = calls; }
    bool isSuperseded() const { return m_superseded; }

    /// This process serves callers from now on. Spreads with the next contacts, like the number of
    /// calls in progress, since a change of state in each process at the start would double the
    /// messages of a large fleet.
    void endJoining() { m_self.isJoining = false; }
    /// This process leaves; it does not return to `alive`.
    void beginLeaving();

    /// News of a process through others.
    merge_outcome merge(instant now, const member_update &update);
    /// News of a process from itself, which is also contact.
    merge_outcome mergeDirect(instant now, const member_update &update);

    /// A message that asks for an answer was sent.
    void probeSent(instant now, const std::string &peerAddress);

    /// Declares processes suspect or gone whose time is over. \return the newly gone ones.
    std::vector<process_id> checkTimeouts(instant now);

    /// This process did not run: nobody becomes suspect or gone before the next direct contact.
    void pauseDetected(instant now);
    bool isAwaitingContact() const { return m_awaitingContact; }

    /// Records to tell a peer: at most `most`, the most recent changes first, then at least
    /// `turns` others by turns. Counts against the sends of recent changes.
    std::vector<member_update> gossipUpdates(instant now, std::size_t maxCount,
                                             std::size_t roundRobinCount);

    /// Record as told to others; nothing if the VM is unknown.
    std::optional<member_update> currentUpdate(instant now, const std::string &vm) const;

    const member_record *find(const std::string &vm) const;
    /// VM at that peer address whose process is not known as alive, if there is one.
    std::optional<std::string> findNonAliveVm(const std::string &peerAddress) const;
    const std::map<std::string, member_record> &records() const { return m_records; }

    /// Processes other than this one that may run, suspects and leavers included.
    std::vector<const member_record *> contactableMembers() const;
    /// Up to `digestUnresponsiveMax` processes that have not answered for `patience`.
    std::vector<process_id> unresponsivePeers(instant now, duration probeTimeout,
                                              random_source &random) const;

    /// True if the process certainly ended or was declared gone.
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
    /// VM after which the next turn of `news` starts.
    std::string m_cursor;
    std::uint64_t m_lastChangeNumber = 0;
    bool m_superseded = false;
    bool m_awaitingContact = false;
};

} // namespace almondnotch
