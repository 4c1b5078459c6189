"""TOML text of a published configuration for a cluster on loopback."""

from dataclasses import dataclass, field


@dataclass
class Service:
    """A service with its worker group; reads use /NAME/read/..., bookings /NAME/book/..."""

    name: str
    workers: int
    slots: int = 6
    connections: int = 220
    addresses: list = field(default_factory=list)


def config_text(services, gateways, failure_domains=3, max_gateways=16, selection="expected_wait",
                entry_keep_ms=2000, probes_per_second=10):
    """Returns the text of a complete configuration.

    gateways: list of (name, domain, entry address, peer address)."""
    lines = ["[limits]", f"max_gateways = {max_gateways}", f"entry_keep_ms = {entry_keep_ms}",
             f'selection = "{selection}"', ""]
    for index in range(failure_domains):
        lines += ["[[failure_domain]]", f'name = "d{index}"', 'region = "r"', "one_way_ms = 1", ""]
    for name, domain, entry, peer in gateways:
        lines += ["[[entry_vm]]", f'name = "{name}"', f'failure_domain = "{domain}"',
                  f'entry_address = "{entry}"', f'peer_address = "{peer}"', ""]
    lines += ["[[budget]]", 'name = "probes"', f"probes_per_second = {probes_per_second}",
              f"bytes_per_second = {probes_per_second * 2000}", "",
              "[[class]]", 'name = "normal"', "rank = 0", ""]
    for service in services:
        lines += _service_lines(service, failure_domains)
    return "\n".join(lines) + "\n"


def _service_lines(service, failure_domains):
    lines = ["[[group]]", f'name = "{service.name}"', 'budget = "probes"',
             f"slots = {service.slots}", f"connections = {service.connections}", "",
             "[[service]]", f'name = "{service.name}"', f'group = "{service.name}"',
             'class = "normal"', "timeout_ms = 5000", ""]
    for kind, idempotent in (("read", "true"), ("book", "false")):
        lines += ["[[rule]]", f'name = "{service.name}-{kind}"',
                  f'path_prefix = "/{service.name}/{kind}"', f'service = "{service.name}"',
                  f"idempotent = {idempotent}", ""]
    for index, address in enumerate(service.addresses):
        lines += ["[[worker]]", f'name = "{service.name}-{index}"', f'group = "{service.name}"',
                  f'failure_domain = "d{index % failure_domains}"',
                  f'vm = "vm-{service.name}-{index}"', f'address = "{address}"', ""]
    return lines
