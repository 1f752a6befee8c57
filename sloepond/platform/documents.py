"""Decodes the documents in the platform's store: the operators' configuration and targets' entries.

Fields have names of our own that say what they hold; where the platform's name misleads it stands
in `name=` and a comment says why.  Owns nothing.  Relies on the platform's page of its store and
of its packets for the forms; whatever doesn't have them raises an error, and fields that aren't
listed here are skipped.
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
"""States of a target; an entry with another one is none of a target."""
TARGETS_PREFIX = "servers/"
"""Keys of targets' entries: followed by the id of a target."""
KIND_UNSAFE = "unsafe"
"""Kind of requests that must not be repeated once they may have run; any other may be."""
MS_PER_S = 1000.0


class SplitPart(msgspec.Struct):
    """One service of a split."""

    service: str
    weight: float = 1.0  # Relative to the other parts, of any sum.


class RouteDocument(msgspec.Struct):
    """One route of the configuration."""

    name: str
    destination: str = msgspec.field(name="host")  # IPv4 address, no host name.
    port_path: str = msgspec.field(name="path_prefix")  # Destination port as "/8443/", no path.
    service: str = ""  # Where new flows go, unless there is a split.
    split: tuple[SplitPart, ...] = ()
    kind: str = ""
    request_timeout_ms: float = msgspec.field(default=2000.0, name="timeout_ms")  # Of a request, not a flow.
    priority: int = 0  # 0 is the highest.
    allowed_regions: tuple[str, ...] | str | None = ()  # One, several, or none for anywhere.


class ServiceDocument(msgspec.Struct):
    """One service of the configuration."""

    name: str
    # How long each target of the service stays slow after its start, in seconds; 0 or null: not at all.
    slow_for_s: float | None = msgspec.field(default=0.0, name="cold_start_s")
    # New flows a second that one target bears while it is slow.
    slow_flows_per_s: float | None = msgspec.field(default=0.0, name="cold_per_s")


class LimitsDocument(msgspec.Struct):
    """Limits of the configuration; the platform says that the others mean nothing for packets."""

    # Rest after which a flow may be forgotten.  No connection is closed by it.
    flow_idle_ms: float = msgspec.field(default=15_000.0, name="idle_timeout_ms")


class ConfigurationDocument(msgspec.Struct):
    """The whole configuration."""

    version: int  # Of the content, not of the format.
    routes: tuple[RouteDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)


class TargetDocument(msgspec.Struct):
    """A target's entry; the platform's target is a back end here.

    Targets write all fields but the last; where one is missing, another program has written the entry.
    """

    service: fields.Text
    address: fields.Text = msgspec.field(name="addr")  # `ip:port`, for packets and health checks.
    hall: fields.OptionalText = msgspec.field(name="zone")  # The platform's zone is a hall here.
    version: str  # Of the target's software; not used here.
    slots: fields.Slots  # Requests it works on at once; not flows.
    state: fields.Text
    slow_left_ms: fields.SlowMilliseconds = msgspec.field(name="cold_left_ms")  # When the entry was written.
    heartbeats: fields.Count = msgspec.field(name="seq")  # Since its start; not used here.
    born_ms: fields.Count = msgspec.field(
        default=0, name="born"
    )  # Unix time of its start; not on older platforms.


class StoreItem(msgspec.Struct):
    """One item of the store, or what a watch says of one."""

    key: str
    revision: int = msgspec.field(name="rev")  # Of its last change.
    value: str = ""  # Base64 of JSON; empty if deleted.
    is_deleted: bool = msgspec.field(default=False, name="gone")  # In a watch only.


class PageAnswer(msgspec.Struct):
    """Answer to a read of a prefix: one page, of the items as they are when it is read."""

    items: tuple[StoreItem, ...]
    has_more: bool = msgspec.field(name="more")
    revision: int = msgspec.field(name="at")  # Of the store at the answer.


class WatchAnswer(msgspec.Struct):
    """Answer to a watch."""

    changes: tuple[StoreItem, ...] = msgspec.field(name="events")  # Oldest first.
    revision: int = msgspec.field(name="at")  # Up to which changes are complete.


_CONFIGURATION = msgspec.json.Decoder(ConfigurationDocument)
_TARGET = msgspec.json.Decoder(TargetDocument)


def decode_configuration(value: str) -> RouteConfiguration:
    """Return the routes in a value of the store.

    :raises msgspec.MsgspecError: if it is no such JSON.
    :raises ValueError: if it is no base64, or a port is no number.
    :raises OSError: if a destination is no IPv4 address.
    """
    document = _CONFIGURATION.decode(binascii.a2b_base64(value))
    return RouteConfiguration(
        document.version,
        tuple(_route(route) for route in document.routes),
        document.limits.flow_idle_ms / MS_PER_S,
        tuple(_cold_start(each) for each in document.services if each.slow_for_s),
    )


def decode_target(key: str, value: str, revision: int) -> BackendRecord:
    """Return the back end in an item of the store.

    :raises msgspec.MsgspecError: if the value is no such JSON.
    :raises ValueError: if it is no base64, or key, address or state are none of a target.
    :raises RecursionError: if the JSON is nested too deeply.
    """
    document = _TARGET.decode(binascii.a2b_base64(value, strict_mode=True))
    identity = fields.checked_identity(key.removeprefix(TARGETS_PREFIX))
    if document.state not in STATES:
        raise ValueError(f"{document.state} is no state of a target")
    host, port = fields.endpoint_of(document.address)
    return BackendRecord(
        name=incarnation_name(identity, document.born_ms),
        number=fields.number_of(identity),
        service=document.service,
        host=host,
        port=port,
        hall=document.hall,
        slots=document.slots,
        state=STATES[document.state],
        cold_s=document.slow_left_ms / MS_PER_S,
        revision=revision,
    )


def _cold_start(document: ServiceDocument) -> ColdStart:
    return ColdStart(document.name, document.slow_for_s or 0.0, document.slow_flows_per_s or 0.0)


def _route(document: RouteDocument) -> Route:
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
