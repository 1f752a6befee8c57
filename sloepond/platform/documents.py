"""Decodes the documents in the platform's store: the operators' configuration and targets' entries.

Where the platform's name of a field is misleading, the field has another name here, the platform's
is given in `name=`, and a comment says what the field holds.  Owns nothing.  Relies on the formats
in the platform's documentation of its store and packets; a value of another format raises an error,
and fields that are not listed here are skipped.
"""

from __future__ import annotations

import _socket
import binascii

import msgspec

from sloepond.core.forwarding.packets import PORT_BITS
from sloepond.core.forwarding.state import entry_fields as fields
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState, incarnation_name
from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration, Share

STATES = {"ready": BackendState.READY, "draining": BackendState.LEAVING}
"""States of a target; an entry with any other state is not a target's."""
TARGETS_PREFIX = "servers/"
"""Prefix of the keys of targets' entries; the id of the target follows."""
KIND_UNSAFE = "unsafe"
"""Kind of route whose requests must not be retried once they may have run; all others may be."""
MS_PER_S = 1000.0


class SplitPart(msgspec.Struct):
    """One service of a split."""

    service: str
    weight: float = 1.0  # Relative to the other parts; the sum is arbitrary.


class RouteDocument(msgspec.Struct):
    """One route of the configuration."""

    name: str
    destination: str = msgspec.field(name="host")  # An IPv4 address, not a host name.
    port_path: str = msgspec.field(name="path_prefix")  # Destination port, such as "/8443/"; not a path.
    service: str = ""  # Receives new flows, unless there is a split.
    split: tuple[SplitPart, ...] = ()
    kind: str = ""
    request_timeout_ms: float = msgspec.field(default=2000.0, name="timeout_ms")  # Per request, not per flow.
    priority: int = 0  # 0 is highest.
    allowed_regions: tuple[str, ...] | str | None = ()  # One, several, or none for all.


class ServiceDocument(msgspec.Struct):
    """One service of the configuration."""

    name: str
    # Duration of the cold start of a target of the service, in seconds; 0 or null if it has none.
    cold_duration_s: float | None = msgspec.field(default=0.0, name="cold_start_s")
    # New flows per second that one target accepts during its cold start.
    cold_flows_per_s: float | None = msgspec.field(default=0.0, name="cold_per_s")


class LimitsDocument(msgspec.Struct):
    """Limits of the configuration; according to the platform no other limit applies to packets."""

    # Time after which the state of an idle flow may be removed.  It closes no connection.
    flow_idle_ms: float = msgspec.field(default=15_000.0, name="idle_timeout_ms")


class ConfigurationDocument(msgspec.Struct):
    """The whole configuration."""

    version: int  # Version of the content, not of the format.
    routes: tuple[RouteDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)


class TargetDocument(msgspec.Struct):
    """A target's entry; the platform's target is a back end here.

    Every target writes all fields except `born`.  An entry that lacks another one was written by
    another program.
    """

    service: fields.Text
    address: fields.Text = msgspec.field(name="addr")  # `ip:port` of packets and health checks.
    hall: fields.OptionalText = msgspec.field(name="zone")  # The platform's zone is a hall.
    version: str  # Version of the target's software; not used.
    slots: fields.Slots  # Requests that it handles concurrently; not flows.
    state: fields.Text
    cold_left_ms: fields.ColdMilliseconds = msgspec.field(name="cold_left_ms")  # Remaining at the write.
    heartbeats: fields.Count = msgspec.field(name="seq")  # Count since its start; not used.
    started_at_ms: fields.Count = msgspec.field(
        default=0, name="born"
    )  # Unix time of its start; absent on older platforms.


class StoreItem(msgspec.Struct):
    """One item of the store, or one change of it in a watch."""

    key: str
    revision: int = msgspec.field(name="rev")  # Revision of its last change.
    value: str = ""  # Base64 of JSON; empty if deleted.
    is_deleted: bool = msgspec.field(default=False, name="gone")  # Only in a watch.


class PageAnswer(msgspec.Struct):
    """Answer to a read of a prefix: one page, with each item as it was when that page was read."""

    items: tuple[StoreItem, ...]
    has_more: bool = msgspec.field(name="more")
    revision: int = msgspec.field(name="at")  # Revision of the store at the answer.


class WatchAnswer(msgspec.Struct):
    """Answer to a watch."""

    changes: tuple[StoreItem, ...] = msgspec.field(name="events")  # Oldest first.
    revision: int = msgspec.field(name="at")  # `changes` is complete up to this revision.


_CONFIGURATION = msgspec.json.Decoder(ConfigurationDocument)
_TARGET = msgspec.json.Decoder(TargetDocument)


def decode_configuration(value: str) -> RouteConfiguration:
    """Return the routes in the value of the configuration's item.

    :raises msgspec.MsgspecError: if it is not JSON of the expected structure.
    :raises ValueError: if it is not base64, or a port is not a number.
    :raises OSError: if a destination is not an IPv4 address.
    """
    document = _CONFIGURATION.decode(binascii.a2b_base64(value))
    return RouteConfiguration(
        document.version,
        tuple(_convert_route(route) for route in document.routes),
        document.limits.flow_idle_ms / MS_PER_S,
        tuple(_convert_cold_start(each) for each in document.services if each.cold_duration_s),
    )


def decode_target(key: str, value: str, revision: int) -> BackendRecord:
    """Return the back end in an item of the store.

    :raises msgspec.MsgspecError: if the value is not JSON of the expected structure.
    :raises ValueError: if it is not base64, or the key, address or state is not valid for a target.
    :raises RecursionError: if the JSON is nested too deeply.
    """
    document = _TARGET.decode(binascii.a2b_base64(value, strict_mode=True))
    identity = fields.checked_identity(key.removeprefix(TARGETS_PREFIX))
    if document.state not in STATES:
        raise ValueError(f"{document.state} is not a state of a target")
    host, port = fields.endpoint_of(document.address)
    return BackendRecord(
        name=incarnation_name(identity, document.started_at_ms),
        number=fields.identity_number(identity),
        service=document.service,
        host=host,
        port=port,
        hall=document.hall,
        slots=document.slots,
        state=STATES[document.state],
        cold_s=document.cold_left_ms / MS_PER_S,
        revision=revision,
    )


def _convert_cold_start(document: ServiceDocument) -> ColdStart:
    return ColdStart(document.name, document.cold_duration_s or 0.0, document.cold_flows_per_s or 0.0)


def _convert_route(document: RouteDocument) -> Route:
    address = int.from_bytes(_socket.inet_aton(document.destination), "big")
    key = address << PORT_BITS | int(document.port_path.strip("/"))
    regions = document.allowed_regions or ()
    parts = document.split or (SplitPart(document.service),)
    return Route(
        name=document.name,
        key=key,
        shares=tuple(Share(part.service, part.weight) for part in parts),
        repeatable=document.kind != KIND_UNSAFE,
        timeout_s=document.request_timeout_ms / MS_PER_S,
        priority=document.priority,
        regions=(regions,) if isinstance(regions, str) else regions,
    )
