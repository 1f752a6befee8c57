"""Reads the platform's settings file: lines of `a.b=value`, lists separated by commas.

Owns the names of the fields in the file; the rest of the code uses those of `ForwardingSettings`.
Relies only on `process`, since it is imported before the sockets are bound.
"""

from __future__ import annotations

import os

from sloepond.runtime.forwarding.process import ForwardingSettings

FILE_VARIABLE = "SLOEPOND_NODE_FILE"
"""Environment variable with the path of the settings file."""
DEFAULT_FILE = "/etc/sloepond/node.conf"
ZONE_PREFIX = "zones."
"""Prefix of the fields that give a hall's region: `zones.HALL=REGION`."""
MS_PER_S = 1000.0
FILE_NAMES = {"hall": "zone"}
"""Name in the settings file of each setting that has another name here: the platform's zone is a hall."""
METRICS_PORT = 9464
"""Port of the metrics; `deploy/system.toml` must name the same one."""


def read_settings(path: str = "") -> ForwardingSettings:
    """Read the settings file.

    :param path: the file; if empty, the one that the environment names.
    :raises OSError: if it cannot be read.
    :raises KeyError: if a required field is missing.
    """
    with open(path or os.environ.get(FILE_VARIABLE, DEFAULT_FILE), encoding="utf-8") as file:
        return parse_settings(file.read())


def parse_settings(text: str) -> ForwardingSettings:
    """Return the settings in the text of a settings file; unknown fields are skipped.

    :raises KeyError: if a required field is missing.
    """
    file = SettingsText(text)
    fields = file.fields
    return ForwardingSettings(
        name=fields["node"],
        hall=fields["zone"],
        ip=fields["ip"],
        # Receives the callers' packets; `addr` means `ip:port` in every field.
        edge=fields["listen.datagram_addr"],
        readiness=fields["listen.readiness"],
        # The store, the only part of the platform that a balancer calls.
        store=fields["platform.addr"],
        metrics=f"{fields['ip']}:{METRICS_PORT}",
        # First and last port for traffic between balancers; only the first is used.
        peer_port=file.first_port("port_range"),
        # `ip:port` of a few machines; only the addresses are used, since all balancers use `peer_port`.
        seeds=tuple(host for host in file.hosts("seeds") if host != fields["ip"]),
        capacity=_capacity(file),
        regions=_regions(fields),
        # During its cold start a back end may receive `cold_over` times the flows per second that it
        # accepts then, plus `cold_slack` flows per second.
        cold_factor=file.number("bounds.cold_over") or 1.0,
        cold_slack_per_s=file.number("bounds.cold_slack"),
        # Time from SIGTERM to SIGKILL.
        kill_after_s=file.number("bounds.grace_s") or 0.0,
        # Time from the store's acknowledgement of a drain until no new flow may reach the back end.
        change_limit_s=(file.number("bounds.drain_ms") or 0.0) / MS_PER_S,
        ignored=file.ignored,
    )


class SettingsText:
    """The parsed lines of a settings file.

    :ivar fields: values by name.
    :ivar ignored: the reason why a value cannot be used, by name of the field.
    """

    def __init__(self, text: str) -> None:
        self.fields: dict[str, str] = {}
        self.ignored: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self.fields[name.strip()] = value.strip()

    def number(self, name: str, default: float | None = None) -> float | None:
        """Return a field as a number, the default if it is missing or not a number."""
        value = self.fields.get(name)
        if value is None:
            return default
        try:
            return float(value)
        except ValueError:
            self.ignored[name] = f"not a number: {value!r}"
            return default

    def first_port(self, name: str) -> int:
        """Return the first port of `first,last`, 0 if the field is missing or not a port."""
        value = self.fields.get(name, "")
        first = value.partition(",")[0]
        if first.isdigit():
            return int(first)
        if value:
            self.ignored[name] = f"not a port: {value!r}"
        return 0

    def hosts(self, name: str) -> list[str]:
        """Return the hosts in a list of `host:port`, none if the field is missing."""
        value = self.fields.get(name, "")
        addresses = value.split(",") if value else []
        hosts = [address.rpartition(":")[0] for address in addresses]
        if "" in hosts:
            self.ignored[name] = f"not all are host:port: {value!r}"
        return [host for host in hosts if host]


def _regions(fields: dict[str, str]) -> dict[str, str]:
    """Return the region of each hall."""
    return {name.removeprefix(ZONE_PREFIX): fields[name] for name in fields if name.startswith(ZONE_PREFIX)}


def _capacity(file: SettingsText) -> float:
    """Return the processing capacity of this machine in standard cores, 1.0 if the file doesn't say.

    `limits.cores` is not a count: it is the speed of this machine's core relative to a standard one.
    """
    share = file.number("limits.cpu_share")
    cores = file.number("limits.cores", 1.0)
    return share * cores if share and cores else 1.0
