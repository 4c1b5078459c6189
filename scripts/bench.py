"""Measures one gateway: latency added to direct calls to the same workers, idle cost in a fleet,
throughput by number of workers, and memory by number of services. Prints name=value lines."""

import sys
import time

from cluster.cluster import Cluster
from cluster.config_text import Service, config_text


def run_load(cluster, addresses, service, rate, seconds, direct, seed):
    return cluster.load_result(cluster.start_load_at(addresses, service, check=False, rate=rate,
                                                     seconds=seconds, read_share=1.0,
                                                     direct=int(direct), seed=seed))[1]


def added_latency(build, rate, seconds):
    """Alternates calls through a gateway and direct calls, so that machine noise affects both."""
    service = Service("bench", workers=20, slots=50)
    with Cluster(build, gateways=1) as cluster:
        cluster.start_platform()
        cluster.start_workers(service, ["--service_ms=2", "--distribution=constant"])
        cluster.config_options = {"max_gateways": 1}
        cluster.publish()
        cluster.start_gateways()
        gateway = cluster.gateways[0]
        run_load(cluster, [gateway.entry], service, rate, 1, False, 99)
        via_gateway, direct, cpu = [], [], 0.0
        for turn in range(3):
            direct.append(run_load(cluster, service.addresses, service, rate, seconds, True, turn))
            before = gateway.cpu_seconds()
            via_gateway.append(
                run_load(cluster, [gateway.entry], service, rate, seconds, False, turn))
            cpu += gateway.cpu_seconds() - before
        calls = sum(result["succeeded"] for result in via_gateway)
        failed = sum(result["planned"] - result["succeeded"] for result in via_gateway + direct)
        print(f"offered_calls_per_s={rate}")
        print(f"calls_per_s={calls / sum(result['elapsed_s'] for result in via_gateway):.0f}")
        print(f"failed={failed}")
        for quantile in ("p50_ms", "p99_ms", "p999_ms"):
            with_gateway = median([result[quantile] for result in via_gateway])
            without = median([result[quantile] for result in direct])
            print(f"direct_{quantile}={without:.2f}")
            print(f"added_{quantile}={with_gateway - without:.2f}")
        print(f"cpu_us_per_call={cpu / max(calls, 1) * 1e6:.0f}")
        print(f"rss_mb={gateway.rss_mb():.1f}")


def idle_cost(build, gateways, seconds):
    """Measures the idle cost of one gateway in a fleet: CPU, memory and control traffic."""
    service = Service("idle", workers=20)
    with Cluster(build, gateways=gateways) as cluster:
        cluster.start_platform()
        cluster.start_workers(service)
        cluster.publish()
        cluster.start_gateways()
        time.sleep(2)
        gateway = cluster.gateways[0]
        cpu = gateway.cpu_seconds()
        transferred_before = gateway.metric("peer_bytes_sent_total") + gateway.metric(
            "peer_bytes_received_total")
        time.sleep(seconds)
        transferred = (gateway.metric("peer_bytes_sent_total")
                       + gateway.metric("peer_bytes_received_total") - transferred_before)
        print(f"idle_gateways={gateways}")
        print(f"idle_cpu_percent={(gateway.cpu_seconds() - cpu) / seconds * 100:.2f}")
        print(f"idle_rss_mb={gateway.rss_mb():.1f}")
        print(f"control_kb_per_s={transferred / seconds / 1000:.2f}")


def median(values):
    return sorted(values)[len(values) // 2]


def throughput_by_workers(build):
    for workers in (1, 10, 100):
        service = Service("slope", workers=workers, slots=200, connections=2000)
        with Cluster(build, gateways=1) as cluster:
            cluster.start_platform()
            cluster.start_workers(service, ["--service_ms=1", "--distribution=constant"])
            cluster.config_options = {"max_gateways": 1}
            cluster.publish()
            cluster.start_gateways()
            gateway = cluster.gateways[0]
            before = gateway.cpu_seconds()
            result = run_load(cluster, [gateway.entry], service, 3000, 3, False, 1)
            cpu = gateway.cpu_seconds() - before
            print(f"workers_{workers}_calls_per_s={result['succeeded'] / result['elapsed_s']:.0f}")
            print(f"workers_{workers}_p99_ms={result['p99_ms']:.2f}")
            print(f"workers_{workers}_cpu_us_per_call={cpu / max(result['succeeded'], 1) * 1e6:.0f}")


def memory_by_services(build):
    for services in (10, 100, 1000):
        with Cluster(build, gateways=1) as cluster:
            cluster.start_platform()
            for index in range(services):
                service = Service(f"s{index}", workers=11)
                service.addresses = [f"192.0.{2 + index // 100}.{1 + index % 100}:{7000 + worker}"
                                     for worker in range(11)]
                cluster.services.append(service)
            cluster.config_options = {"probes_per_second": 0.1}
            cluster.publish()
            cluster.start_gateways()
            print(f"services_{services}_config_bytes="
                  f"{len(config_text(cluster.services, [], 3))}")
            print(f"services_{services}_rss_mb={cluster.gateways[0].rss_mb():.1f}")


def main(build):
    added_latency(build, rate=2000, seconds=5)
    idle_cost(build, gateways=16, seconds=10)
    throughput_by_workers(build)
    memory_by_services(build)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
