#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "core/counters.h"
#include "core/invariants.h"
#include "core/random_source.h"
#include "core/time.h"
#include "decision/actions.h"
#include "decision/events.h"
#include "decision/fleet/platform_rate_limiter.h"

namespace almondnotch {

/// Maximum number of concurrent part reads.
constexpr std::size_t partReadsMax = 8;

/// Result of a finished read of the platform.
struct platform_read_result
{
    platform_key key = platform_key::manifest;
    /// SHA-256 of the part, if `key` is `part`.
    std::string partSha256;
    /// The value that was read. Empty only in a default-constructed result; `readFinished()` always
    /// sets it.
    std::optional<platform_value> value;
};

/// Schedules this process's reads and watches (long polls) of the platform: within the rate limit,
/// with backoff after failures, and with at most one read of the manifest and one of the VM list in
/// flight.
class platform_reader
{
public:
    /// \param watchTimeout maximum duration of a watch.
    /// \param rate calls per second that this process may make.
    platform_reader(duration watchTimeout, double rate, random_source &random,
                    invariant_set &invariants, counter_set &counters);

    void setRate(instant now, double callsPerSecond) { m_rateLimiter.setRate(now, callsPerSecond); }

    /// Sets whether the manifest and the VM list are watched continuously.
    void setWatching(bool watching) { m_watching = watching; }
    bool isWatching() const { return m_watching; }

    /// Requests one read of the manifest and one of the VM list; failed reads are retried until
    /// they succeed or are cancelled.
    void requestRead();
    void cancelRequestedRead();

    /// Resets the known version of the manifest, so that the next read returns its value again.
    /// Used if the set of the last manifest could not be assembled.
    void resetManifestVersion();

    /// Replaces the set of parts to read.
    void setWantedParts(const std::set<std::string> &hashes);
    /// True if at least two reads of the same wanted part failed or returned a text that does not
    /// match the part's hash.
    bool isAnyPartFailing() const;

    /// Issues the reads that are due.
    void issueDueReads(instant now, action_list &actions);

    /// Handles a finished read. \return nothing if the read failed or is unknown, if the value does
    /// not exist or did not change, or if the part is no longer wanted.
    std::optional<platform_read_result> readFinished(instant now,
                                                     const platform_value_read_finished &input);

    /// Time since the last successful read of the manifest; 0 while a watch of it is in flight,
    /// unless the watch is overdue or the read before it failed; `duration::max()` if no read has
    /// succeeded.
    duration readAge(instant now) const;

    /// Time at which `issueDueReads()` has work to do; `instant::never()` if there is none.
    instant nextWake(instant now) const;

    nlohmann::json dump(instant now) const;

private:
    /// Polling state of the manifest or of the VM list.
    struct poll_state
    {
        platform_key key = platform_key::manifest;
        std::optional<read_id> inFlight;
        bool isWatch = false;
        bool isReadRequested = false;
        /// The next watch waits for a version above this one. 0 if the next read must return the
        /// value regardless of its version: before the first read, after a read without a
        /// change and after `resetManifestVersion()`.
        std::uint64_t knownVersion = 0;
        instant nextReadAt;
        unsigned failures = 0;
        std::optional<instant> succeededAt;
        instant issuedAt;
    };

    /// State of the reads of a wanted part.
    struct wanted_part
    {
        std::optional<read_id> inFlight;
        instant nextReadAt;
        unsigned failures = 0;
    };

    /// True if the value is to be read and no read of it is in flight.
    bool needsRead(const poll_state &poll) const;
    /// Issues a read if the rate limit permits. \return false if it does not.
    bool issue(instant now, platform_key key, const std::string &partSha256,
               std::uint64_t afterVersion, duration wait, std::optional<read_id> &inFlight,
               action_list &actions);
    duration backoff(unsigned failures);
    std::optional<platform_read_result> pollFinished(instant now, poll_state &poll,
                                                     const platform_value_read_finished &input);

    duration m_watchTimeout;
    random_source &m_random;
    counter_set &m_counters;
    platform_rate_limiter m_rateLimiter;
    std::array<poll_state, 2> m_polls;
    /// Parts to read, by SHA-256.
    std::map<std::string, wanted_part> m_wantedParts;
    /// SHA-256 of the requested part, by the part read in flight.
    std::map<read_id, std::string> m_partHashByRead;
    bool m_watching = false;
    std::uint64_t m_lastReadId = 0;
};

} // namespace almondnotch
