"""Measures fleets of real gateways on loopback, for several numbers of gateways: time until all
serve, time until a configuration change is in force, control traffic, CPU, memory and platform
reads. Prints name=value lines."""

import sys
import time

from cluster import http
from cluster.cluster import Cluster
from cluster.config_text import Service

CHANGES = 5


def total(cluster, metric):
    return sum(gateway.metric(metric) for gateway in cluster.gateways)


def propagation_times(cluster):
    """Seconds from the publication of a change until it is in force, per gateway and change,
    sorted; 20 if it was not in force by then."""
    times = []
    for _ in range(CHANGES):
        cluster.publish()
        published = time.monotonic()
        waiting = list(cluster.gateways)
        while waiting and time.monotonic() < published + 20:
            # Each check is an HTTP request, which adds a few milliseconds to the measured times.
            for gateway in list(waiting):
                if gateway.metric("config_version") == cluster.version:
                    times.append(time.monotonic() - published)
                    waiting.remove(gateway)
        times += [20.0] * len(waiting)
        time.sleep(0.5)
    return sorted(times)


def measure(build, gateways, seconds):
    service = Service("idle", workers=20)
    with Cluster(build, gateways=gateways) as cluster:
        cluster.config_options = {"max_gateways": 256, "probes_per_second": 10}
        service.connections = 512
        cluster.start_platform()
        cluster.start_workers(service)
        cluster.publish()
        started = time.monotonic()
        cluster.start_gateways()
        print(f"gateways_{gateways}_all_serving_s={time.monotonic() - started:.2f}")
        time.sleep(10)
        cpu = sum(gateway.cpu_seconds() for gateway in cluster.gateways)
        transferred = total(cluster, "peer_bytes_sent_total") + total(
            cluster, "peer_bytes_received_total")
        stats_before = http.get_json(cluster.platform, "/control/stats")
        time.sleep(seconds)
        cpu = sum(gateway.cpu_seconds() for gateway in cluster.gateways) - cpu
        transferred = total(cluster, "peer_bytes_sent_total") + total(
            cluster, "peer_bytes_received_total") - transferred
        stats_after = http.get_json(cluster.platform, "/control/stats")
        print(f"gateways_{gateways}_cpu_percent={cpu / seconds / gateways * 100:.2f}")
        print(f"gateways_{gateways}_control_kb_per_s={transferred / seconds / gateways / 1000:.2f}")
        print(f"gateways_{gateways}_rss_mb="
              f"{sum(g.rss_mb() for g in cluster.gateways) / gateways:.1f}")
        print(f"gateways_{gateways}_platform_calls_per_s="
              f"{(stats_after['calls_total'] - stats_before['calls_total']) / seconds:.2f}")
        times = propagation_times(cluster)
        print(f"gateways_{gateways}_change_p50_s={times[len(times) // 2]:.3f}")
        print(f"gateways_{gateways}_change_p99_s={times[int(len(times) * 0.99)]:.3f}")
        print(f"gateways_{gateways}_change_max_s={times[-1]:.3f}", flush=True)


def main(build, sizes):
    for gateways in sizes:
        measure(build, gateways, seconds=10)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build",
                  [int(size) for size in sys.argv[2:]] or [3, 16, 48]))
