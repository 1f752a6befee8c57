"""The platform's documents: the operator's configuration and the targets' entries."""

from __future__ import annotations

import binascii
import socket

import msgspec

from sloepond.core.forwarding.packets import PORT_BITS
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration, Share

STATE_READY = "ready"
KIND_UNSAFE = "unsafe"
IDENTITY_DIGITS = frozenset("0123456789abcdefABCDEF")


class SplitPart(msgspec.Struct):
    """One service of a split."""

    service: str
    weight: float = 1.0


class RouteDocument(msgspec.Struct):
    """One route of the configuration."""

    name: str
    host: str
    path_prefix: str
    service: str = ""
    split: tuple[SplitPart, ...] = ()
    kind: str = ""
    timeout_ms: float = 2000.0
    priority: int = 0
    allowed_regions: tuple[str, ...] | str | None = ()


class ServiceDocument(msgspec.Struct):
    """One service of the configuration."""

    name: str
    cold_start_s: float | None = 0.0
    cold_per_s: float | None = 0.0


class Limits(msgspec.Struct):
    """Limits of the configuration that mean something here."""

    idle_timeout_ms: float = 15_000.0


class ConfigurationDocument(msgspec.Struct):
    """The whole configuration."""

    version: int
    routes: tuple[RouteDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    limits: Limits = msgspec.field(default_factory=Limits)


class ServerDocument(msgspec.Struct):
    """A target's entry."""

    service: str
    addr: str
    zone: str = ""
    slots: int = 1
    state: str = STATE_READY
    cold_left_ms: float = 0.0


class Item(msgspec.Struct):
    """One item of the store; `gone` in a watch's event only."""

    key: str
    rev: int
    value: str = ""
    gone: bool = False


class RangeAnswer(msgspec.Struct):
    """Answer to a read of a prefix."""

    items: tuple[Item, ...]
    more: bool
    at: int


class WatchAnswer(msgspec.Struct):
    """Answer to a watch."""

    events: tuple[Item, ...]
    at: int


_CONFIGURATION = msgspec.json.Decoder(ConfigurationDocument)
_SERVER = msgspec.json.Decoder(ServerDocument)


def decode_configuration(value: str) -> RouteConfiguration:
    """Return the routes in a value of the store.

    :raises msgspec.MsgspecError, ValueError, OSError: where it is none.
    """
    document = _CONFIGURATION.decode(binascii.a2b_base64(value))
    return RouteConfiguration(
        document.version,
        tuple(_route(route) for route in document.routes),
        document.limits.idle_timeout_ms / 1000.0,
        tuple(_cold_start(each) for each in document.services if each.cold_start_s),
    )


def decode_server(key: str, value: str, revision: int) -> BackendRecord:
    """Return the target in an item of the store.

    :raises msgspec.MsgspecError, ValueError: where it is none.
    """
    document = _SERVER.decode(binascii.a2b_base64(value))
    name = backend_name(key)
    host, _, port = document.addr.rpartition(":")
    return BackendRecord(
        name=name,
        number=identity_number(name),
        service=document.service,
        host=host,
        port=int(port),
        hall=document.zone,
        slots=document.slots,
        state=BackendState.READY if document.state == STATE_READY else BackendState.LEAVING,
        cold_s=document.cold_left_ms / 1000.0,
        revision=revision,
    )


def backend_name(key: str) -> str:
    """Return the target's id in a key of the store."""
    return key.rpartition("/")[2]


def identity_number(name: str) -> int:
    """Return the hex digits of an id, after its dash, as a number of 64 bits."""
    digits = "".join(digit for digit in name.rpartition("-")[2] if digit in IDENTITY_DIGITS)
    return int(digits or "0", 16) & (1 << 64) - 1


def _cold_start(document: ServiceDocument) -> ColdStart:
    return ColdStart(document.name, document.cold_start_s or 0.0, document.cold_per_s or 0.0)


def _route(document: RouteDocument) -> Route:
    address = int.from_bytes(socket.inet_aton(document.host), "big")
    key = address << PORT_BITS | int(document.path_prefix.strip("/"))
    regions = document.allowed_regions or ()
    parts = document.split or (SplitPart(document.service),)
    return Route(
        name=document.name,
        key=key,
        shares=tuple(Share(part.service, part.weight) for part in parts),
        repeatable=document.kind != KIND_UNSAFE,
        timeout_s=document.timeout_ms / 1000.0,
        priority=document.priority,
        regions=(regions,) if isinstance(regions, str) else regions,
    )
