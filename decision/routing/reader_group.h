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

/// A gateway that may read the platform's store for its failure domain.
struct reader_candidate
{
    std::string vm;
    /// Processor share of the VM, hundredths of a core; 0 if unknown.
    std::uint32_t capacity = 0;

    bool operator==(const reader_candidate &) const = default;
};

/// Time between two tries of what fails: `first`, doubled with each further failure up to
/// `longest`.
struct backoff_settings
{
    duration initialDelay {milliseconds(100)};
    duration delayMax {seconds(1)};

    bool operator==(const backoff_settings &) const = default;
};

struct reader_group_settings
{
    /// Gateways that read for a failure domain.
    unsigned readers = 2;
    /// Gateways of a failure domain below which each reads for itself.
    unsigned sharingGatewaysMin = 8;
    /// Time between two reports of a reader.
    duration reportInterval {seconds(1)};
    /// Further gateways that step in as readers before all others read for themselves.
    unsigned standbyReaders = 3;
    /// Silence of all readers after which the substitutes step in.
    duration standbyTimeout {milliseconds(1200)};
    /// Silence of all readers after which each gateway reads for itself.
    duration readerTimeout {milliseconds(1700)};
    /// Tries of a gateway on which others depend, and in small failure domains.
    backoff_settings readerBackoff {milliseconds(100), seconds(1)};
    /// Tries of a gateway that reads for itself alone: the readers notice the return of the store.
    backoff_settings followerBackoff {seconds(4), seconds(4)};
    /// Time between two checks whether the store still answers a reader, whose watch may wait long
    /// on a dead connection, and how long an answer may take.
    duration checkInterval {milliseconds(600)};
    duration checkTimeout {milliseconds(600)};
};

/// Decides whether this gateway reads the platform's store itself, or follows those gateways of
/// its failure domain that read it for all.
///
/// The readers are the candidates with the largest processor share, among equals those with the
/// highest rendezvous score; the next few step in while no reader is heard. All candidates choose
/// alike as far as they know the same members; where they do not, a reader too many costs calls,
/// and one too few shows as silence.
class reader_group
{
public:
    reader_group(reader_group_settings settings, std::string vm, std::string failureDomain)
        : m_settings(settings), m_vm(std::move(vm)), m_failureDomain(std::move(failureDomain))
    { }

    /// \param candidates gateways of the failure domain that serve, this one included if it does.
    void setCandidates(const std::vector<reader_candidate> &candidates);
    /// A reader reported; one that has lost the store says so.
    void reportArrived(instant now, const std::string &vm, bool isCurrent);
    /// The store answered a read of this gateway.
    void storeAnswered(instant now);
    /// All that was heard is old, as after a pause of the process.
    void pauseDetected();

    /// This gateway watches the store, for itself or for others.
    bool mustRead(instant now) const;
    /// This gateway reads for its failure domain.
    bool isReader(instant now) const;
    /// Time between two tries of a read while the store does not answer.
    const backoff_settings &retryBackoff(instant now) const;
    /// The store answers this gateway.
    bool isCurrent(instant now) const;

    /// \param reads whether the gateway's own reads work and are complete. \return true if a report
    /// is due, which is then taken as sent.
    bool consumeDueReport(instant now, bool areReadsCurrent);
    /// The next report is due at once, since there is something to announce.
    void makeReportDue(instant now);
    /// \return true if a check is due, which is then taken as sent.
    bool consumeDueCheck(instant now);

    instant nextWake(instant now) const;
    nlohmann::json dump(instant now) const;

private:
    bool isShared() const { return m_candidateCount >= m_settings.sharingGatewaysMin; }
    bool isStandby() const;

    reader_group_settings m_settings;
    /// This gateway's VM and its failure domain.
    std::string m_vm;
    std::string m_failureDomain;
    std::size_t m_candidateCount = 0;
    bool m_isCandidate = false;
    /// Gateways that come before this one; as a substitute it gives way to their reports only,
    /// since substitutes that gave way to each other would all stop.
    std::set<std::string, std::less<>> m_higherRanked;
    /// When each reader last reported that the store answers it.
    std::map<std::string, instant> m_currentReaders;
    /// When a reader last did, and one that comes before this gateway; earlier if the last of them
    /// has lost the store since.
    instant m_lastReportAt;
    instant m_lastHigherRankedReportAt;
    instant m_nextReportAt;
    instant m_nextCheckAt;
    instant m_storeAnsweredAt;
    bool m_reportedIsCurrent = false;
};

} // namespace almondnotch
