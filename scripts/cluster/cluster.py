"""A cluster of real processes on loopback."""

import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

from . import http, ports
from .config_text import config_text

PEER_KEYS = "k1:0123456789abcdef-cluster"


# Well below the platform's limit of 1 MB per value.
PART_BYTES = 200_000


def split_text(text):
    """Splits a configuration text into parts of about PART_BYTES, only at the blank lines between
    objects."""
    parts, size = [[]], 0
    for block in text.split("\n\n"):
        if size + len(block) > PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(block)
        size += len(block) + 2
    return ["\n\n".join(part) + "\n" for part in parts]


class Gateway:
    """One almondnotchd process."""

    def __init__(self, name, domain, base_port):
        self.name = name
        self.domain = domain
        self.entry = f"127.0.0.1:{base_port}"
        self.peer = f"127.0.0.1:{base_port + 1}"
        self.operator = f"127.0.0.1:{base_port + 2}"
        self.process = None
        self.log = None

    def dump(self):
        return http.get_json(self.operator, "/dump")

    def metric(self, name):
        _, _, body = http.request("GET", self.operator, "/metrics")
        for line in body.splitlines():
            if line.startswith(f"almondnotch_{name} "):
                return float(line.split()[-1])
        return 0.0

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Cluster:
    """Owns all processes of one run and the temporary directory with their logs."""

    def __init__(self, build_dir, gateways=3, failure_domains=3):
        self.build_dir = build_dir
        self.directory = tempfile.mkdtemp(prefix="almondnotch-")
        self.failure_domains = failure_domains
        self.processes = []
        self.services = []
        self.version = 0
        base = ports.reserve_port_range(gateways * 3 + 1)
        self.platform = f"127.0.0.1:{base}"
        self.gateways = [Gateway(f"gw-{index}", f"d{index % failure_domains}", base + 1 + index * 3)
                         for index in range(gateways)]
        self.config_options = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def program(self, relative):
        return os.path.join(self.build_dir, relative)

    def spawn(self, name, command):
        log = open(os.path.join(self.directory, name + ".log"), "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.processes.append(process)
        return process

    def start_platform(self):
        self.spawn("platform", [self.program("tests/standins/platform_standin/platform_standin"),
                                f"--address={self.platform}"])
        self.wait_for(lambda: http.get_json(self.platform, "/control/stats"), 5, "platform")

    def start_workers(self, service, options=()):
        """Starts one process that runs the stand-ins of all workers of a service."""
        base = ports.reserve_port_range(service.workers)
        service.addresses = [f"127.0.0.1:{base + index}" for index in range(service.workers)]
        service.process = self.spawn(
            service.name, [self.program("tools/worker_standin/worker_standin"),
                           f"--workers={service.workers}", f"--base_port={base}",
                           f"--name={service.name}", f"--slots={service.slots}", *options])
        self.wait_for(lambda: http.get_json(service.addresses[-1], "/control/stats"), 5,
                      service.name)
        self.services.append(service)

    def publish(self, text=None):
        """Checks the configuration with almondnotchctl and publishes it as a new version."""
        self.version += 1
        directory = os.path.join(self.directory, f"config-{self.version}")
        os.makedirs(directory)
        if text is None:
            text = config_text(self.services,
                               [(g.name, g.domain, g.entry, g.peer) for g in self.gateways],
                               self.failure_domains, **self.config_options)
        for index, part in enumerate(split_text(text)):
            with open(os.path.join(directory, f"part-{index:03}.toml"), "w",
                      encoding="utf-8") as out:
                out.write(part)
        parts = os.path.join(self.directory, f"parts-{self.version}")
        manifest = subprocess.run(
            [self.program("main/control/almondnotchctl"), "manifest", directory,
             "--config_version", str(self.version), "--out", parts],
            check=True, capture_output=True, text=True).stdout
        for part in os.listdir(parts):
            with open(os.path.join(parts, part), encoding="utf-8") as content:
                self.put_value(f"part/{part}", content.read())
        self.put_value("manifest", manifest)

    def put_value(self, key, text):
        status, _, body = http.request("PUT", self.platform, f"/control/value/{key}", text)
        if status >= 300:
            raise RuntimeError(f"publishing {key} failed with status {status}: {body}")

    def put_vms(self, vms):
        status, _, body = http.request("PUT", self.platform, "/control/vms",
                                       json.dumps({"vms": vms}))
        if status >= 300:
            raise RuntimeError(f"publishing the VM list failed with status {status}: {body}")

    def start_gateway(self, gateway):
        path = os.path.join(self.directory, gateway.name + ".toml")
        seeds = ",".join(g.peer for g in self.gateways if g is not gateway)
        with open(path, "w", encoding="utf-8") as out:
            out.write(f'''[vm]
name = "{gateway.name}"
failure_domain = "{gateway.domain}"
[entry]
address = "{gateway.entry}"
[operator]
address = "{gateway.operator}"
[peer]
address = "{gateway.peer}"
seeds = "{seeds}"
keys = "{PEER_KEYS}"
[platform]
address = "{self.platform}"
''')
        gateway.process = self.spawn(gateway.name, [self.program("main/daemon/almondnotchd"),
                                                    f"--settings={path}"])

    def start_gateways(self):
        for gateway in self.gateways:
            self.start_gateway(gateway)
        self.wait_for(lambda: all(g.dump()["config_version"] == self.version
                                  for g in self.gateways), 15, "configuration in force")

    def start_load(self, service, **options):
        """Starts the load generator with the entry addresses of all gateways; returns its process,
        which prints the result as JSON."""
        return self.start_load_at([g.entry for g in self.gateways], service, **options)

    def start_load_at(self, addresses, service, check=True, **options):
        command = [self.program("tools/load_generator/load_generator"), "--output=json",
                   f"--addresses={','.join(addresses)}", f"--service={service.name}",
                   f"--read_path=/{service.name}/read", f"--book_path=/{service.name}/book"]
        if check:
            command.append(f"--worker_controls={service.addresses[0]}")
        command += [f"--{name}={value}" for name, value in options.items()]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
                                   text=True)
        self.processes.append(process)
        return process

    @staticmethod
    def load_result(process, timeout=120):
        """Waits for a load run; returns its exit code and JSON result."""
        out, err = process.communicate(timeout=timeout)
        if not out.strip():
            raise RuntimeError(f"load generator failed: {err}")
        return process.returncode, json.loads(out)

    @staticmethod
    def wait_for(condition, seconds, description):
        end = time.monotonic() + seconds
        last = None
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except Exception as failure:  # The process may not be listening yet.
                last = failure
            time.sleep(0.05)
        raise RuntimeError(
            f"{description}: condition not met within {seconds} s (last error: {last})")

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
            for stream in (process.stdout, process.stderr):
                if stream:
                    stream.close()
        if not os.environ.get("ALMONDNOTCH_KEEP_LOGS"):
            shutil.rmtree(self.directory, ignore_errors=True)
