#include "tools/load_generator/load_run.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "tools/load_generator/http_fetch.h"

namespace almondnotch {

namespace {

/// Base of the exponential backoff between the transmissions of a call.
constexpr duration backoffBase = milliseconds(20);

} // namespace

load_run::load_run(load_plan plan)
    : m_plan(std::move(plan)), m_random(m_plan.seed), m_multi(curl_multi_init())
{
    constexpr long connectionsMax = 4096;
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, connectionsMax);
    for (unsigned i = 0; i < m_plan.callers; ++i)
        m_callers.push_back(std::make_unique<caller>(m_plan.addresses, m_plan.service,
                                                     m_plan.direct, m_random.next()));
}

load_run::~load_run()
{
    for (CURL *handle : m_idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
}

instant load_run::now() const
{
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - m_origin));
}

load_result load_run::run()
{
    // Entry addresses are queried before the measurement starts: the run simulates callers that
    // already know them.
    m_origin = std::chrono::steady_clock::now();
    for (const std::unique_ptr<caller> &simulatedCaller : m_callers)
        simulatedCaller->addressFor(now(), 0);
    m_origin = std::chrono::steady_clock::now();

    const instant end(duration(static_cast<std::int64_t>(m_plan.seconds * 1e6)));
    instant nextArrival;
    while (true) {
        while (nextArrival <= now() && nextArrival < end) {
            planCall(nextArrival);
            const double gap = m_random.exponential(1e6 / m_plan.callsPerSecond);
            nextArrival = nextArrival + duration(static_cast<std::int64_t>(gap));
        }
        for (std::size_t i = 0; i < m_waiting.size();) {
            if (m_waiting[i]->sendAt > now()) {
                ++i;
                continue;
            }
            std::unique_ptr<pending_call> call = std::move(m_waiting[i]);
            m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(i));
            pending_call &ready = *call;
            CURL *handle = acquireHandle();
            m_running.emplace(handle, std::move(call));
            send(handle, ready);
        }
        processTransfers();
        if (nextArrival >= end && m_running.empty() && m_waiting.empty())
            break;
        const duration untilArrival
            = nextArrival < end ? nextArrival - now() : duration(milliseconds(20));
        const int waitMs = static_cast<int>(
            std::clamp<std::int64_t>(toMilliseconds(untilArrival), 0, m_waiting.empty() ? 20 : 2));
        curl_multi_poll(m_multi, nullptr, 0, waitMs, nullptr);
    }
    m_result.elapsedSeconds = toSeconds(now().sinceOrigin());
    for (const std::unique_ptr<caller> &simulatedCaller : m_callers)
        m_result.entryQueries += simulatedCaller->queries();
    return std::move(m_result);
}

CURL *load_run::acquireHandle()
{
    if (m_idleHandles.empty())
        return curl_easy_init();
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
}

void load_run::planCall(instant at)
{
    std::unique_ptr<pending_call> call = std::make_unique<pending_call>();
    call->callId = "c" + std::to_string(m_plan.seed) + "-" + std::to_string(m_result.planned++);
    call->sendingCaller = m_callers[m_random.below(m_callers.size())].get();
    call->isRead = m_random.uniform() < m_plan.readShare;
    call->plannedAt = at;
    call->sendAt = at;
    call->target
        = (call->isRead ? m_plan.readPathPrefix : m_plan.bookingPathPrefix) + "/" + call->callId;
    if (!call->isRead)
        call->body = call->callId + std::string(m_plan.bodyPaddingBytes, 'b');
    m_waiting.push_back(std::move(call));
}

std::size_t load_run::readHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    static const std::string name = "almondnotch-outcome:";
    std::string line(data, size * count);
    std::transform(line.begin(), line.end(), line.begin(), ::tolower);
    if (line.rfind(name, 0) == 0) {
        std::string value = line.substr(name.size());
        std::erase_if(value, ::isspace);
        static_cast<pending_call *>(target)->outcomeHeader = value;
    }
    return size * count;
}

