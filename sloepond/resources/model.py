"""Declared state as typed, versioned resources.

Operators keep these documents in version control.  A set of them with one
generation number is a `ConfigurationSnapshot`, which is applied completely or not
at all.  This module reads no files; other modules of this package parse and validate.

Resources are trees of values and never part of a reference cycle.  `gc=False`
therefore excludes them, many thousands of objects, from garbage collection.
"""

from __future__ import annotations

import enum

import msgspec

API_VERSION = "sloepond/v1"


class Kind(enum.StrEnum):
    """Kinds of resources that an operator can declare."""

    REGION = "Region"
    ZONE = "Zone"
    HALL = "Hall"
    SERVICE = "Service"
    BACKEND = "Backend"


class Protocol(enum.StrEnum):
    """Transport of a service's virtual address."""

    UDP = "udp"


class BackendState(enum.StrEnum):
    """Declared state of a back end; a draining one accepts no new flows."""

    ACTIVE = "active"
    DRAINING = "draining"


class ZoneState(enum.StrEnum):
    """Declared state of a zone; the back ends of an evacuated one accept no new flows."""

    ACTIVE = "active"
    EVACUATED = "evacuated"


class Location(msgspec.Struct, frozen=True, gc=False, omit_defaults=True):
    """Location of a machine: a hall, in a zone, in a region."""

    region: str
    zone: str
    hall: str
    evacuated: bool = False
    """Whether the zone accepts no new flows."""


class PlaceSelector(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """Selects locations; an unset field matches every value."""

    region: str | None = None
    zone: str | None = None
    hall: str | None = None

    def matches(self, location: Location) -> bool:
        """Return whether `location` is inside the selected place."""
        if self.region is not None and self.region != location.region:
            return False
        if self.zone is not None and self.zone != location.zone:
            return False
        return self.hall is None or self.hall == location.hall


class Metadata(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """Name, unique within a kind, and free-form labels of a resource."""

    name: str
    labels: dict[str, str] = {}


class RegionSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True):
    """Empty: a region has only a name."""


class ZoneSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """The region of a zone, and its state."""

    region: str
    state: ZoneState = ZoneState.ACTIVE


class HallSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True):
    """The zone of a data hall."""

    zone: str


class ServiceLimits(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """Limits of one service: accepted, validated and shown, but not applied by balancers.

    Balancers forward by routing token and count neither flows nor requests of a service.
    """

    flows: int = 400_000
    """Open flows a balancer may hold for the service."""
    requests_in_flight: int = 20_000
    """Requests forwarded to back ends and not yet answered, per balancer."""
    request_timeout_ms: int = 10_000
    """Default deadline of a request, in milliseconds."""
    idle_timeout_s: int = 3_600
    """Seconds without a packet after which the state of a flow is deleted."""


class ServiceSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """A virtual address, and the place rules for its traffic."""

    address: str
    """Virtual address as `ip:port`."""
    protocol: Protocol = Protocol.UDP
    permitted: tuple[PlaceSelector, ...] = ()
    """Places that may receive traffic; if empty, every new flow is refused."""
    denied: tuple[PlaceSelector, ...] = ()
    """Places that may not receive traffic; wins over `permitted`."""
    repeatable_by_default: bool = False
    """Whether requests may be executed more than once by default; not read by balancers."""
    limits: ServiceLimits = ServiceLimits()


class BackendSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """A server process that executes requests of one service."""

    service: str
    address: str
    """Data address as `ip:port`."""
    hall: str
    slots: int = 2
    """Requests that the back end executes at the same time."""
    connections: int = 2_000
    """Flows that the back end holds at the same time; read by stand-ins, not by balancers."""
    weight: int = 100
    """0 accepts no new flows; balancers treat all other values alike."""
    state: BackendState = BackendState.ACTIVE


class Status(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """Status of a resource in force; set by the system, never by operators."""

    generation: int = 0
    message: str = ""


class Region(
    msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, tag_field="kind", rename="camel"
):
    """Resource of kind Region."""

    api_version: str
    metadata: Metadata
    spec: RegionSpec = RegionSpec()
    status: Status = Status()


class Zone(
    msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, tag_field="kind", rename="camel"
):
    """Resource of kind Zone."""

    api_version: str
    metadata: Metadata
    spec: ZoneSpec
    status: Status = Status()


class Hall(
    msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, tag_field="kind", rename="camel"
):
    """Resource of kind Hall."""

    api_version: str
    metadata: Metadata
    spec: HallSpec
    status: Status = Status()


class Service(
    msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, tag_field="kind", rename="camel"
):
    """Resource of kind Service."""

    api_version: str
    metadata: Metadata
    spec: ServiceSpec
    status: Status = Status()


class Backend(
    msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, tag_field="kind", rename="camel"
):
    """Resource of kind Backend."""

    api_version: str
    metadata: Metadata
    spec: BackendSpec
    status: Status = Status()


Resource = Region | Zone | Hall | Service | Backend


class ConfigurationSnapshot(msgspec.Struct, frozen=True):
    """All resources of one generation, sorted by kind and name.

    :ivar generation: number assigned by the platform, higher after each change.
    :ivar digest: hexadecimal digest of the resources (see `resources.digest`).
    """

    generation: int
    digest: str
    resources: tuple[Resource, ...]
