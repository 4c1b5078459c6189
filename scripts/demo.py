"""Demonstration started by scripts/demo.sh: exits with 1 if a response is incorrect, missing or
truncated, if a booking was executed twice or reported with a false outcome, or if fewer than 2000
calls were made."""

import signal
import sys
import time

from cluster import http
from cluster.cluster import Cluster
from cluster.config_text import Service


def main(build):
    catalogue = Service("catalogue", workers=6)
    orders = Service("orders", workers=6)
    with Cluster(build, gateways=3) as cluster:
        cluster.start_platform()
        for service in (catalogue, orders):
            cluster.start_workers(service, ["--service_ms=4"])
        cluster.publish()
        cluster.start_gateways()
        print(f"started: platform, {catalogue.workers + orders.workers} workers, "
              f"{len(cluster.gateways)} gateways")
        runs = [cluster.start_load(service, rate=130, seconds=10, read_share=share, seed=seed)
                for seed, (service, share) in enumerate(((catalogue, 0.9), (orders, 0.3)), 1)]
        time.sleep(3)
        status, _, _ = http.request("POST", orders.addresses[2], "/control/set?state=draining")
        print(f"drained worker orders-2 (status {status})")
        time.sleep(1)
        leaving = cluster.gateways[1]
        leaving.process.send_signal(signal.SIGTERM)
        print(f"sent SIGTERM to {leaving.name}")
        results = [cluster.load_result(run) for run in runs]
        leaving.process.wait(timeout=30)
        print(f"{leaving.name} exited with code {leaving.process.returncode}")
    return report(results)


def report(results):
    names = ["planned", "succeeded", "not_run", "unknown", "failed", "wrong", "bookings", "doubled",
             "false_not_run", "never_executed", "sent_again", "p50_ms", "p99_ms"]
    print(f"\n{'':16}{'catalogue':>12}{'orders':>12}")
    for name in names:
        values = [result.get(name, 0) for _, result in results]
        print(f"{name:16}" + "".join(f"{value:12.2f}" if isinstance(value, float)
                                     else f"{value:12d}" for value in values))
    bad = any(code != 0 or result["succeeded"] != result["planned"] for code, result in results)
    total = sum(result["planned"] for _, result in results)
    print(f"\n{total} calls: {'FAILED' if bad or total < 2000 else 'all responses complete and correct'}")
    return 1 if bad or total < 2000 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
