#include "tests/decision/balance/balance_scenario.h"

#include <algorithm>
#include <memory>

#include "core/counters.h"
#include "core/invariants.h"
#include "core/random_source.h"
#include "decision/balance/balancer.h"
#include "tests/decision/driver/event_queue.h"
#include "tests/decision/driver/fake_link.h"

namespace almondnotch {

namespace {

/// Bytes of one probe: request and response of the load endpoint with HTTP headers.
constexpr std::uint32_t probeBytes = 400;
/// Time until the deadline that is passed to each selection. The calls of the scenario have no
/// deadline; 30 s is longer than any response time.
constexpr duration callTimeLeft = seconds(30);
/// Maximum number of attempts per call: a rejected call is retried once, on another worker.
constexpr unsigned attemptsMax = 2;

/// Detects probes that a token bucket with a capacity of one token and this rate would not have
/// permitted.
class rate_checker
{
public:
    explicit rate_checker(double rate) : m_intervalS(rate > 0 ? 1 / rate : 1e9) { }

    /// Records a probe.
    /// \return true if the rate does not permit it yet.
    bool exceeds(instant now)
    {
        const double nowS = toSeconds(now.sinceOrigin());
        // Allows 10 us for the rounding of instants.
        const bool tooEarly = nowS + 1e-5 < m_nextS;
        m_nextS = std::max(nowS, m_nextS) + m_intervalS;
        return tooEarly;
    }

private:
    double m_intervalS;
    double m_nextS = 0;
};

/// A gateway, reduced to its balancer.
struct simulated_gateway
{
    explicit simulated_gateway(std::uint64_t seed) : random(seed) { }

    unsigned failureDomainIndex = 0;
    random_source random;
    invariant_set invariants;
    counter_set counters;
    std::unique_ptr<balancer> loadBalancer;
    /// One for each worker.
    std::vector<rate_checker> probeRateCheckers;
    instant wakeAt = instant::never();
};

/// A call and the workers that its attempts were sent to.
struct call_state
{
    std::size_t gateway = 0;
    const worker_group *group = nullptr;
    instant arrivedAt;
    std::vector<worker_index> triedWorkers;
};

using shared_call = std::shared_ptr<call_state>;

class scenario
{
public:
    explicit scenario(const scenario_settings &settings);
    scenario_result run();

private:
    config_objects makeConfig() const;
    void addGateway(std::size_t gatewayIndex);
    void applyFault(const scheduled_fault &fault);
    void scheduleArrival(std::size_t service);
    void startAttempt(const shared_call &call);
    void finishAttempt(const shared_call &call, worker_index worker, instant startedAt,
                       const fake_response &response);
    void runProbes(std::size_t gatewayIndex);
    void sendProbe(std::size_t gatewayIndex, worker_index worker, std::size_t workerIndex);
    void pollWorkers(std::size_t gatewayIndex);
    duration networkDelay(const simulated_gateway &gateway, std::size_t worker) const;
    /// True if a call or attempt that starts at this time counts in the result.
    bool isMeasured(instant at) const { return at >= instant(m_settings.unmeasuredTime); }

