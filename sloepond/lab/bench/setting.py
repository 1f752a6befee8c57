"""What the measures run on: settings, addresses and a configuration."""

from __future__ import annotations

import contextlib
import random
import socket

from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.core.settings import MembershipSettings, NodeSettings
from sloepond.resources.compiled import make_snapshot
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendSpec,
    ConfigurationSnapshot,
    Hall,
    HallSpec,
    Location,
    Metadata,
    PlaceSelector,
    Region,
    Resource,
    Service,
    ServiceSpec,
    Zone,
    ZoneSpec,
)
from sloepond.runtime.settings import BalancerSettings, KeySettings, PlatformSettings

LOOPBACK = "127.0.0.1"
SERVICE_ADDRESS = "127.0.100.1:7000"
SERVICE_NAME = "playback"
PLACES = Location("accra", "accra-a", "hall-1")
UNLIMITED_CONNECTIONS = 1_000_000
SECRET = "00112233445566778899aabbccddeeff"

_ADDRESSES_PER_BALANCER = 3


def free_addresses(count: int) -> list[str]:
    """Return UDP addresses of the loopback interface that were free just now."""
    with contextlib.ExitStack() as stack:
        bound = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for item in bound:
            item.bind((LOOPBACK, 0))
        return [f"{LOOPBACK}:{item.getsockname()[1]}" for item in bound]


def balancer_settings(members: int, platform_url: str = "") -> list[BalancerSettings]:
    """Return the settings of the balancers of one cell."""
    addresses = free_addresses(members * _ADDRESSES_PER_BALANCER)
    names = tuple(f"b{number}" for number in range(1, members + 1))
    membership = MembershipSettings(bootstrap=names, seeds=tuple(addresses[2::_ADDRESSES_PER_BALANCER]))
    return [
        BalancerSettings(
            name=name,
            location=PLACES,
            edge_address=addresses[index * _ADDRESSES_PER_BALANCER],
            backend_address=addresses[index * _ADDRESSES_PER_BALANCER + 1],
            peer_address=addresses[index * _ADDRESSES_PER_BALANCER + 2],
            keys=(KeySettings(1, SECRET),),
            platform=PlatformSettings(url=platform_url),
            node=NodeSettings(membership=membership),
        )
        for index, name in enumerate(names)
    ]


def configuration(backend_addresses: list[str]) -> ConfigurationSnapshot:
    """Return a configuration of one service with a back end at each address."""
    resources: list[Resource] = [
        Region(API_VERSION, Metadata(PLACES.region)),
        Zone(API_VERSION, Metadata(PLACES.zone), ZoneSpec(PLACES.region)),
        Hall(API_VERSION, Metadata(PLACES.hall), HallSpec(PLACES.zone)),
        Service(API_VERSION, Metadata(SERVICE_NAME), _service_spec()),
    ]
    for number, address in enumerate(backend_addresses, start=1):
        spec = BackendSpec(SERVICE_NAME, address, PLACES.hall, connections=UNLIMITED_CONNECTIONS)
        resources.append(Backend(API_VERSION, Metadata(f"{SERVICE_NAME}-{number}"), spec))
    return make_snapshot(1, resources)


def make_node(identity: Member, settings: BalancerSettings, random_source: random.Random) -> Node:
    """Return the node of a balancer."""
    return Node(identity, settings.node, random_source)


def _service_spec() -> ServiceSpec:
    return ServiceSpec(SERVICE_ADDRESS, permitted=(PlaceSelector(region=PLACES.region),))
