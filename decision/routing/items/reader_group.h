#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/time.h"

namespace almondnotch {

/// A gateway that can be selected as reader of the platform's store for its failure domain.
struct reader_candidate
{
    std::string vm;
    /// CPU capacity available to the VM, in hundredths of a core; 0 if unknown.
    std::uint32_t capacity = 0;

    bool operator==(const reader_candidate &) const = default;
};

/// Exponential backoff of retries: starts at `initialDelay` and doubles with each further failure
/// up to `delayMax`.
struct backoff_settings
{
    duration initialDelay {milliseconds(100)};
    duration delayMax {seconds(1)};

    bool operator==(const backoff_settings &) const = default;
};

struct reader_group_settings
{
    /// Number of gateways in a failure domain that read the store for all of its gateways.
    unsigned readerCount = 2;
    /// Minimum number of gateways in a failure domain for sharing readers. With fewer, each gateway
    /// reads the store itself.
    unsigned gatewaysForSharedReadersMin = 8;
    /// Interval between two reports of a reader.
    duration reportInterval {seconds(1)};
    /// Number of standby readers. They take over before all other gateways start to read the store
    /// themselves.
    unsigned standbyReaderCount = 3;
    /// Time without a report from any higher-ranked reader after which a standby reader takes over.
    duration standbyTimeout {milliseconds(1200)};
    /// Time without a report from any reader after which each gateway reads the store itself.
    duration readerTimeout {milliseconds(1700)};
    /// Backoff of readers, and of all gateways in failure domains that do not share readers.
    backoff_settings readerBackoff {milliseconds(100), seconds(1)};
    /// Backoff of all other gateways, which read only for themselves. It is long because the
    /// readers detect when the store answers again, or, if these are not heard, a check.
    backoff_settings followerBackoff {seconds(4), seconds(4)};
    /// Interval at which a reader checks that the store still answers, and the timeout of a check.
    /// The checks are needed because a watch can hang on a dead connection for a long time.
    duration checkInterval {milliseconds(600)};
    duration checkTimeout {milliseconds(600)};
    /// Interval at which another gateway checks the store while its own reads fail and it hears
    /// from no reader. A check that is lost takes up to 1.5 s longer; together this must be less
    /// than the 3 s after which changes must be in force again.
    duration ownCheckInterval {seconds(1)};
};

/// Decides whether this gateway reads the platform's store itself or receives changes from the
/// readers of its failure domain.
///
/// The readers periodically report to the other gateways of the failure domain that the store
/// answers them, and the revision of the last change. The readers are the candidates with the
/// largest CPU capacity; ties are broken by the highest rendezvous score. The candidates ranked
/// next are standby readers, which take over while no reader ranked above them reports. All
/// gateways that know the same members select the same readers. If their views differ, an
/// additional reader only costs additional requests to the store, and the absence of a reader is
/// detected by its missing reports.
class reader_group
{
public:
    reader_group(reader_group_settings settings, std::string vm, std::string failureDomain)
        : m_settings(settings), m_vm(std::move(vm)), m_failureDomain(std::move(failureDomain))
    { }

    /// \param candidates serving gateways of the failure domain, including this one if it serves.
    void setCandidates(const std::vector<reader_candidate> &candidates);
    /// A reader has reported.
    /// \param isConnected whether the store answers the reader.
    void reportArrived(instant now, const std::string &vm, bool isConnected);
    /// The store answered a read of this gateway.
    void storeAnswered(instant now);
    /// Sets whether the reads of this gateway fail.
    void setReadsFailing(bool areFailing) { m_areReadsFailing = areFailing; }
    /// True if the readers have reported that the store does not answer any of them.
    bool haveLostStore() const { return m_haveReadersLostStore; }
    /// Time since the last report that the store answers a reader. Larger than that after a pause
    /// of the process, or if no reader is connected to the store any more.
    duration lastReportAge(instant now) const { return now - m_lastReportAt; }
    /// Discards all received reports, since they are outdated after a pause of the process.
    void pauseDetected();

    /// True if this gateway has to watch the store, for itself or for others.
    bool mustWatchStore(instant now) const;
    /// True if this gateway reads the store for its failure domain, as a regular reader or as a
    /// standby reader that has taken over.
    bool isReader(instant now) const;
    /// Backoff of this gateway's reads while the store does not answer.
    const backoff_settings &retryBackoff(instant now) const;
    /// True if the store has answered this gateway within `checkInterval` and `checkTimeout`
    /// together.
    bool hasRecentAnswer(instant now) const;

    /// \param areReadsCurrent whether this gateway's own reads succeed and have delivered all
    /// changes.
    /// \return true if this gateway is a reader whose report is due; the report then counts as
    /// sent. A report is due once per `reportInterval` while the reads are current and the store
    /// has answered recently, and immediately when this condition becomes true or false.
    bool takeDueReport(instant now, bool areReadsCurrent);
    /// Makes the next report due immediately. Called when there is a change to advertise.
    void makeReportDue(instant now);
    /// \return true if a check of the store is due; the check then counts as sent. Checks are sent
    /// by readers, and by a gateway that hears from no reader while its reads fail.
    bool takeDueCheck(instant now);
    /// The store is being checked for another reason, so that the next check is due later.
    void checkSent(instant now);

    instant nextWake(instant now) const;
    nlohmann::json dump(instant now) const;

private:
    /// True if the failure domain has enough gateways to share readers.
    bool isShared() const { return m_candidateCount >= m_settings.gatewaysForSharedReadersMin; }
    bool isStandby() const;
    bool mustCheckStore(instant now) const;

    reader_group_settings m_settings;
    /// VM and failure domain of this gateway.
    std::string m_vm;
    std::string m_failureDomain;
    std::size_t m_candidateCount = 0;
    bool m_isCandidate = false;
    /// VMs of the candidates ranked above this one. A standby reader stops reading only when one of
    /// these reports: if two standby readers stopped because of each other's reports, none would be
    /// left.
    std::set<std::string, std::less<>> m_higherRanked;
    /// Readers whose last report said that the store answers them, with the time of that report.
    std::map<std::string, instant> m_connectedReaders;
    /// Time of the last report, of any reader, that the store answers it. Set to at least
    /// `standbyTimeout` ago when the last connected reader loses its connection to the store.
    instant m_lastReportAt;
    /// As `m_lastReportAt`, but for higher-ranked readers only, so that the standby readers take
    /// over immediately when the last of these loses its connection.
    instant m_lastHigherRankedReportAt;
    instant m_nextReportAt;
    instant m_nextCheckAt;
    instant m_storeAnsweredAt;
    bool m_areReadsFailing = false;
    /// The last report was that of a reader that lost the store, and no reader is connected to it.
    bool m_haveReadersLostStore = false;
    /// The last report of this gateway said that the store answers.
    bool m_reportedConnected = false;
};

} // namespace almondnotch