    const scenario_settings &m_settings;
    event_queue m_queue;
    random_source m_random;
    shared_config m_config;
    std::vector<std::unique_ptr<fake_worker>> m_workers;
    /// Index of the failure domain of each worker.
    std::vector<unsigned> m_workerFailureDomains;
    std::vector<std::unique_ptr<simulated_gateway>> m_gateways;
    /// Mean time between two calls of each service, in microseconds.
    std::vector<double> m_interarrivalUs;
    std::vector<std::uint64_t> m_probesByWorker;
    std::vector<std::uint64_t> m_attempts;
    /// Response times in ms.
    std::vector<float> m_latencies;
    std::uint64_t m_calls = 0;
    std::uint64_t m_rejected = 0;
    std::uint64_t m_usefulResponses = 0;
    std::uint64_t m_probes = 0;
    std::uint64_t m_probeBytes = 0;
    std::uint64_t m_overruns = 0;
};

scenario::scenario(const scenario_settings &settings)
    : m_settings(settings), m_random(mixBits(settings.seed))
{
    m_config = config_set::create(1, "0", makeConfig());
    for (const worker_config &entry : m_config->objects().workers) {
        m_workers.push_back(std::make_unique<fake_worker>(
            m_queue, m_settings.seed * 1000 + m_workers.size(), m_settings.deployment.worker));
        m_workerFailureDomains.push_back(
            static_cast<unsigned>(std::stoul(entry.failureDomain.substr(1))));
    }
    m_probesByWorker.resize(m_workers.size());
    m_attempts.resize(m_workers.size());
    for (const scheduled_fault &fault : settings.faults)
        m_queue.at(instant(fault.at), [this, fault] { applyFault(fault); });
    const std::size_t gatewayCount = 13 + settings.seed % 4;
    for (std::size_t gatewayIndex = 0; gatewayIndex < gatewayCount; ++gatewayIndex)
        addGateway(gatewayIndex);
    for (std::size_t service = 0; service < settings.deployment.workersPerService.size();
         ++service) {
        const double perSecond = settings.load * settings.deployment.workersPerService[service]
                                 * settings.deployment.worker.slots
                                 / toSeconds(settings.deployment.worker.serviceMean);
        m_interarrivalUs.push_back(1e6 / perSecond);
        scheduleArrival(service);
    }
}

config_objects scenario::makeConfig() const
{
    const deployment_profile &deployment = m_settings.deployment;
    config_objects out;
    out.limits.selection = m_settings.strategy;
    for (unsigned failureDomainIndex = 0; failureDomainIndex < deployment.failureDomainCount;
         ++failureDomainIndex)
        out.failureDomains.push_back(
            {"d" + std::to_string(failureDomainIndex), "r", deployment.oneWayDelay});
    out.budgets.push_back({"budget", m_settings.probesPerSecond, m_settings.bytesPerSecond});
    for (std::size_t service = 0; service < deployment.workersPerService.size(); ++service) {
        const std::string group = "g" + std::to_string(service);
        out.groups.push_back(
            {group, "budget", deployment.worker.slots, deployment.connectionsPerWorker, 0.3});
        for (unsigned i = 0; i < deployment.workersPerService[service]; ++i) {
            const std::size_t workerNumber = out.workers.size();
            const std::string name = "w" + std::to_string(workerNumber);
            out.workers.push_back(
                {name, group, "d" + std::to_string(workerNumber % deployment.failureDomainCount),
                 "vm" + std::to_string(workerNumber),
                 "127.0.0.1:" + std::to_string(10000 + workerNumber)});
        }
    }
    return out;
}

void scenario::addGateway(std::size_t gatewayIndex)
{
    m_gateways.push_back(
        std::make_unique<simulated_gateway>(mixBits(m_settings.seed * 1000 + gatewayIndex)));
    simulated_gateway &gateway = *m_gateways.back();
    gateway.failureDomainIndex
        = static_cast<unsigned>(gatewayIndex % m_settings.deployment.failureDomainCount);
    balancer_settings balancerSettings;
    balancerSettings.failureDomain = "d" + std::to_string(gateway.failureDomainIndex);
    balancerSettings.selectionSeed = gatewayIndex;
    balancerSettings.tuning = m_settings.tuning;
    gateway.loadBalancer
        = balancer::create(balancerSettings, gateway.random, gateway.invariants, gateway.counters);
    gateway.loadBalancer->applyConfig(m_queue.now(), m_config);
    const double rate = m_settings.probesPerSecond / m_config->objects().limits.maxGateways;
    gateway.probeRateCheckers.assign(m_workers.size(), rate_checker(rate));
    runProbes(gatewayIndex);
    if (m_settings.pollInterval > duration(0)) {
        const std::uint64_t interval = static_cast<std::uint64_t>(m_settings.pollInterval.count());
        m_queue.after(duration(static_cast<std::int64_t>(m_random.below(interval))),
                      [this, gatewayIndex] { pollWorkers(gatewayIndex); });
    }
}

void scenario::applyFault(const scheduled_fault &fault)
{
    fake_worker &worker = *m_workers[fault.worker];
    switch (fault.kind) {
    case worker_fault::slow:
        worker.setSpeed(0.1);
        break;
    case worker_fault::slow_but_reports_idle:
        worker.setSpeed(0.1);
        worker.setFalseReport(load_report {0, 0, m_settings.deployment.worker.slots});
        break;
    case worker_fault::fails_fast:
        worker.setFailFast(true);
        break;
    case worker_fault::drains:
        worker.setDraining(true);
        break;
    case worker_fault::reports_late:
        worker.setReportLag(seconds(2));
        break;
    }
}

void scenario::scheduleArrival(std::size_t service)
{
    const duration interarrival(
        static_cast<std::int64_t>(m_random.exponential(m_interarrivalUs[service])));
    m_queue.after(interarrival, [this, service] {
        scheduleArrival(service);
        const shared_call call = std::make_shared<call_state>();
        call->gateway = m_random.below(m_gateways.size());
        call->group = &m_config->objects().groups[service];
        call->arrivedAt = m_queue.now();
        m_calls += isMeasured(m_queue.now()) ? 1 : 0;
        startAttempt(call);
    });
}

void scenario::startAttempt(const shared_call &call)
{
    simulated_gateway &gateway = *m_gateways[call->gateway];
    const std::optional<selected_worker> chosen = gateway.loadBalancer->select(
        {call->group, call->triedWorkers, callTimeLeft, m_queue.now()});
    if (!chosen) {
        m_rejected += isMeasured(call->arrivedAt) ? 1 : 0;
        return;
    }
    const worker_index worker = chosen->worker;
    const instant startedAt = m_queue.now();
    gateway.loadBalancer->attemptStarted(startedAt, worker);
    call->triedWorkers.push_back(worker);
    m_attempts[static_cast<std::size_t>(worker)] += isMeasured(startedAt) ? 1 : 0;
    // Worker indexes equal the positions in the configuration, since it is applied only once.
    const std::size_t workerIndex = static_cast<std::size_t>(worker);
    m_queue.after(networkDelay(gateway, workerIndex), [this, call, worker, startedAt, workerIndex] {
        m_workers[workerIndex]->submit(
            [this, call, worker, startedAt, workerIndex](const fake_response &response) {
                m_queue.after(networkDelay(*m_gateways[call->gateway], workerIndex),
                              [this, call, worker, startedAt, response] {
                                  finishAttempt(call, worker, startedAt, response);
                              });
            });
    });
}

void scenario::finishAttempt(const shared_call &call, worker_index worker, instant startedAt,
                             const fake_response &response)
{
    const instant now = m_queue.now();
    m_gateways[call->gateway]->loadBalancer->attemptFinished(
        now, {worker, response.end, now - startedAt, response.status, response.rejectedBeforeRun,
              response.load});
    if (response.rejectedBeforeRun && call->triedWorkers.size() < attemptsMax) {
        startAttempt(call);
        return;
    }
    if (!isMeasured(call->arrivedAt))
        return;
    if (response.rejectedBeforeRun) {
        ++m_rejected;
        return;
    }
    const duration elapsed = now - call->arrivedAt;
    m_latencies.push_back(static_cast<float>(toSeconds(elapsed) * 1000));
    m_usefulResponses += response.status == 200 && elapsed <= m_settings.callerTimeout ? 1 : 0;
}

void scenario::runProbes(std::size_t gatewayIndex)
{
    simulated_gateway &gateway = *m_gateways[gatewayIndex];
    for (const probe_request &probeRequest : gateway.loadBalancer->dueProbes(m_queue.now())) {
        const std::size_t workerIndex = static_cast<std::size_t>(probeRequest.worker);
        ++m_probesByWorker[workerIndex];
        m_overruns += gateway.probeRateCheckers[workerIndex].exceeds(m_queue.now()) ? 1 : 0;
        sendProbe(gatewayIndex, probeRequest.worker, workerIndex);
    }
    const instant wake = gateway.loadBalancer->nextWake();
    if (wake != instant::never())
        m_queue.at(std::max(wake, m_queue.now() + microseconds(1)),
                   [this, gatewayIndex] { runProbes(gatewayIndex); });
}

void scenario::sendProbe(std::size_t gatewayIndex, worker_index worker, std::size_t workerIndex)
{
    const duration oneWayDelay = networkDelay(*m_gateways[gatewayIndex], workerIndex);
    if (isMeasured(m_queue.now())) {
        ++m_probes;
        m_probeBytes += probeBytes;
    }
    m_queue.after(oneWayDelay, [this, gatewayIndex, worker, workerIndex, oneWayDelay] {
        const load_report report = m_workers[workerIndex]->report();
        m_queue.after(oneWayDelay, [this, gatewayIndex, worker, report] {
            m_gateways[gatewayIndex]->loadBalancer->probeFinished(m_queue.now(), worker, report,
                                                                  probeBytes);
        });
    });
}

void scenario::pollWorkers(std::size_t gatewayIndex)
{
    for (std::size_t workerIndex = 0; workerIndex < m_workers.size(); ++workerIndex)
        sendProbe(gatewayIndex, worker_index(static_cast<std::uint32_t>(workerIndex)), workerIndex);
    m_queue.after(m_settings.pollInterval, [this, gatewayIndex] { pollWorkers(gatewayIndex); });
}

duration scenario::networkDelay(const simulated_gateway &gateway, std::size_t worker) const
{
    // The delay within a failure domain is a tenth of the delay between failure domains.
    return gateway.failureDomainIndex == m_workerFailureDomains[worker]
               ? m_settings.deployment.oneWayDelay / 10
               : m_settings.deployment.oneWayDelay;
}

scenario_result scenario::run()
{
    const instant end(m_settings.unmeasuredTime + m_settings.measuredTime);
    m_queue.runUntil(end);
    scenario_result out;
    std::sort(m_latencies.begin(), m_latencies.end());
    const std::size_t count = m_latencies.size();
    if (count > 0) {
        out.p50 = m_latencies[count / 2];
        out.p99 = m_latencies[count * 99 / 100];
        out.p999 = m_latencies[count * 999 / 1000];
    }
    const double measuredS = toSeconds(m_settings.measuredTime);
    const double workers = static_cast<double>(m_workers.size());
    const double capacity = workers * m_settings.deployment.worker.slots
                            / toSeconds(m_settings.deployment.worker.serviceMean);
    out.calls = m_calls;
    out.rejectedShare = static_cast<double>(m_rejected)
                        / static_cast<double>(std::max<std::uint64_t>(1, m_calls));
    out.goodputShare = static_cast<double>(m_usefulResponses) / measuredS / capacity;
    out.probeRate = static_cast<double>(m_probes) / measuredS / workers;
    out.probeByteRate = static_cast<double>(m_probeBytes) / measuredS / workers;
    if (m_settings.probesPerSecond > 0 && m_settings.pollInterval == duration(0))
        out.budgetShare = out.probeRate / m_settings.probesPerSecond;
    // In the whole run, all gateways together may send a worker no more probes than its budget
    // allows; each probe beyond that is an overrun.
    const double allowed = m_settings.probesPerSecond * toSeconds(end.sinceOrigin());
    for (const std::uint64_t probes : m_probesByWorker) {
        if (static_cast<double>(probes) > allowed)
            m_overruns += probes - static_cast<std::uint64_t>(allowed);
    }
    out.overruns = m_overruns;
    for (const std::unique_ptr<simulated_gateway> &gateway : m_gateways)
        out.invariantFailures += gateway->invariants.failures();
    out.attempts = m_attempts;
    out.events = m_queue.executedCount();
    return out;
}

} // namespace

deployment_profile kestrelwood()
{
    deployment_profile out;
    out.name = "kestrelwood";
    out.failureDomainCount = 3;
    out.oneWayDelay = milliseconds(1);
    out.workersPerService = {13, 7, 6, 6};
    out.connectionsPerWorker = 220;
    out.worker.slots = 6;
    out.worker.queueMax = 48;
    out.worker.serviceMean = milliseconds(8);
    out.worker.serviceVariation = 0.7;
    return out;
}

deployment_profile obrtHorvatic()
{
    deployment_profile out;
    out.name = "obrt_horvatic";
    out.failureDomainCount = 4;
    out.oneWayDelay = microseconds(1500);
    out.workersPerService = {17, 9, 8, 8};
    out.connectionsPerWorker = 240;
    out.worker.slots = 4;
    out.worker.queueMax = 32;
    out.worker.serviceMean = milliseconds(5);
    out.worker.serviceVariation = 0.5;
    return out;
}

noise_profile noisyNeighbours()
{
    noise_profile out;
    out.meanInterval = seconds(2);
    return out;
}

scenario_result runScenario(const scenario_settings &settings)
{
    return scenario(settings).run();
}

} // namespace almondnotch
