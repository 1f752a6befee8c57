"""Checks settings beyond the type of each field.

Owns the limits of values.  Relies on `structure` to have checked the types before.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

import msgspec

from sloepond.resources.addresses import AddressFailure, canonical_address
from sloepond.resources.findings import FieldPath
from sloepond.runtime.settings import ApiSettings, KeySettings, PlatformSettings
from sloepond.runtime.structure import FieldFinding
from sloepond.runtime.unread_settings import POLICIES, FileMembershipSettings, FileNodeSettings, FileSettings
from sloepond.wire.authentication import (
    MAXIMUM_KEY_ID,
    MAXIMUM_KEYS,
    MAXIMUM_NAME_BYTES,
    MAXIMUM_SECRET_BYTES,
    MINIMUM_SECRET_BYTES,
    Key,
    KeyRing,
)

MINIMUM_TOKEN_CHARACTERS = 16
MAXIMUM_REPLICAS = 7
MAXIMUM_PARTITIONS = 65_536
MINIMUM_LEASE_HEARTBEATS = 2
"""Minimum duration of a lease, in heartbeat intervals."""

_MAY_BE_ZERO = frozenset(
    {
        ("membership", "clock_margin_s"),
        ("configuration", "startup_wait_s"),
        ("configuration", "delta_history"),
        ("requests", "retry_ratio"),
        ("requests", "retry_burst"),
        ("requests", "answer_cache_bytes"),
        ("requests", "answer_cache_s"),
        ("health", "minimum_available"),
        ("health", "slow_start_s"),
        ("health", "samples_per_heartbeat"),
        ("stop", "idle_s"),
    }
)

Findings = Iterator[FieldFinding]


def check_rules(settings: FileSettings) -> list[FieldFinding]:
    """Return all violations of rules in `settings`, in the order of the fields."""
    checks: tuple[Callable[[FileSettings], Findings], ...] = (
        _check_name,
        _check_location,
        _check_addresses,
        _check_keys,
        _check_platform,
        _check_api,
        _check_node,
    )
    return [finding for check in checks for finding in check(settings)]


def read_key_ring(keys: tuple[KeySettings, ...]) -> KeyRing:
    """Return the key ring of checked settings.

    :raises ValueError: if a secret is not hexadecimal.
    """
    return KeyRing(tuple(Key(key.id, bytes.fromhex(key.secret)) for key in keys))


def _check_name(settings: FileSettings) -> Findings:
    if not 1 <= len(settings.name.encode()) <= MAXIMUM_NAME_BYTES:
        yield FieldFinding(("name",), f"must have 1 to {MAXIMUM_NAME_BYTES} bytes")
    elif not settings.name.isprintable() or " " in settings.name:
        yield FieldFinding(("name",), "must be printable, without spaces")


def _check_location(settings: FileSettings) -> Findings:
    for field in ("region", "zone", "hall"):
        if not getattr(settings.location, field):
            yield FieldFinding(("location", field), "must not be empty")


def _check_addresses(settings: FileSettings) -> Findings:
    required = ("edge_address", "backend_address", "peer_address")
    optional = ("api_address", "fabric_address")
    used: dict[str, str] = {}
    for field in (*required, *optional):
        address = getattr(settings, field)
        if not address and field in optional:
            continue
        yield from _check_address(address, (field,))
        if field in required and address in used:
            yield FieldFinding((field,), f"the same as {used[address]}")
        used.setdefault(address, field)
    for index, seed in enumerate(settings.node.membership.seeds):
        yield from _check_address(seed, ("node", "membership", "seeds", index))


def _check_address(address: str, path: FieldPath) -> Findings:
    canonical = canonical_address(address)
    if isinstance(canonical, AddressFailure):
        yield FieldFinding(path, canonical.reason)
    elif canonical != address:
        yield FieldFinding(path, f"write it as {canonical}")


def _check_keys(settings: FileSettings) -> Findings:
    if not 1 <= len(settings.keys) <= MAXIMUM_KEYS:
        yield FieldFinding(("keys",), f"must be 1 to {MAXIMUM_KEYS} keys")
    seen: set[int] = set()
    for index, key in enumerate(settings.keys):
        yield from _check_key(key, ("keys", index))
        if key.id in seen:
            yield FieldFinding(("keys", index, "id"), "used by another key")
        seen.add(key.id)


def _check_key(key: KeySettings, path: FieldPath) -> Findings:
    if not 0 <= key.id <= MAXIMUM_KEY_ID:
        yield FieldFinding((*path, "id"), f"must be 0 to {MAXIMUM_KEY_ID}")
    try:
        size = len(bytes.fromhex(key.secret))
    except ValueError:
        yield FieldFinding((*path, "secret"), "not hexadecimal")
        return
    if not MINIMUM_SECRET_BYTES <= size <= MAXIMUM_SECRET_BYTES:
        reason = f"must have {MINIMUM_SECRET_BYTES} to {MAXIMUM_SECRET_BYTES} bytes, has {size}"
        yield FieldFinding((*path, "secret"), reason)


def _check_platform(settings: FileSettings) -> Findings:
    platform = settings.platform
    if platform.url and not platform.url.startswith(("http://", "https://")):
        yield FieldFinding(("platform", "url"), "must begin with http:// or https://")
    yield from _check_positive(platform, ("platform",))


def _check_api(settings: FileSettings) -> Findings:
    api = settings.api
    if bool(api.tls_certificate) != bool(api.tls_key):
        missing = "tls_key" if api.tls_certificate else "tls_certificate"
        yield FieldFinding(("api", missing), "missing: certificate and key belong together")
    for field in ("read_tokens", "write_tokens"):
        for index, token in enumerate(getattr(api, field)):
            if len(token) < MINIMUM_TOKEN_CHARACTERS or not token.isascii():
                reason = f"must have at least {MINIMUM_TOKEN_CHARACTERS} ASCII characters"
                yield FieldFinding(("api", field, index), reason)
    yield from _check_positive(api, ("api",))


def _check_node(settings: FileSettings) -> Findings:
    node = settings.node
    for field in msgspec.structs.fields(FileNodeSettings):
        section = getattr(node, field.name)
        if isinstance(section, msgspec.Struct):
            yield from _check_positive(section, ("node", field.name))
    if not _is_positive(node.stall_s):
        yield FieldFinding(("node", "stall_s"), "must be above 0")
    yield from _check_membership(node.membership)
    yield from _check_ranges(node)


def _check_positive(section: PlatformSettings | ApiSettings | msgspec.Struct, path: FieldPath) -> Findings:
    for field in msgspec.structs.fields(section):
        value = getattr(section, field.name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            continue
        if value == 0 and (*path[1:], field.name) in _MAY_BE_ZERO:
            continue
        if not _is_positive(value):
            yield FieldFinding((*path, field.name), "must be a finite number above 0")


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _check_membership(membership: FileMembershipSettings) -> Findings:
    path = ("node", "membership")
    interval = membership.heartbeat_interval_s
    if not interval < membership.suspect_after_s:
        yield FieldFinding((*path, "suspect_after_s"), "must be above heartbeat_interval_s")
    if not membership.suspect_after_s < membership.evict_after_s:
        yield FieldFinding((*path, "evict_after_s"), "must be above suspect_after_s")
    if membership.lease_s < MINIMUM_LEASE_HEARTBEATS * interval:
        reason = f"must be at least {MINIMUM_LEASE_HEARTBEATS} times heartbeat_interval_s"
        yield FieldFinding((*path, "lease_s"), reason)
    if len(set(membership.bootstrap)) < len(membership.bootstrap):
        yield FieldFinding((*path, "bootstrap"), "names a member twice")


def _check_ranges(node: FileNodeSettings) -> Findings:
    if node.health.minimum_available > 1:
        yield FieldFinding(("node", "health", "minimum_available"), "must be 0 to 1")
    if node.requests.retry_ratio > 1:
        yield FieldFinding(("node", "requests", "retry_ratio"), "must be 0 to 1")
    if node.routing.policy not in POLICIES:
        yield FieldFinding(("node", "routing", "policy"), f"must be one of {', '.join(POLICIES)}")
    if node.routing.replicas > MAXIMUM_REPLICAS:
        yield FieldFinding(("node", "routing", "replicas"), f"must be 1 to {MAXIMUM_REPLICAS}")
    if node.routing.partitions > MAXIMUM_PARTITIONS:
        yield FieldFinding(("node", "routing", "partitions"), f"must be 1 to {MAXIMUM_PARTITIONS}")
