"""Settings files of the demo's balancers.

Generates the key that all balancers share and the token of their API; both are valid for one demo.
Relies on: `runtime.settings` for the structure of the file.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from pathlib import Path

import msgspec

from sloepond.core.settings import MembershipSettings, NodeSettings
from sloepond.demo.addresses import (
    API_PORT,
    BACKEND_FACING_PORT,
    EDGE_PORT,
    FIRST_BALANCER_HOST,
    PEER_PORT,
    LoopbackNetwork,
)
from sloepond.resources.model import Location
from sloepond.runtime.settings import ApiSettings, BalancerSettings, KeySettings, PlatformSettings

_KEY_BYTES = 32
"""Random bytes of the key that balancers share; the settings allow 16 to 64."""
_TOKEN_BYTES = 24
"""Random bytes of the token of the API."""


class PlannedBalancer(msgspec.Struct, frozen=True):
    """A balancer to be started.

    :ivar file: its settings file.
    :ivar api_url: URL of its operators' API.
    """

    settings: BalancerSettings
    file: Path
    api_url: str

    @property
    def name(self) -> str:
        """Name of the balancer."""
        return self.settings.name


def plan_balancers(
    locations: Sequence[Location], network: LoopbackNetwork, platform_url: str, directory: Path
) -> list[PlannedBalancer]:
    """Write a settings file for one balancer per location; all share one key and one token."""
    key = KeySettings(id=1, secret=secrets.token_hex(_KEY_BYTES))
    token = secrets.token_hex(_TOKEN_BYTES)
    hosts = [FIRST_BALANCER_HOST + index for index in range(len(locations))]
    membership = MembershipSettings(seeds=tuple(network.address(host, PEER_PORT) for host in hosts))
    planned = []
    for host, location in zip(hosts, locations, strict=True):
        settings = BalancerSettings(
            name=_balancer_name(host),
            location=location,
            edge_address=network.address(host, EDGE_PORT),
            backend_address=network.address(host, BACKEND_FACING_PORT),
            peer_address=network.address(host, PEER_PORT),
            api_address=network.address(host, API_PORT),
            keys=(key,),
            platform=PlatformSettings(url=platform_url),
            api=ApiSettings(write_tokens=(token,)),
            node=NodeSettings(membership=membership),
        )
        planned.append(_write(settings, directory, settings.name))
    return planned


def plan_replacement(
    planned: PlannedBalancer, name: str, host: int, network: LoopbackNetwork, directory: Path
) -> PlannedBalancer:
    """Write a settings file with the settings of `planned` and the addresses of another machine.

    :param host: host of `network` that no other balancer uses.
    """
    settings = msgspec.structs.replace(
        planned.settings,
        name=name,
        edge_address=network.address(host, EDGE_PORT),
        backend_address=network.address(host, BACKEND_FACING_PORT),
        peer_address=network.address(host, PEER_PORT),
        api_address=network.address(host, API_PORT),
    )
    return _write(settings, directory, f"{name}-{host}")


def _balancer_name(host: int) -> str:
    return f"balancer-{host - FIRST_BALANCER_HOST + 1}"


def _write(settings: BalancerSettings, directory: Path, stem: str) -> PlannedBalancer:
    file = directory / f"{stem}.toml"
    file.write_text(_toml_table((), _without_defaults(settings)), encoding="utf-8")
    return PlannedBalancer(settings, file, f"http://{settings.api_address}")


def _without_defaults(settings: msgspec.Struct) -> dict[str, object]:
    """Return the settings that differ from their defaults, as built-in types by name."""
    values: dict[str, object] = {}
    for field in msgspec.structs.fields(settings):
        value = getattr(settings, field.name)
        if value == field.default:
            continue
        is_table = isinstance(value, msgspec.Struct)
        values[field.name] = _without_defaults(value) if is_table else msgspec.to_builtins(value)
    return values


def _toml_table(path: tuple[str, ...], values: dict[str, object]) -> str:
    """Return the values of a table as TOML, followed by its subtables.

    Scalars are encoded as JSON, which is valid TOML for the types used here.
    """
    lines = [f"[{'.'.join(path)}]"] if path else []
    tables = []
    for name, value in values.items():
        if isinstance(value, dict):
            tables.append(_toml_table((*path, name), value))
        else:
            lines.append(f"{name} = {_toml_value(value)}")
    return "\n".join([*lines, "", *tables])


def _toml_value(value: object) -> str:
    if isinstance(value, dict):
        inner = ", ".join(f"{name} = {_toml_value(item)}" for name, item in value.items())
        return f"{{ {inner} }}"
    if isinstance(value, list | tuple):
        return f"[{', '.join(map(_toml_value, value))}]"
    return msgspec.json.encode(value).decode()
