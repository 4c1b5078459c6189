#include "tests/decision/driver/fake_worker.h"

#include <algorithm>
#include <cmath>

namespace almondnotch {

namespace {

/// Time in which a failing worker answers.
constexpr duration failTime = microseconds(200);
/// Steps in which a cold worker gets faster.
constexpr int warmUpSteps = 10;
/// Remaining work below this is rounding.
constexpr double doneS = 1e-9;

} // namespace

fake_worker::fake_worker(event_queue &queue, random_source &random, worker_profile profile)
    : m_queue(queue), m_random(random), m_profile(profile), m_startedAt(queue.now()),
      m_advancedAt(queue.now())
{
    const double logVariance = std::log1p(m_profile.serviceVariation * m_profile.serviceVariation);
    m_logDeviation = std::sqrt(logVariance);
    m_logMean = std::log(toSeconds(m_profile.serviceMean)) - logVariance / 2;
    for (int step = 1; step <= warmUpSteps && m_profile.warmUp > duration(0); ++step) {
        m_queue.after(m_profile.warmUp * step / warmUpSteps, [this] {
            advance();
            plan();
        });
    }
    scheduleNoise();
}

std::uint64_t fake_worker::submit(response_handler respond)
{
    const std::uint64_t id = m_nextId++;
    if (m_failFast || m_draining || m_waiting.size() >= m_profile.queueMax) {
        fake_response refusal;
        refusal.status = m_failFast ? 500 : 503;
        refusal.refusedNotRun = !m_failFast;
        refusal.load = load();
        m_queue.after(failTime, [refusal, respond = std::move(respond)] { respond(refusal); });
        return id;
    }
    ++m_accepted;
    advance();
    m_waiting.push_back({id, drawServiceS(), std::move(respond)});
    startQueued();
    plan();
    remember();
    return id;
}

void fake_worker::cancel(std::uint64_t call)
{
    advance();
    std::erase_if(m_waiting, [call](const job &entry) { return entry.id == call; });
    std::erase_if(m_running, [call](const job &entry) { return entry.id == call; });
    startQueued();
    plan();
    remember();
}

load_report fake_worker::report() const
{
    if (m_falseReport)
        return *m_falseReport;
    load_report out = load();
    for (const std::pair<instant, load_report> &past : m_history) {
        if (past.first + m_lag > m_queue.now())
            break;
        out = past.second;
    }
    return out;
}

load_report fake_worker::load() const
{
    load_report out;
    out.running = static_cast<unsigned>(m_running.size());
    out.queued = static_cast<unsigned>(m_waiting.size());
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
    m_setSpeed = speed;
    plan();
}

double fake_worker::speed() const
{
    double warm = 1;
    if (m_queue.now() - m_startedAt < m_profile.warmUp) {
        const double progress
            = toSeconds(m_queue.now() - m_startedAt) / toSeconds(m_profile.warmUp);
        warm = m_profile.coldSpeed + (1 - m_profile.coldSpeed) * progress;
    }
    return m_setSpeed * m_noiseSpeed * warm;
}

double fake_worker::drawServiceS()
{
    // Box-Muller.
    const double radius = std::sqrt(2 * m_random.exponential(1));
    const double normal = radius * std::cos(2 * 3.14159265358979 * m_random.uniform());
    return std::exp(m_logMean + m_logDeviation * normal);
}

void fake_worker::advance()
{
    const double doneInS = toSeconds(m_queue.now() - m_advancedAt) * speed();
    m_advancedAt = m_queue.now();
    for (job &entry : m_running)
        entry.remainingS -= doneInS;
    m_workDoneS += doneInS * static_cast<double>(m_running.size());
}

void fake_worker::plan()
{
    ++m_generation;
    if (m_running.empty())
        return;
    double leastS = m_running.front().remainingS;
    for (const job &entry : m_running)
        leastS = std::min(leastS, entry.remainingS);
    const double waitUs = std::ceil(std::max(0.0, leastS) / std::max(1e-6, speed()) * 1e6);
    m_queue.after(duration(static_cast<std::int64_t>(waitUs)), [this, generation = m_generation] {
        if (generation == m_generation)
            complete();
    });
}

void fake_worker::complete()
{
    advance();
    std::vector<response_handler> done;
    for (job &entry : m_running) {
        if (entry.remainingS <= doneS)
            done.push_back(std::move(entry.respond));
    }
    std::erase_if(m_running, [](const job &entry) { return entry.remainingS <= doneS; });
    startQueued();
    plan();
    remember();
    for (const response_handler &respond : done) {
        fake_response response;
        response.load = m_falseReport ? *m_falseReport : load();
        respond(response);
    }
}

void fake_worker::startQueued()
{
    while (m_running.size() < m_profile.slots && !m_waiting.empty()) {
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
}

void fake_worker::scheduleNoise()
{
    const noise_profile &noise = m_profile.noise;
    if (noise.meanGap <= duration(0))
        return;
    const duration gap(static_cast<std::int64_t>(
        m_random.exponential(static_cast<double>(noise.meanGap.count()))));
    m_queue.after(gap, [this] {
        const noise_profile &profile = m_profile.noise;
        const double range = std::log(toSeconds(profile.longest) / toSeconds(profile.shortest));
        const double lengthUs
            = static_cast<double>(profile.shortest.count()) * std::exp(range * m_random.uniform());
        advance();
        m_noiseSpeed = 1 - profile.leastTaken
                       - (profile.mostTaken - profile.leastTaken) * m_random.uniform();
        plan();
        m_queue.after(duration(static_cast<std::int64_t>(lengthUs)), [this] {
            advance();
            m_noiseSpeed = 1;
            plan();
            scheduleNoise();
        });
    });
}

void fake_worker::remember()
{
    if (m_lag <= duration(0))
        return;
    m_history.emplace_back(m_queue.now(), load());
    // Keeps one entry older than the lag: that is what a report says now.
    while (m_history.size() > 1 && m_history[1].first + m_lag <= m_queue.now())
        m_history.pop_front();
}

} // namespace almondnotch
