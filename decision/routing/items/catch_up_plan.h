#pragma once

#include <compare>
#include <cstdint>

#include "core/time.h"

namespace almondnotch {

/// A revision of the store. Revisions of different eras cannot be compared by their numbers.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const store_position &) const = default; // NOLINT(modernize-use-nullptr)
};

/// What other gateways have advertised of one scope of the store, and when a reader that does not
/// know all of it requests what is missing.
class catch_up_plan
{
public:
    /// How long advertised changes may take to arrive from another gateway before they are
    /// requested from the store.
    static constexpr duration relayTime = milliseconds(150);
    /// Maximum time until changes are requested again after a read that has not delivered any of
    /// those that are missing.
    static constexpr duration requestDelayMax = seconds(1);
    /// Time after the advertisement of changes within which a watch in flight has to deliver them.
    /// The store delivers existing changes immediately, so a watch that exceeds this time is
    /// assumed to hang on a dead connection.
    static constexpr duration watchTimeLimit = milliseconds(600);

    /// Latest position that other gateways have advertised.
    const store_position &advertised() const { return m_advertised; }
    /// When the missing changes are requested if no read is in flight.
    instant requestAt() const { return m_requestAt; }
    /// When a watch in flight has to have delivered the missing changes.
    instant watchDeadline() const { return m_watchDeadline; }

    /// Another gateway has advertised a position later than `advertised()`.
    void positionAdvertised(instant now, const store_position &position);
    /// The reader learns that changes are missing, and knew of none that were. What it learns later
    /// postpones nothing.
    /// \param earliestRequestAt backoff of failed reads.
    void changesExpected(instant now, instant earliestRequestAt);
    void readSent(instant now);
    /// The answer to the read in flight is arriving.
    void readProgressed(instant now, duration timeLeftMin);
    /// A read has delivered changes, or none are missing. Those that were advertised during it may
    /// still be relayed.
    void readDelivered(instant now);
    /// A read has left changes missing and delivered none, so that the store gets some time.
    /// \param earliestRequestAt see `changesExpected`.
    void readWasFruitless(instant now, instant earliestRequestAt);

private:
    store_position m_advertised;
    instant m_advertisedAt;
    instant m_requestAt;
    instant m_watchDeadline;
    /// Number of consecutive fruitless reads.
    unsigned m_fruitlessReads = 0;
};

} // namespace almondnotch
