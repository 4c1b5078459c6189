#include "decision/routing/items/catch_up_plan.h"

#include <algorithm>

namespace almondnotch {

namespace {

/// Maximum number of times that the time until the next request is doubled.
constexpr unsigned doublingsMax = 4;

} // namespace

void catch_up_plan::positionAdvertised(instant now, const store_position &position)
{
    m_advertised = position;
    m_advertisedAt = now;
}

void catch_up_plan::changesExpected(instant now, instant earliestRequestAt)
{
    m_requestAt = std::max<instant>(now + relayTime, earliestRequestAt);
    m_watchDeadline = now + watchTimeLimit;
}

void catch_up_plan::readSent(instant now)
{
    m_requestAt = now + relayTime;
    m_watchDeadline = now + watchTimeLimit;
}

void catch_up_plan::readProgressed(instant now, duration timeLeftMin)
{
    m_watchDeadline = std::max<instant>(m_watchDeadline, now + timeLeftMin);
}

void catch_up_plan::readDelivered(instant now)
{
    m_fruitlessReads = 0;
    m_requestAt = std::max<instant>(now, m_advertisedAt + relayTime);
}

void catch_up_plan::readWasFruitless(instant now, instant earliestRequestAt)
{
    const unsigned doublings = std::min(m_fruitlessReads++, doublingsMax);
    const duration delay = std::min<duration>(relayTime * (1U << doublings), requestDelayMax);
    m_requestAt = std::max<instant>(now + delay, earliestRequestAt);
}

} // namespace almondnotch
