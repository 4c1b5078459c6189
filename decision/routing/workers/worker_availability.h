#pragma once

#include <string_view>

#include "core/time.h"
#include "decision/routing/workers/request_pacer.h"

namespace almondnotch {

/// Why a worker gets no new requests.
enum class unavailability {
    /// It gets new requests.
    none,
    /// Its entry in the store was removed or replaced.
    removed,
    /// The store, another gateway or the worker itself has said that it leaves.
    leaving,
    /// A different worker has answered at its address.
    replaced,
    /// It has asked this gateway to send it nothing for a while.
    paused,
    /// This gateway has used up its share of the request limit that the worker names.
    limit_reached,
    /// The operator has asked to send nothing to the worker's failure domain.
    evacuated,
    /// This gateway has used up its share of what a cold worker may get.
    cold,
};

/// Name of the reason in dumps.
std::string_view toString(unavailability reason);

/// Who wrote an entry that was read from the store.
enum class entry_origin {
    /// The worker, since all that was known of it before.
    worker,
    /// Perhaps the copy from which the store came back, so the entry may be older than what is
    /// known.
    copy,
};

/// Decides whether new requests may be sent to one run of a worker. Everything that forbids them
/// meets here, so every first attempt, retry and hedge asks this object when it is sent.
///
/// What the worker says of itself outlasts the entries that the store still has of it, since these
/// may be older.
class worker_availability
{
public:
    /// An entry of this run was read from the store.
    void entryRead(bool isLeaving, entry_origin origin = entry_origin::worker);
    /// The store came back from a copy. If the worker has left, entries of the copy do not change
    /// this.
    void storeRestored() { m_hasLeftBeforeCopy = isRemoved() || isLeaving(); }
    /// The entry disappeared from the store, or was replaced by that of another run.
    void entryRemoved(instant now) { m_removedAt = now; }
    /// Another gateway has said that the worker is draining or was removed. Applies until the next
    /// entry is read from the store.
    void leaveReportedByPeer()
    {
        m_peerSaysLeaving = true;
        m_hasLeftBeforeCopy = m_hasLeftBeforeCopy || m_isEntryFromCopy;
    }
    /// A response of the worker says that it leaves. Applies until its entry in the store stops
    /// saying so, or the worker starts again.
    void leaveAnnounced() { m_workerSaysLeaving = true; }
    /// A different worker has answered at the address. This one gets no more requests.
    void addressReused() { m_isReplaced = true; }
    /// A response of the worker asks for a pause. The longest pause applies.
    void pauseRequested(instant now, duration length);

    /// The evacuation of the worker's failure domain has begun or ended.
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    /// Limits the requests of this gateway until the worker is warm.
    void limitWhileCold(instant now, instant warmUpEnd, const request_limit_share &share);
    /// A request is sent to the worker.
    void requestSent(instant now);

    /// Keeps this gateway's share of the request limit of the worker.
    request_pacer &pacer() { return m_pacer; }
    const request_pacer &pacer() const { return m_pacer; }

    bool isLeaveReportedByPeer() const { return m_peerSaysLeaving; }
    /// True if the entry of this run may be older than what other gateways know of it.
    bool isEntryFromCopy() const { return m_isEntryFromCopy; }
    bool isRemoved() const { return m_removedAt != instant::never(); }
    /// When the entry disappeared from the store; `never` while it exists.
    instant removedAt() const { return m_removedAt; }
    bool isLeaving() const
    {
        return m_entrySaysLeaving || m_peerSaysLeaving || m_workerSaysLeaving
               || m_hasLeftBeforeCopy;
    }
    bool isPaused(instant now) const { return now < m_pausedUntil; }
    /// End of the pause that the worker has asked for; in the past if there is none.
    instant pausedUntil() const { return m_pausedUntil; }
    bool isEvacuated() const { return m_isEvacuated; }
    /// True while the requests of this gateway are limited because the worker is cold.
    bool isLimitedWhileCold(instant now) const
    {
        return now < m_coldUntil && m_coldPacer.isLimited();
    }
    /// True if this run of the worker takes new requests, apart from its pause, its limit and an
    /// evacuation.
    bool isInUse() const { return !isRemoved() && !isLeaving() && !m_isReplaced; }

    /// \param removalGracePeriod time for which the worker stays usable after its entry was
    /// removed.
    unavailability reason(instant now, duration removalGracePeriod) const;

private:
    instant m_removedAt = instant::never();
    bool m_entrySaysLeaving = false;
    bool m_peerSaysLeaving = false;
    bool m_workerSaysLeaving = false;
    bool m_hasLeftBeforeCopy = false;
    bool m_isEntryFromCopy = false;
    bool m_isReplaced = false;
    instant m_pausedUntil;
    request_pacer m_pacer;
    bool m_isEvacuated = false;
    instant m_coldUntil;
    /// Counts requests also while the worker is warm, since it may become cold again.
    request_pacer m_coldPacer;
};

} // namespace almondnotch
