"""Settings that are accepted and checked, but that no part of a balancer reads.

Earlier versions replicated flows on several balancers and agreed on who they are.  Files
written for them stay valid, and their values are checked as before, so that an upgrade needs
no change of files; the balancer says once which lines of its file have no effect.

Owns the table of these settings.  Relies on nothing but the parsed file.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from sloepond.core.settings import TOKEN_POLICY
from sloepond.resources.findings import FieldPath, format_path

UNREAD_SETTINGS: Mapping[FieldPath, frozenset[str]] = {
    ("node",): frozenset({"stall_s"}),
    ("node", "membership"): frozenset(
        {
            "cell",
            "bootstrap",
            "heartbeat_interval_s",
            "suspect_after_s",
            "evict_after_s",
            "lease_s",
            "clock_margin_s",
            "proposal_timeout_s",
        }
    ),
    ("node", "routing"): frozenset(
        {
            "partitions",
            "replicas",
            "policy",
            "record_retry_s",
            "record_attempts",
            "lookup_timeout_s",
            "transfer_bytes_per_second",
            "maximum_flows",
            "maximum_hops",
            "search_timeout_s",
        }
    ),
    ("node", "requests"): frozenset(
        {
            "retry_ratio",
            "retry_burst",
            "answer_cache_bytes",
            "answer_cache_s",
            "datagram_lifetime_s",
            "retry_after_ms",
        }
    ),
    ("node", "health"): frozenset(
        {
            "probe_interval_s",
            "probe_timeout_s",
            "probers_per_backend",
            "estimate_half_life_s",
            "eject_after_failures",
            "eject_s",
            "eject_maximum_s",
            "minimum_available",
            "slow_start_s",
            "samples_per_heartbeat",
        }
    ),
    ("node", "stop"): frozenset({"idle_s"}),
}
"""Names of the fields that nothing reads, by the path of their table in the settings file."""

UNREAD_POLICIES = ("hash", "bounded-load", "two-choices", "hot-cold", "least-loaded")
"""Names of placement policies that are accepted; whichever is given, `token` is what runs."""

_POLICY_PATH: FieldPath = ("node", "routing", "policy")


def find_unread(document: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the settings in a parsed file that have no effect, as `node.table.field`.

    A placement policy is named with its value: `token` is what every balancer does and is not
    reported, the other names are.

    :param document: the TOML document, which may be invalid.
    """
    return tuple(_find_unread(document))


def _find_unread(document: Mapping[str, Any]) -> Iterator[str]:
    for table_path, names in UNREAD_SETTINGS.items():
        for name, value in _table_at(document, table_path).items():
            path = (*table_path, name)
            if path == _POLICY_PATH:
                if value != TOKEN_POLICY:
                    yield f'{format_path(path)} = "{value}"'
            elif name in names:
                yield format_path(path)


def _table_at(document: Mapping[str, Any], path: FieldPath) -> Mapping[str, Any]:
    """Return the table at a path; an empty one where the file has none."""
    table: Any = document
    for step in path:
        table = table.get(step, {}) if isinstance(table, Mapping) else {}
    return table if isinstance(table, Mapping) else {}


def unread_warning(names: tuple[str, ...]) -> str:
    """Return the one line that names settings without effect."""
    return f"these settings have no effect and may be removed: {', '.join(names)}"
