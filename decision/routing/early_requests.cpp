#include "decision/routing/early_requests.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace almondnotch {

namespace {

/// Most requests that wait.
constexpr std::size_t waitingMax = 256;
/// Part of its time that a request waits at most.
constexpr int waitPart = 8;
/// Longest wait, also of requests without a timeout.
constexpr duration waitLongest = milliseconds(100);

} // namespace

bool early_requests::add(instant now, const call_received &input)
{
    if (m_waiting.size() >= waitingMax)
        return false;
    const duration wait
        = std::min<duration>(waitLongest, input.request->timeout.value_or(seconds(1)) / waitPart);
    m_waiting.push_back({input, now, now + wait});
    return true;
}

bool early_requests::remove(call_id call)
{
    return std::erase_if(
               m_waiting,
               [call](const waiting_request &waiting) { return waiting.input.call == call; })
           > 0;
}

call_received early_requests::afterWait(instant now, const waiting_request &waiting)
{
    if (!waiting.input.request->timeout)
        return waiting.input;
    std::shared_ptr<call_request> shortened
        = std::make_shared<call_request>(*waiting.input.request);
    shortened->timeout
        = std::max<duration>(*shortened->timeout - (now - waiting.arrivedAt), duration {0});
    return {waiting.input.call, std::move(shortened)};
}

std::vector<call_received> early_requests::takeAll(instant now)
{
    std::vector<call_received> out;
    for (const waiting_request &waiting : std::exchange(m_waiting, {}))
        out.push_back(afterWait(now, waiting));
    return out;
}

std::vector<call_received> early_requests::takeExpired(instant now)
{
    std::vector<call_received> out;
    std::erase_if(m_waiting, [now, &out](const waiting_request &waiting) {
        if (waiting.until > now)
            return false;
        out.push_back(afterWait(now, waiting));
        return true;
    });
    return out;
}

instant early_requests::nextWake() const
{
    instant wake = instant::never();
    for (const waiting_request &waiting : m_waiting)
        wake = std::min(wake, waiting.until);
    return wake;
}

} // namespace almondnotch
