"""Reads the platform's settings file: lines of `a.b=value`, lists joined by commas.

Owns the names of the fields; elsewhere settings have names of our own.  Relies on nothing but
`process`, as it is loaded before the sockets are bound.
"""

from __future__ import annotations

import os

from sloepond.runtime.forwarding.process import ForwardingSettings

FILE_VARIABLE = "SLOEPOND_NODE_FILE"
"""Environment variable that names the settings file."""
DEFAULT_FILE = "/etc/sloepond/node.conf"
ZONES = "zones."
"""What the names of fields begin with that tell a hall's region: `zones.HALL=REGION`."""
MS_PER_S = 1000.0
FILE_NAMES = {"hall": "zone"}
"""Name in the settings file of each field that sloepond names otherwise: a zone of the platform is a hall."""
METRICS_PORT = 9464
"""Port of the figures; `deploy/system.toml` names it too."""


def read_settings(path: str = "") -> ForwardingSettings:
    """Read the settings file.

    :param path: the file; if empty, the one named in the environment.
    :raises OSError: if it cannot be read.
    :raises KeyError: if a field that is needed is missing.
    """
    with open(path or os.environ.get(FILE_VARIABLE, DEFAULT_FILE), encoding="utf-8") as file:
        return parse_settings(file.read())


def parse_settings(text: str) -> ForwardingSettings:
    """Return the settings in the text of a settings file; unknown fields are skipped.

    :raises KeyError: if a field that is needed is missing.
    """
    file = SettingsText(text)
    fields = file.fields
    return ForwardingSettings(
        name=fields["node"],
        hall=fields["zone"],
        ip=fields["ip"],
        # The callers' packets come here; `addr` names ip:port in all fields.
        edge=fields["listen.datagram_addr"],
        readiness=fields["listen.readiness"],
        # The address of the store, the only part of the platform that is called.
        store=fields["platform.addr"],
        metrics=f"{fields['ip']}:{METRICS_PORT}",
        # First and last port of those that balancers may use among each other; one is enough.
        peer_port=file.first_port("port_range"),
        # `ip:port` of a few machines; balancers use their own port, so only the addresses count.
        seeds=tuple(host for host in file.hosts("seeds") if host != fields["ip"]),
        capacity=_capacity(file),
        regions=_regions(fields),
        # A back end that is slow after its start may be given its flows a second times `cold_over`,
        # and `cold_slack` flows a second more.
        cold_factor=file.number("bounds.cold_over") or 1.0,
        cold_slack_per_s=file.number("bounds.cold_slack"),
        # From SIGTERM to SIGKILL.
        kill_after_s=file.number("bounds.grace_s") or 0.0,
        # From a drain that the store has taken until no new flow may reach the back end.
        change_limit_s=(file.number("bounds.drain_ms") or 0.0) / MS_PER_S,
        ignored=file.ignored,
    )


class SettingsText:
    """The lines of a settings file.

    :ivar fields: values by name.
    :ivar ignored: why the value of a field cannot be used, by name.
    """

    def __init__(self, text: str) -> None:
        self.fields: dict[str, str] = {}
        self.ignored: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self.fields[name.strip()] = value.strip()

    def number(self, name: str, default: float | None = None) -> float | None:
        """Return a number, the default if the field is missing or holds none."""
        value = self.fields.get(name)
        if value is None:
            return default
        try:
            return float(value)
        except ValueError:
            self.ignored[name] = f"no number: {value!r}"
            return default

    def first_port(self, name: str) -> int:
        """Return the first port of `first,last`, 0 if the field is missing or holds none."""
        value = self.fields.get(name, "")
        first = value.partition(",")[0]
        if first.isdigit():
            return int(first)
        if value:
            self.ignored[name] = f"no port: {value!r}"
        return 0

    def hosts(self, name: str) -> list[str]:
        """Return the hosts of a list of `host:port`, empty if the field is missing."""
        value = self.fields.get(name, "")
        addresses = value.split(",") if value else []
        hosts = [address.rpartition(":")[0] for address in addresses]
        if "" in hosts:
            self.ignored[name] = f"not all are host:port: {value!r}"
        return [host for host in hosts if host]


def _regions(fields: dict[str, str]) -> dict[str, str]:
    """Return the region of each hall."""
    return {name.removeprefix(ZONES): fields[name] for name in fields if name.startswith(ZONES)}


def _capacity(file: SettingsText) -> float:
    """Return the processor of this machine in usual cores, 1.0 if the file doesn't say.

    `limits.cores` is no count: it tells how many times as fast as usual the machine's core is.
    """
    share = file.number("limits.cpu_share")
    cores = file.number("limits.cores", 1.0)
    return share * cores if share and cores else 1.0
