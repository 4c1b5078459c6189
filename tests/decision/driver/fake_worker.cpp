#include "tests/decision/driver/fake_worker.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

/// Response time of a worker that fails or rejects a call immediately.
constexpr duration failureResponseTime = microseconds(200);
/// Number of times at which the completion of the running calls is rescheduled during the warm-up,
/// in which the speed increases.
constexpr int warmUpSteps = 10;
/// Remaining work below this, in seconds, is a rounding error: the call is complete.
constexpr double completionToleranceS = 1e-9;

} // namespace

fake_worker::fake_worker(event_queue &queue, std::uint64_t seed, worker_profile profile)
    : m_queue(queue), m_random(mixBits(seed)), m_noiseRandom(mixBits(~seed)), m_profile(profile),
      m_startedAt(queue.now()), m_advancedAt(queue.now())
{
    const double logVariance = std::log1p(m_profile.serviceVariation * m_profile.serviceVariation);
    m_logDeviation = std::sqrt(logVariance);
    m_logMean = std::log(toSeconds(m_profile.serviceMean)) - logVariance / 2;
    for (int step = 1; step <= warmUpSteps && m_profile.warmUp > duration(0); ++step) {
        m_queue.after(m_profile.warmUp * step / warmUpSteps, [this] {
            advance();
            scheduleCompletion();
        });
    }
    scheduleNoise();
}

std::uint64_t fake_worker::submit(response_handler respond)
{
    const std::uint64_t id = m_nextId++;
    if (m_failFast || m_draining || m_queuedCalls.size() >= m_profile.queueMax) {
        fake_response immediateResponse;
        immediateResponse.status = m_failFast ? 500 : 503;
        immediateResponse.rejectedBeforeRun = !m_failFast;
        immediateResponse.load = load();
        m_queue.after(failureResponseTime, [immediateResponse, respond = std::move(respond)] {
            respond(immediateResponse);
        });
        return id;
    }
    ++m_acceptedCount;
    advance();
    m_queuedCalls.push_back({id, sampleServiceTimeS(), std::move(respond)});
    startQueued();
    scheduleCompletion();
    recordLoadHistory();
    return id;
}

void fake_worker::cancel(std::uint64_t call)
{
    advance();
    std::erase_if(m_queuedCalls, [call](const accepted_call &entry) { return entry.id == call; });
    std::erase_if(m_runningCalls, [call](const accepted_call &entry) { return entry.id == call; });
    startQueued();
    scheduleCompletion();
    recordLoadHistory();
}

load_report fake_worker::report() const
{
    if (m_falseReport)
        return *m_falseReport;
    load_report out = load();
    if (m_reportLag <= duration(0))
        return out;
    for (const std::pair<instant, load_report> &past : m_loadHistory) {
        if (past.first + m_reportLag > m_queue.now())
            break;
        out = past.second;
    }
    return out;
}

load_report fake_worker::load() const
{
    load_report out;
    out.running = static_cast<unsigned>(m_runningCalls.size());
    out.queued = static_cast<unsigned>(m_queuedCalls.size());
    out.slots = m_profile.slots;
    if (m_draining)
        out.state = worker_state::draining;
    else if (m_queue.now() - m_startedAt < m_profile.warmUp)
        out.state = worker_state::cold;
    return out;
}

void fake_worker::setSpeed(double speed)
{
    advance();
    m_configuredSpeed = speed;
    scheduleCompletion();
}

double fake_worker::speed() const
{
    double warmUpFactor = 1;
    if (m_queue.now() - m_startedAt < m_profile.warmUp) {
        const double progress
            = toSeconds(m_queue.now() - m_startedAt) / toSeconds(m_profile.warmUp);
        warmUpFactor = m_profile.coldSpeed + (1 - m_profile.coldSpeed) * progress;
    }
    return m_configuredSpeed * m_noiseSpeed * warmUpFactor;
}

double fake_worker::sampleServiceTimeS()
{
    // Box-Muller transform.
    const double radius = std::sqrt(2 * m_random.exponential(1));
    const double normal = radius * std::cos(2 * 3.14159265358979 * m_random.uniform());
    return std::exp(m_logMean + m_logDeviation * normal);
}

void fake_worker::advance()
{
    const double progressS = toSeconds(m_queue.now() - m_advancedAt) * speed();
    m_advancedAt = m_queue.now();
    for (accepted_call &entry : m_runningCalls)
        entry.remainingS -= progressS;
    m_workDoneS += progressS * static_cast<double>(m_runningCalls.size());
}

void fake_worker::scheduleCompletion()
{
    ++m_completionGeneration;
    if (m_runningCalls.empty())
        return;
    double minRemainingS = m_runningCalls.front().remainingS;
    for (const accepted_call &entry : m_runningCalls)
        minRemainingS = std::min(minRemainingS, entry.remainingS);
    const double waitUs = std::ceil(std::max(0.0, minRemainingS) / std::max(1e-6, speed()) * 1e6);
    m_queue.after(duration(static_cast<std::int64_t>(waitUs)),
                  [this, generation = m_completionGeneration] {
                      if (generation == m_completionGeneration)
                          complete();
                  });
}

void fake_worker::complete()
{
    advance();
    std::vector<response_handler> done;
    for (accepted_call &entry : m_runningCalls) {
        if (entry.remainingS <= completionToleranceS)
            done.push_back(std::move(entry.respond));
    }
    std::erase_if(m_runningCalls, [](const accepted_call &entry) {
        return entry.remainingS <= completionToleranceS;
    });
    startQueued();
    scheduleCompletion();
    recordLoadHistory();
    for (const response_handler &respond : done) {
        fake_response response;
        response.load = report();
        respond(response);
    }
}

void fake_worker::startQueued()
{
    while (m_runningCalls.size() < m_profile.slots && !m_queuedCalls.empty()) {
        m_runningCalls.push_back(std::move(m_queuedCalls.front()));
        m_queuedCalls.pop_front();
    }
}

void fake_worker::scheduleNoise()
{
    const noise_profile &noise = m_profile.noise;
    if (noise.meanInterval <= duration(0))
        return;
    const duration gap(static_cast<std::int64_t>(
        m_noiseRandom.exponential(static_cast<double>(noise.meanInterval.count()))));
    m_queue.after(gap, [this] {
        const noise_profile &profile = m_profile.noise;
        const double range = std::log(toSeconds(profile.maxLength) / toSeconds(profile.minLength));
        const double lengthUs = static_cast<double>(profile.minLength.count())
                                * std::exp(range * m_noiseRandom.uniform());
        advance();
        m_noiseSpeed
            = 1 - profile.minCapacityTaken
              - (profile.maxCapacityTaken - profile.minCapacityTaken) * m_noiseRandom.uniform();
        scheduleCompletion();
        m_queue.after(duration(static_cast<std::int64_t>(lengthUs)), [this] {
            advance();
            m_noiseSpeed = 1;
            scheduleCompletion();
            scheduleNoise();
        });
    });
}

void fake_worker::recordLoadHistory()
{
    if (m_reportLag <= duration(0))
        return;
    m_loadHistory.emplace_back(m_queue.now(), load());
    // Keeps one entry that is older than the lag, since `report` returns it.
    while (m_loadHistory.size() > 1 && m_loadHistory[1].first + m_reportLag <= m_queue.now())
        m_loadHistory.pop_front();
}

} // namespace almondnotch
