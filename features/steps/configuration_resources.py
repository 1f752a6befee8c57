"""Builders of resources for steps on the configuration."""

from __future__ import annotations

from sloepond.core.context import NodeContext
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendSpec,
    BackendState,
    Hall,
    HallSpec,
    Metadata,
    PlaceSelector,
    Region,
    Service,
    ServiceSpec,
    Zone,
    ZoneSpec,
)

HALLS = ("hall-0", "hall-1", "hall-2")
SERVICES = ("archive", "playback")


def places():
    zones = (Region(API_VERSION, Metadata("accra")), Zone(API_VERSION, Metadata("zone-a"), ZoneSpec("accra")))
    return [*zones, *(Hall(API_VERSION, Metadata(name), HallSpec("zone-a")) for name in HALLS)]


def service(name, denied=(), address=None):
    address = address or f"10.255.0.{SERVICES.index(name) + 1}:7000"
    permitted = (PlaceSelector(region="accra"),)
    return Service(API_VERSION, Metadata(name), ServiceSpec(address, permitted=permitted, denied=denied))


def backend(number, owner="playback", address=None, hall="hall-0", weight=100, state=BackendState.ACTIVE):
    where = address or f"10.0.{number // 250}.{number % 250 + 1}:8000"
    spec = BackendSpec(owner, where, hall, weight=weight, state=state)
    return Backend(API_VERSION, Metadata(f"backend-{number}"), spec)


def resources(count, **changes):
    """Return a valid set whose back ends alternate between the services."""
    backends = [backend(number, SERVICES[number % 2], **changes) for number in range(count)]
    return [*places(), *(service(name) for name in SERVICES), *backends]


def context_of(member, random_source):
    return NodeContext(member, random_source)
