"""Settings that a file may contain and that are checked, but that have no effect.

They configured the replication of flows and the membership protocol of earlier versions.  Files with
them stay valid and their values are checked, so that an upgrade needs no change of files; a balancer
logs once which settings of its file have no effect.

Owns the names, defaults and limits of these settings.  Relies on `runtime.settings` for those that
have an effect.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from sloepond.core.settings import MembershipSettings, NodeSettings, StopSettings
from sloepond.resources.findings import FieldPath, format_path
from sloepond.runtime.settings import BalancerSettings

TOKEN_POLICY = "token"
"""The placement policy that balancers implement."""

POLICIES = ("hash", "bounded-load", "two-choices", "hot-cold", "least-loaded", TOKEN_POLICY)
"""Accepted names of placement policies."""


class FileMembershipSettings(MembershipSettings, frozen=True, forbid_unknown_fields=True):
    """The table `node.membership` as accepted in a file."""

    cell: str = "default"
    bootstrap: tuple[str, ...] = ()
    heartbeat_interval_s: float = 0.5
    suspect_after_s: float = 1.2
    evict_after_s: float = 3.0
    lease_s: float = 2.0
    clock_margin_s: float = 0.2
    proposal_timeout_s: float = 0.5


class FileStopSettings(StopSettings, frozen=True, forbid_unknown_fields=True):
    """The table `node.stop` as accepted in a file."""

    idle_s: float = 3.0


class RoutingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas of flows, and the placement policy."""

    partitions: int = 512
    replicas: int = 3
    policy: str = "bounded-load"
    record_retry_s: float = 0.05
    record_attempts: int = 6
    lookup_timeout_s: float = 0.08
    transfer_bytes_per_second: int = 64_000
    maximum_flows: int = 400_000
    maximum_hops: int = 4
    search_timeout_s: float = 0.1


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retries and cached answers."""

    retry_ratio: float = 0.1
    retry_burst: float = 50.0
    answer_cache_bytes: int = 4_000_000
    answer_cache_s: float = 10.0
    datagram_lifetime_s: float = 2.0
    retry_after_ms: int = 500


class HealthSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Probes of back ends and their ejection."""

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    probers_per_backend: int = 2
    estimate_half_life_s: float = 1.0
    eject_after_failures: int = 5
    eject_s: float = 5.0
    eject_maximum_s: float = 60.0
    minimum_available: float = 0.5
    slow_start_s: float = 5.0
    samples_per_heartbeat: int = 4


class FileNodeSettings(NodeSettings, frozen=True, forbid_unknown_fields=True):
    """The table `node` as accepted in a file."""

    membership: FileMembershipSettings = FileMembershipSettings()
    stop: FileStopSettings = FileStopSettings()
    routing: RoutingSettings = RoutingSettings()
    requests: RequestSettings = RequestSettings()
    health: HealthSettings = HealthSettings()
    stall_s: float = 1.0


class FileSettings(BalancerSettings, frozen=True, forbid_unknown_fields=True):
    """All settings that are accepted in a file."""

    node: FileNodeSettings = FileNodeSettings()


def find_unread(document: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the settings in a valid file that have no effect, as `node.table.field`.

    A placement policy is reported with its value, unless it is `token`, which every balancer implements.

    :param document: the TOML document.
    """
    return tuple(_unread_in(document, FileSettings, BalancerSettings, ()))


def _unread_in(table: Mapping[str, Any], accepted: Any, read: Any, path: FieldPath) -> Iterator[str]:
    """Yield the settings in a table that are fields of `accepted` but not of `read`.

    :param read: the struct of the settings that have an effect, None if none has.
    """
    read_types = _field_types(read) if read is not None else {}
    for name, field_type in _field_types(accepted).items():
        value = table.get(name)
        if isinstance(value, Mapping):
            yield from _unread_in(value, field_type, read_types.get(name), (*path, name))
        elif name in table and name not in read_types:
            yield from _format_setting(value, (*path, name))


def _field_types(struct: Any) -> dict[str, Any]:
    return {field.name: field.type for field in msgspec.structs.fields(struct)}


def _format_setting(value: object, path: FieldPath) -> Iterator[str]:
    if path != ("node", "routing", "policy"):
        yield format_path(path)
    elif value != TOKEN_POLICY:
        yield f'{format_path(path)} = "{value}"'


def unread_warning(names: tuple[str, ...]) -> str:
    """Return the line of text that names settings without effect."""
    return f"these settings have no effect and may be removed: {', '.join(names)}"
