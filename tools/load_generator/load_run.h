#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <curl/curl.h>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/types.h"
#include "tools/load_generator/caller.h"
#include "tools/load_generator/latency_summary.h"

namespace almondnotch {

/// Parameters of a load run.
struct load_plan
{
    /// Entry addresses to query; with `direct`, addresses of workers.
    std::vector<std::string> addresses;
    /// Calls are sent to workers without a query, as a baseline for comparison.
    bool direct = false;
    std::string service;
    double callsPerSecond = 100;
    /// Duration of the run.
    double seconds = 10;
    /// Share of reads (GET), 0 to 1. The other calls are bookings (POST), which must be executed at
    /// most once.
    double readShare = 0.8;
    std::string readPathPrefix;
    std::string bookingPathPrefix;
    unsigned callers = 20;
    duration deadline {seconds_type(5)};
    /// Maximum transmissions of a call by its caller, including the first one.
    unsigned transmissionsMax = 5;
    std::size_t bodyPaddingBytes = 64;
    std::uint64_t seed = 1;

private:
    /// Needed since the member `seconds` hides `almondnotch::seconds`.
    using seconds_type = std::chrono::seconds;
};

/// Outcome of one booking, for comparison with the execution logs of the workers. Bookings that are
/// counted as `load_result::wrong` have none.
struct booking_result
{
    /// Identity in the execution logs: the idempotency key, or the call ID (`X-Call-Id`) if the
    /// call had no key.
    std::string identity;
    /// `run` if a correct response arrived or the last response reports this outcome; `not_run` if
    /// the last response reports it and the call was sent only once or had an idempotency key, so
    /// that no earlier transmission can have been executed; otherwise `unknown`.
    call_outcome outcome = call_outcome::unknown;
};

/// Totals of a run.
struct load_result
{
    std::uint64_t planned = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Responses with status 200 that do not match their request.
    std::uint64_t wrong = 0;
    /// Calls that were executed according to the outcome `run` in the response header, but whose
    /// response was an error or was truncated.
    std::uint64_t failed = 0;
    std::uint64_t retransmissions = 0;
    std::uint64_t entryQueries = 0;
    double elapsedSeconds = 0;
    latency_summary reads;
    latency_summary bookings;
    latency_summary all;
    std::vector<booking_result> bookingResults;
    /// Number of failures by problem type, HTTP status or transport error.
    std::map<std::string, std::uint64_t> reasons;
};

/// Generates open-loop load: arrivals follow a schedule that does not depend on responses, and
/// latencies are measured from the planned arrival. Each response is compared with its request.
class load_run
{
public:
    explicit load_run(load_plan plan);
    load_run(const load_run &) = delete;
    load_run &operator=(const load_run &) = delete;
    ~load_run();

    load_result run();

private:
    /// One planned call and its transmissions.
    struct pending_call
    {
        std::string callId;
        std::string key;
        std::string body;
        std::string target;
        bool isRead = true;
        instant plannedAt;
        unsigned transmissions = 0;
        /// A transmission may have reached a gateway.
        bool mayHaveBeenSent = false;
        caller *sendingCaller = nullptr;
        instant sendAt;
        std::string responseBody;
        std::string outcomeHeader;
        curl_slist *headers = nullptr;
    };

    instant now() const;
    void planCall(instant at);
    CURL *acquireHandle();
    void send(CURL *handle, pending_call &call);
    void processTransfers();
    void transferFinished(CURL *handle, CURLcode code);
    bool handleResult(pending_call &call, CURLcode code, long status);
    bool responseMatchesRequest(const pending_call &call) const;
    void scheduleRetry(pending_call &call);
    void recordBooking(const pending_call &call, call_outcome outcome);
    static std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *target);

    load_plan m_plan;
    random_source m_random;
    CURLM *m_multi;
    std::vector<std::unique_ptr<caller>> m_callers;
    std::vector<CURL *> m_idleHandles;
    std::map<CURL *, std::unique_ptr<pending_call>> m_running;
    std::deque<std::unique_ptr<pending_call>> m_waiting;
    load_result m_result;
    std::chrono::steady_clock::time_point m_origin;
};

} // namespace almondnotch
