"""Declared state as typed, versioned resources.

Operators keep these documents in version control.  A set of them with one
generation number is a `ConfigurationSnapshot`: it is taken as a whole or not at
all.  Nothing here reads files; parsing and validation live beside this module.

Resources are trees of values and so never part of a reference cycle.  Hence
`gc=False`: the garbage collector passes over the many thousands of them.
"""

from __future__ import annotations

import enum

import msgspec

API_VERSION = "sloepond/v1"


class Kind(enum.StrEnum):
    """The resource kinds an operator may declare."""

    REGION = "Region"
    ZONE = "Zone"
    HALL = "Hall"
    SERVICE = "Service"
    BACKEND = "Backend"


class Protocol(enum.StrEnum):
    """Transport of a service's virtual address."""

    UDP = "udp"


class BackendState(enum.StrEnum):
    """Whether a back end may be given new flows."""

    ACTIVE = "active"
    DRAINING = "draining"


class ZoneState(enum.StrEnum):
    """Whether the back ends of a zone may be given new flows."""

    ACTIVE = "active"
    EVACUATED = "evacuated"


class Location(msgspec.Struct, frozen=True, gc=False, omit_defaults=True):
    """Where a machine stands: a hall, in a zone, in a region."""

    region: str
    zone: str
    hall: str
    evacuated: bool = False
    """Whether nothing new may go to the zone."""


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
    """Name (unique within a kind) and free-form labels of a resource."""

    name: str
    labels: dict[str, str] = {}


class RegionSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True):
    """A region has no fields of its own."""


class ZoneSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """A zone belongs to one region."""

    region: str
    state: ZoneState = ZoneState.ACTIVE


class HallSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True):
    """A data hall belongs to one zone."""

    zone: str


class ServiceLimits(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """Limits of one service: accepted, checked and shown, but read by no balancer.

    Balancers forward by routing token and count neither flows nor requests of a service.
    """

    flows: int = 400_000
    """Open flows a balancer may hold for the service."""
    requests_in_flight: int = 20_000
    """Requests handed to back ends and not yet answered, per balancer."""
    request_timeout_ms: int = 10_000
    """Deadline of a request that names none, in milliseconds."""
    idle_timeout_s: int = 3_600
    """Seconds without a packet after which a flow's state is dropped."""


class ServiceSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """A virtual address and the places its traffic may and may not go."""

    address: str
    """Virtual address as `ip:port`."""
    protocol: Protocol = Protocol.UDP
    permitted: tuple[PlaceSelector, ...] = ()
    """Places traffic may go; nothing permitted means every new flow is refused."""
    denied: tuple[PlaceSelector, ...] = ()
    """Places traffic may not go; wins over `permitted`."""
    repeatable_by_default: bool = False
    """Whether a request that does not say may be run more than once; read by no balancer."""
    limits: ServiceLimits = ServiceLimits()


class BackendSpec(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """One target of one service."""

    service: str
    address: str
    """Data address as `ip:port`."""
    hall: str
    slots: int = 2
    """Requests the back end runs at the same time."""
    connections: int = 2_000
    """Flows the back end holds at the same time; read by stand-ins, by no balancer."""
    weight: int = 100
    """0 takes no new flows; balancers make no difference between other values."""
    state: BackendState = BackendState.ACTIVE


class Status(msgspec.Struct, frozen=True, gc=False, forbid_unknown_fields=True, omit_defaults=True):
    """What is known of a resource in force; never written by operators."""

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

    :ivar generation: number given by the platform, growing with each change.
    :ivar digest: hexadecimal hash of the sorted resources (see `snapshot`).
    """

    generation: int
    digest: str
    resources: tuple[Resource, ...]
