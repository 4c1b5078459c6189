#include "decision/routing/requests/startup_queue.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace almondnotch {

namespace {

/// Maximum number of queued requests.
constexpr std::size_t queueLengthMax = 256;
/// A request waits for at most this fraction (1/8) of its timeout.
constexpr int queueTimeDivisor = 8;
/// Maximum queue time, which also applies to requests without a timeout.
constexpr duration queueTimeMax = milliseconds(100);

} // namespace

bool startup_queue::add(instant now, const call_received &input)
{
    if (m_queue.size() >= queueLengthMax)
        return false;
    const duration queueTime = std::min<duration>(
        queueTimeMax, input.request->timeout.value_or(seconds(1)) / queueTimeDivisor);
    m_queue.push_back({input, now, now + queueTime});
    return true;
}

bool startup_queue::remove(call_id call)
{
    return std::erase_if(m_queue,
                         [call](const queued_request &queued) { return queued.input.call == call; })
           > 0;
}

call_received startup_queue::withReducedTimeout(instant now, const queued_request &queued)
{
    if (!queued.input.request->timeout)
        return queued.input;
    std::shared_ptr<call_request> shortened = std::make_shared<call_request>(*queued.input.request);
    shortened->timeout
        = std::max<duration>(*shortened->timeout - (now - queued.arrivedAt), duration {0});
    return {queued.input.call, std::move(shortened)};
}

std::vector<call_received> startup_queue::takeAll(instant now)
{
    std::vector<call_received> out;
    for (const queued_request &queued : std::exchange(m_queue, {}))
        out.push_back(withReducedTimeout(now, queued));
    return out;
}

std::vector<call_received> startup_queue::takeExpired(instant now)
{
    std::vector<call_received> out;
    std::erase_if(m_queue, [now, &out](const queued_request &queued) {
        if (queued.expiresAt > now)
            return false;
        out.push_back(withReducedTimeout(now, queued));
        return true;
    });
    return out;
}

instant startup_queue::nextWake() const
{
    instant wake = instant::never();
    for (const queued_request &queued : m_queue)
        wake = std::min(wake, queued.expiresAt);
    return wake;
}

} // namespace almondnotch
