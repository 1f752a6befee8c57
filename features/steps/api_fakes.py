"""Fakes of a balancer's state for tests of the operators' API."""

from __future__ import annotations

from types import SimpleNamespace

import logbook
import msgspec

from sloepond.core.counters import Counters
from sloepond.core.status import NodeStatus, PeerReport
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import make_snapshot
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
    Resource,
    Service,
    ServiceSpec,
    Zone,
    ZoneSpec,
)
from sloepond.runtime.traffic import TrafficClass, TrafficRate, TrafficTotal

PEER = PeerReport("b2", "127.0.0.1:7002", "active", 5, 6, "00000000", 20, 1.5, True)
STATUS = NodeStatus("b1", 99, "h1", "active", 5, ("b1", "b2"), True, 7, "ab", 40, 3, (PEER,))


def backend(name: str, hall: str = "h1", **fields: object) -> Backend:
    """Return a back end of the service roster; the number in its name determines its port."""
    port = 9000 + int(name.rpartition("-")[2])
    spec = BackendSpec(service="roster", address=f"127.0.0.1:{port}", hall=hall, **fields)
    return Backend(API_VERSION, Metadata(name), spec)


def places() -> list[Resource]:
    """Return a region, a zone, two halls, and the service roster, which permits one of the halls."""
    permitted = (PlaceSelector(hall="h1"),)
    return [
        Region(API_VERSION, Metadata("r1")),
        Zone(API_VERSION, Metadata("z1"), ZoneSpec("r1")),
        Hall(API_VERSION, Metadata("h1"), HallSpec("z1")),
        Hall(API_VERSION, Metadata("h2"), HallSpec("z1")),
        Service(API_VERSION, Metadata("roster"), ServiceSpec("127.0.0.1:8000", permitted=permitted)),
    ]


def configuration(generation: int, resources: list[Resource]) -> CompiledConfiguration:
    """Return a compiled configuration of some resources."""
    return CompiledConfiguration(make_snapshot(generation, resources))


def default_resources() -> list[Resource]:
    """Return a service with one back end that accepts flows and two that do not."""
    draining = backend("roster-2", state=BackendState.DRAINING)
    return [*places(), backend("roster-1"), draining, backend("roster-3", "h2")]


class FakeNode:
    """A node with a given status and configuration."""

    def __init__(self, in_force: CompiledConfiguration) -> None:
        self.counters = Counters()
        self.configuration = SimpleNamespace(in_force=in_force)
        self.current_status = STATUS
        self.fails = False

    def status(self) -> NodeStatus:
        """Return the given status."""
        if self.fails:
            raise RuntimeError("no status")
        return self.current_status

    def set_status(self, **fields: object) -> None:
        """Change fields of the status."""
        self.current_status = msgspec.structs.replace(self.current_status, **fields)


class FakeState:
    """A daemon that counts requests for a planned stop."""

    def __init__(self, node: FakeNode) -> None:
        self.node = node
        self.stops = 0
        self.traffic_totals = {item: TrafficTotal(1, 100, 200) for item in TrafficClass}

    def traffic_rates(self) -> tuple[TrafficRate, ...]:
        """Return 512 control bytes per second sent."""
        return (TrafficRate(TrafficClass.CONTROL, 512.0, 256.0), TrafficRate(TrafficClass.DATA, 1.0, 2.0))

    def request_stop(self) -> None:
        """Count a planned stop."""
        self.stops += 1


def silent_logger() -> tuple[logbook.Logger, logbook.TestHandler]:
    """Return a logger and the only handler that receives its records."""
    logger = logbook.Logger("api")
    handler = logbook.TestHandler()
    logger.handlers.append(handler)
    return logger, handler
