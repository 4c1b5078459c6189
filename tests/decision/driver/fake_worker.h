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

/// Neighbours on the host that take capacity now and then.
struct noise_profile
{
    /// Mean time between two bursts; 0 for none.
    duration meanInterval {0};
    /// Lengths are log-uniform between these.
    duration minLength {milliseconds(5)};
    duration maxLength {milliseconds(500)};
    /// Share of the capacity that a burst takes, uniform between these.
    double minCapacityTaken = 0.5;
    double maxCapacityTaken = 0.95;
};

struct worker_profile
{
    unsigned slots = 6;
    /// Calls that wait at most; more are refused as `not-run`.
    unsigned queueMax = 48;
    /// Service times are log-normal with this mean and coefficient of variation.
    duration serviceMean {milliseconds(8)};
    double serviceVariation = 0.7;
    noise_profile noise;
    /// A cold worker runs at this speed at first and warms up over `warmUp`.
    double coldSpeed = 0.3;
    duration warmUp {0};
};

/// What the worker sends back for a call.
struct fake_response
{
    attempt_end end = attempt_end::answered;
    int status = 200;
    bool refusedNotRun = false;
    load_report load;
};

/// A queueing fake of one worker: slots that share the worker's speed alike, a queue, noise, cold
/// start, drain and fast failures. Stands at the interface of the balancer and simulates neither a
/// host nor a network.
class fake_worker
{
public:
    using response_handler = std::function<void(const fake_response &)>;

    /// \param seed of the service times and, apart from them, of the noise, so that the noise is
    /// the same whatever calls arrive.
    fake_worker(event_queue &queue, std::uint64_t seed, worker_profile profile);
    fake_worker(const fake_worker &) = delete;
    fake_worker &operator=(const fake_worker &) = delete;

    /// A call arrives. `respond` is called once, unless the call is cancelled.
    /// \return identifier for `cancel`.
    std::uint64_t submit(response_handler respond);
    void cancel(std::uint64_t call);

    /// What the load endpoint and the response headers say, with the lag or the lie that was set.
    load_report report() const;
    /// The truth.
    load_report load() const;

    /// Speed as a share of the normal one; 0.1 is ten times slower.
    void setSpeed(double speed);
    /// Answers each call at once with status 500.
    void setFailFast(bool failing) { m_failFast = failing; }
    void setDraining(bool draining) { m_draining = draining; }
    /// All reports are this old.
    void setReportLag(duration lag) { m_lag = lag; }
    /// All reports say this.
    void setFalseReport(const std::optional<load_report> &report) { m_falseReport = report; }

    /// Calls that were taken on and not refused.
    std::uint64_t accepted() const { return m_accepted; }
    /// Time that calls spent in execution at full speed, seconds: work done.
    double workDoneS() const { return m_workDoneS; }

private:
    struct job
    {
        std::uint64_t id = 0;
        double remainingS = 0;
        response_handler respond;
    };

    double speed() const;
    double sampleServiceTimeS();
    /// Accounts for the progress since the last change.
    void advance();
    /// Schedules the next completion.
    void scheduleCompletion();
    void complete();
    void startQueued();
    void scheduleNoise();
    void recordHistory();

    event_queue &m_queue;
    random_source m_random;
    random_source m_noiseRandom;
    worker_profile m_profile;
    double m_logMean = 0;
    double m_logDeviation = 0;
    std::vector<job> m_running;
    std::deque<job> m_waiting;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_generation = 0;
    std::uint64_t m_accepted = 0;
    instant m_startedAt;
    instant m_advancedAt;
    double m_configuredSpeed = 1;
    double m_noiseSpeed = 1;
    double m_workDoneS = 0;
    bool m_failFast = false;
    bool m_draining = false;
    duration m_lag {0};
    std::optional<load_report> m_falseReport;
    std::deque<std::pair<instant, load_report>> m_history;
};

} // namespace almondnotch
