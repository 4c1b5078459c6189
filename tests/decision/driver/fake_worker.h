#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "core/random_source.h"
#include "core/time.h"
#include "decision/types.h"
#include "tests/decision/driver/event_queue.h"

namespace almondnotch {

/// Bursts of load from other VMs on the host (noisy neighbours), which take capacity from the
/// worker.
struct noise_profile
{
    /// Mean time between two bursts; 0 disables them.
    duration meanInterval {0};
    /// The lengths of bursts are log-uniformly distributed between these bounds.
    duration minLength {milliseconds(5)};
    duration maxLength {milliseconds(500)};
    /// Fraction of the capacity that a burst takes, uniformly distributed between these bounds.
    double minCapacityTaken = 0.5;
    double maxCapacityTaken = 0.95;
};

/// Capacity and service times of a worker.
struct worker_profile
{
    /// Number of calls that run concurrently.
    unsigned slots = 6;
    /// Maximum number of queued calls; further calls are rejected as `not-run`.
    unsigned queueMax = 48;
    /// Service times are log-normal with this mean and coefficient of variation.
    duration serviceMean {milliseconds(8)};
    double serviceVariation = 0.7;
    noise_profile noise;
    /// Initial speed of a cold worker as a fraction of the normal speed, which it reaches after
    /// `warmUp`.
    double coldSpeed = 0.3;
    duration warmUp {0};
};

/// Response of the worker to a call.
struct fake_response
{
    attempt_end end = attempt_end::answered;
    int status = 200;
    bool rejectedBeforeRun = false;
    load_report load;
};

/// Queueing model of one worker: slots that all run at the worker's current speed, a queue, noise,
/// cold start, drain and fast failures. Simulations submit calls to it directly and have to
/// simulate the network themselves, for example with `fake_link`.
class fake_worker
{
public:
    using response_handler = std::function<void(const fake_response &)>;

    /// \param seed seeds the service times and, independently of them, the noise, so that the noise
    /// does not depend on the calls that arrive.
    fake_worker(event_queue &queue, std::uint64_t seed, worker_profile profile);
    fake_worker(const fake_worker &) = delete;
    fake_worker &operator=(const fake_worker &) = delete;

    /// Receives a call. `respond` is called once, unless the call is cancelled.
    /// \return identifier for `cancel`.
    std::uint64_t submit(response_handler respond);
    /// Removes a queued or running call, whose `respond` is then not called.
    void cancel(std::uint64_t call);

    /// Load in probe responses and in the responses to executed calls, subject to the configured
    /// lag or false report. Rejections and fast failures report the actual load.
    load_report report() const;
    /// Actual load.
    load_report load() const;

    /// Sets the speed as a fraction of the normal speed; 0.1 is ten times slower.
    void setSpeed(double speed);
    /// Answers each call immediately with status 500.
    void setFailFast(bool failing) { m_failFast = failing; }
    /// A draining worker rejects new calls as `not-run` and reports that it is draining.
    void setDraining(bool draining) { m_draining = draining; }
    /// Makes `report` return the load that the worker had this long ago.
    void setReportLag(duration lag) { m_reportLag = lag; }
    /// Replaces the result of `report` with the given one; std::nullopt restores true reports.
    void setFalseReport(const std::optional<load_report> &report) { m_falseReport = report; }

    /// Number of calls that were neither rejected nor failed immediately.
    std::uint64_t acceptedCount() const { return m_acceptedCount; }
    /// Total work done so far: the execution time of all calls at normal speed, in seconds.
    double workDoneS() const { return m_workDoneS; }

private:
    /// A queued or running call.
    struct accepted_call
    {
        std::uint64_t id = 0;
        /// Remaining execution time at normal speed, in seconds.
        double remainingS = 0;
        response_handler respond;
    };

    /// Current speed as a fraction of the normal speed.
    double speed() const;
    /// Random service time at normal speed, in seconds.
    double sampleServiceTimeS();
    /// Reduces the remaining work of the running calls by the work done since the last call of this
    /// function.
    void advance();
    /// Schedules the completion of the call that ends next. Replaces the completion scheduled
    /// before, since the speed or the running calls may have changed.
    void scheduleCompletion();
    /// Ends the calls that are complete and sends their responses.
    void complete();
    /// Starts queued calls in the free slots.
    void startQueued();
    /// Schedules the next burst of noise.
    void scheduleNoise();
    /// Records the load for lagging reports.
    void recordLoadHistory();

    event_queue &m_queue;
    random_source m_random;
    random_source m_noiseRandom;
    worker_profile m_profile;
    double m_logMean = 0;
    double m_logDeviation = 0;
    std::vector<accepted_call> m_runningCalls;
    std::deque<accepted_call> m_queuedCalls;
    std::uint64_t m_nextId = 1;
    /// Incremented to invalidate the scheduled completion.
    std::uint64_t m_completionGeneration = 0;
    std::uint64_t m_acceptedCount = 0;
    instant m_startedAt;
    /// Time up to which the remaining work is updated.
    instant m_advancedAt;
    double m_configuredSpeed = 1;
    double m_noiseSpeed = 1;
    double m_workDoneS = 0;
    bool m_failFast = false;
    bool m_draining = false;
    duration m_reportLag {0};
    std::optional<load_report> m_falseReport;
    /// Load after each change, oldest first. Recorded only while there is a report lag.
    std::deque<std::pair<instant, load_report>> m_loadHistory;
};

} // namespace almondnotch
