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

/// Most part reads that wait for the platform at the same time.
constexpr std::size_t partReadsMax = 8;

/// A read that ended, as the fleet needs it.
struct platform_read_result
{
    platform_key key = platform_key::manifest;
    /// SHA-256 of the part, if `key` is `part`.
    std::string partSha256;
    /// The value; nothing if the read failed or the value does not exist or did not change.
    std::optional<platform_value> value;
};

/// Schedules this process's reads and watches of the platform: within the budget, with backoff
/// after failures, at most one read of the manifest and one of the VM list at a time.
class platform_reader
{
public:
    /// \param watch longest watch.
    /// \param share calls a second that this process may make.
    platform_reader(duration watchTimeout, double rate, random_source &random,
                    invariant_set &invariants, counter_set &counters);

    void setRate(instant now, double callsPerSecond) { m_rateLimiter.setRate(now, callsPerSecond); }

    /// Whether the manifest and the VM list are watched all the time.
    void setWatching(bool watching) { m_watching = watching; }
    bool isWatching() const { return m_watching; }

    /// Reads the manifest and the VM list once, repeated until it succeeds or is cancelled.
    void readOnce();
    void cancelReadOnce();

    /// Reads the manifest from the start, since a set that was read could not be assembled.
    void resetManifestVersion();

    /// Replaces the parts to be read.
    void setWantedParts(const std::set<std::string> &hashes);
    /// True if a wanted part failed more than once in a row.
    bool arePartsFailing() const;

    /// Issues the reads that are due.
    void run(instant now, action_list &actions);

    /// \return nothing if the read is unknown or its result is no longer wanted.
    std::optional<platform_read_result> readFinished(instant now,
                                                     const platform_read_finished &input);

    /// Time since the last successful manifest read, 0 while a watch of it waits; the maximum if
    /// there was none.
    duration readAge(instant now) const;

    /// When `run` has something to do.
    instant nextWake(instant now) const;

    nlohmann::json dump(instant now) const;

private:
    /// One value that is read again and again.
    struct poll_state
    {
        platform_key key = platform_key::manifest;
        std::optional<read_id> inFlight;
        bool isWatch = false;
        bool readOncePending = false;
        /// Version that was read last.
        std::uint64_t lastVersion = 0;
        instant notBefore;
        unsigned failures = 0;
        std::optional<instant> succeededAt;
        instant issuedAt;
    };

    struct part_read
    {
        std::optional<read_id> inFlight;
        instant notBefore;
        unsigned failures = 0;
    };

    bool isDue(const poll_state &poll) const;
    bool issue(instant now, platform_key key, const std::string &partSha256,
               std::uint64_t afterVersion, duration wait, std::optional<read_id> &inFlight,
               action_list &actions);
    duration backoff(unsigned failures);
    std::optional<platform_read_result> pollFinished(instant now, poll_state &poll,
                                                     const platform_read_finished &input);

    duration m_watchTimeout;
    random_source &m_random;
    counter_set &m_counters;
    platform_rate_limiter m_rateLimiter;
    std::array<poll_state, 2> m_polls;
    std::map<std::string, part_read> m_parts;
    std::map<read_id, std::string> m_partReads;
    bool m_watching = false;
    std::uint64_t m_lastReadId = 0;
};

} // namespace almondnotch