void load_run::send(CURL *handle, pending_call &call)
{
    const std::string address = call.sendingCaller->addressFor(now(), call.transmissions++);
    // The key is assigned after the address lookup, which may replace an expired key range.
    if (!call.isRead && call.key.empty() && !m_plan.direct)
        call.key = call.sendingCaller->nextKey();
    call.responseBody.clear();
    call.outcomeHeader.clear();
    curl_slist_free_all(call.headers);
    call.headers = nullptr;
    const std::int64_t remainingMs
        = std::max<std::int64_t>(toMilliseconds(call.plannedAt + m_plan.deadline - now()), 1);
    call.headers = curl_slist_append(
        call.headers, ("Almondnotch-Deadline-Ms: " + std::to_string(remainingMs)).c_str());
    call.headers = curl_slist_append(call.headers, ("X-Call-Id: " + call.callId).c_str());
    call.headers = curl_slist_append(call.headers, "Expect:");
    if (!call.key.empty())
        call.headers = curl_slist_append(call.headers, ("Idempotency-Key: " + call.key).c_str());
    // The transfer time-out is longer than the deadline, so that the response that a gateway sends
    // at the deadline still arrives.
    constexpr long graceMs = 200;
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, ("http://" + address + call.target).c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(remainingMs) + graceMs);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call.headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &call.responseBody);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, readHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &call);
    if (!call.isRead) {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
        // libcurl retries by itself if a reused connection fails. This could execute a booking
        // without a key twice, so such calls use a new connection.
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.key.empty() ? 1L : 0L);
    }
    curl_multi_add_handle(m_multi, handle);
}

void load_run::processTransfers()
{
    int running = 0;
    curl_multi_perform(m_multi, &running);
    int left = 0;
    for (CURLMsg *message = curl_multi_info_read(m_multi, &left); message != nullptr;
         message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            transferFinished(message->easy_handle, message->data.result);
    }
}

void load_run::transferFinished(CURL *handle, CURLcode code)
{
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(m_multi, handle);
    const auto found = m_running.find(handle);
    std::unique_ptr<pending_call> call = std::move(found->second);
    m_running.erase(found);
    m_idleHandles.push_back(handle);
    if (handleResult(*call, code, status)) {
        curl_slist_free_all(call->headers);
        return;
    }
    if (code == CURLE_COULDNT_CONNECT && !call->mayHaveBeenSent) {
        // No request with this key was sent, so the call may use a key of another gateway.
        call->sendingCaller->handleConnectFailure();
        call->sendingCaller->addressFor(now(), 0);
        call->key.clear();
        call->transmissions = 0;
    }
    scheduleRetry(*call);
    m_waiting.push_back(std::move(call));
}

bool load_run::responseMatchesRequest(const pending_call &call) const
{
    const nlohmann::json echo = nlohmann::json::parse(call.responseBody, nullptr, false);
    return echo.is_object() && echo.value("target", "") == call.target
           && echo.value("body", "") == call.body && echo.value("call_id", "") == call.callId
           && echo.value("method", "") == (call.isRead ? "GET" : "POST");
}

/// \return true if the call has ended, false if it is to be sent again.
bool load_run::handleResult(pending_call &call, CURLcode code, long status)
{
    call.mayHaveBeenSent = call.mayHaveBeenSent || code != CURLE_COULDNT_CONNECT;
    if (code == CURLE_OK && status == 200) {
        if (responseMatchesRequest(call)) {
            const duration latency = now() - call.plannedAt;
            (call.isRead ? m_result.reads : m_result.bookings).add(latency);
            m_result.all.add(latency);
            ++m_result.succeeded;
            recordBooking(call, call_outcome::run);
        } else {
            ++m_result.wrong;
        }
        return true;
    }
    const bool hasTimeLeft = now() + backoffBase < call.plannedAt + m_plan.deadline;
    const bool canRetry = call.isRead || !call.key.empty() || call.outcomeHeader == "not-run";
    if (hasTimeLeft && canRetry && call.transmissions < m_plan.transmissionsMax
        && call.outcomeHeader != "run" && !m_plan.direct)
        return false;

    const nlohmann::json document = nlohmann::json::parse(call.responseBody, nullptr, false);
    const std::string reason = code != CURLE_OK ? std::string(curl_easy_strerror(code))
                               : document.is_object()
                                   ? document.value("type", std::to_string(status))
                                   : std::to_string(status);
    ++m_result.reasons[reason];
    // An earlier transmission may have been executed even if the last one was not.
    if (call.outcomeHeader == "not-run" && (call.transmissions == 1 || !call.key.empty())) {
        ++m_result.notRun;
        recordBooking(call, call_outcome::not_run);
    } else if (call.outcomeHeader == "run") {
        ++m_result.failed;
        recordBooking(call, call_outcome::run);
    } else {
        ++m_result.unknown;
        recordBooking(call, call_outcome::unknown);
    }
    return true;
}

void load_run::scheduleRetry(pending_call &call)
{
    ++m_result.retransmissions;
    call.sendAt = now() + backoffBase * (1 << std::min(call.transmissions, 4U));
}

void load_run::recordBooking(const pending_call &call, call_outcome outcome)
{
    if (!call.isRead)
        m_result.bookingResults.push_back({call.key.empty() ? call.callId : call.key, outcome});
}

} // namespace almondnotch
