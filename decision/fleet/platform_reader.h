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
#include "decision/fleet/platform_budget.h"

namespace almondnotch {

/// Most part reads that wait for the platform at the same time.
constexpr std::size_t partReadsMax = 8;

/// A read that ended, as the fleet needs it.
struct platform_news
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
    platform_reader(duration watch, double share, random_source &random, invariant_set &invariants,
                    counter_set &counters);

    void setShare(instant now, double callsPerSecond) { m_budget.setShare(now, callsPerSecond); }

    /// Whether the manifest and the VM list are watched all the time.
    void setWatching(bool watching) { m_watching = watching; }
    bool isWatching() const { return m_watching; }

    /// Reads the manifest and the VM list once, repeated until it succeeds or is cancelled.
    void readOnce();
    void cancelOnce();

    /// Reads the manifest from the start, since a set that was read could not be assembled.
    void forgetManifest();

    /// Replaces the parts to be read.
    void wantParts(const std::set<std::string> &hashes);
    /// True if a wanted part failed more than once in a row.
    bool arePartsFailing() const;

    /// Issues the reads that are due.
    void run(instant now, action_list &actions);

    /// \return nothing if the read is unknown or its result is no longer wanted.
    std::optional<platform_news> finished(instant now, const platform_read_finished &input);

    /// Time since the last successful manifest read, 0 while a watch of it waits; the maximum if
    /// there was none.
    duration readAge(instant now) const;

    /// When `run` has something to do.
    instant nextWake(instant now) const;

    nlohmann::json dump(instant now) const;

private:
    /// One value that is read again and again.
    struct lane
    {
        platform_key key = platform_key::manifest;
        std::optional<read_id> inFlight;
        bool isWatch = false;
        bool onceWanted = false;
        /// Version that was read last.
        std::uint64_t after = 0;
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

    bool isDue(const lane &value) const;
    bool issue(instant now, platform_key key, const std::string &partSha256, std::uint64_t after,
               duration wait, std::optional<read_id> &inFlight, action_list &actions);
    duration backoff(unsigned failures);
    std::optional<platform_news> laneFinished(instant now, lane &value,
                                              const platform_read_finished &input);

    duration m_watch;
    random_source &m_random;
    counter_set &m_counters;
    platform_budget m_budget;
    std::array<lane, 2> m_lanes;
    std::map<std::string, part_read> m_parts;
    std::map<read_id, std::string> m_partReads;
    bool m_watching = false;
    std::uint64_t m_lastRead = 0;
};

} // namespace almondnotch
