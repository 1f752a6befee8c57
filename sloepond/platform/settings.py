"""The platform's settings file: lines of `a.b=value`, lists joined by commas."""

from __future__ import annotations

import os

from sloepond.runtime.forwarding.process import ForwardingSettings

FILE_VARIABLE = "SLOEPOND_NODE_FILE"
DEFAULT_FILE = "/etc/sloepond/node.conf"
ZONES = "zones."
FILE_NAMES = {"hall": "zone"}
"""Name in the settings file of each field that sloepond names otherwise: a zone of the platform is a hall."""
METRICS_PORT = 9464
"""Port of the figures; `deploy/system.toml` names it too."""


def read_settings(path: str = "") -> ForwardingSettings:
    """Read the settings file.

    :param path: the file; if empty, the one named in the environment.
    :raises OSError: where it cannot be read.
    :raises KeyError: where a field that is needed is missing.
    """
    with open(path or os.environ.get(FILE_VARIABLE, DEFAULT_FILE), encoding="utf-8") as file:
        return parse_settings(file.read())


def parse_settings(text: str) -> ForwardingSettings:
    """Return the settings in the text of a settings file; unknown fields are ignored."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return ForwardingSettings(
        name=fields["node"],
        hall=fields["zone"],
        ip=fields["ip"],
        edge=fields["listen.datagram_addr"],
        readiness=fields["listen.readiness"],
        store=fields["platform.addr"],
        metrics=f"{fields['ip']}:{METRICS_PORT}",
        peer_port=_first_port(fields.get("port_range", "")),
        seeds=_seeds(fields),
        capacity=_capacity(fields),
        regions=_regions(fields),
        cold_factor=_number(fields, "bounds.cold_over", 1.0) or 1.0,
        cold_slack_per_s=_number(fields, "bounds.cold_slack", None),
        kill_after_s=_number(fields, "bounds.grace_s", 0.0) or 0.0,
        change_limit_s=(_number(fields, "bounds.drain_ms", None) or 0.0) / 1000.0,
    )


def _regions(fields: dict[str, str]) -> dict[str, str]:
    """Return the region of each zone."""
    return {name.removeprefix(ZONES): fields[name] for name in fields if name.startswith(ZONES)}


def _number(fields: dict[str, str], name: str, default: float | None) -> float | None:
    """Return a number, a default where it is not told."""
    try:
        return float(fields[name])
    except (KeyError, ValueError):
        return default


def _capacity(fields: dict[str, str]) -> float:
    """Return the share of a core, 1.0 where it is not told."""
    share = _number(fields, "limits.cpu_share", None)
    cores = _number(fields, "limits.cores", 1.0)
    return share * cores if share and cores else 1.0


def _first_port(text: str) -> int:
    first = text.partition(",")[0]
    return int(first) if first.isdigit() else 0


def _seeds(fields: dict[str, str]) -> tuple[str, ...]:
    hosts = (seed.rpartition(":")[0] for seed in fields.get("seeds", "").split(","))
    return tuple(host for host in hosts if host and host != fields["ip"])
