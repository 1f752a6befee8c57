"""Processor time of parts of the core, measured in this process.

`python -m sloepond.lab.core_costs` prints the figures.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import msgspec

from sloepond.core.configuration.delta import ConfigurationDelta, difference
from sloepond.core.configuration.encoding import decode_delta, encode_delta
from sloepond.core.configuration.validation import findings_after
from sloepond.core.context import NodeContext
from sloepond.core.health.load_estimate import LoadEstimate
from sloepond.core.health.monitor import HealthMonitor
from sloepond.core.messages import Member, View
from sloepond.core.packets import LoadReport
from sloepond.core.routing.placement import POLICY_NAMES, PlacementCandidate, policy_by_name
from sloepond.core.settings import HealthSettings
from sloepond.resources.compiled import (
    CompiledBackend,
    CompiledConfiguration,
    make_snapshot,
    updated_snapshot,
)
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendSpec,
    BackendState,
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

CANDIDATES = 7
CHOICES = 20_000
EVIDENCE = 50_000
SERVICES = 10
TARGETS = (1_000, 10_000, 120_000)
CHANGE_REPEATS = 5
MICROSECONDS = 1e6
MILLISECONDS = 1e3
HALL = Location("region", "zone", "hall-0")


class CostFigure(msgspec.Struct, frozen=True):
    """One measured cost.

    :ivar name: what was measured.
    :ivar value: mean of all repeats, in `unit`.
    """

    name: str
    value: float
    unit: str

    def __str__(self) -> str:
        return f"{self.name}: {self.value:.3f} {self.unit}"


def placement_costs(choices: int = CHOICES) -> tuple[CostFigure, ...]:
    """Return the processor time of one choice by each policy among 7 candidates."""
    source = random.Random(1)
    candidates = [_candidate(number, source) for number in range(CANDIDATES)]
    figures = []
    for name in POLICY_NAMES:
        policy = policy_by_name(name)
        hashes = [source.getrandbits(64) for _ in range(choices)]
        started = time.process_time()
        for flow_hash in hashes:
            policy.choose(flow_hash, candidates, source)
        seconds = (time.process_time() - started) / choices
        figures.append(CostFigure(f"placement by {name}", seconds * MICROSECONDS, "us a choice"))
    return tuple(figures)


def _candidate(number: int, source: random.Random) -> PlacementCandidate:
    backend = CompiledBackend(
        name=f"playback-{number}",
        service="playback",
        address=f"10.0.0.{number + 1}:8000",
        location=HALL,
        slots=2,
        connections=2_000,
        weight=100,
        state=BackendState.ACTIVE,
        permitted=True,
    )
    estimate = LoadEstimate(source.random() * 3.0, source.randrange(300, 400), 0.5, True, False, 1.0, 0.7)
    return PlacementCandidate(backend, estimate, source.randrange(30, 40), source.randrange(3))


def health_costs(repeats: int = EVIDENCE) -> tuple[CostFigure, ...]:
    """Return the processor time of taking one answer and of one load estimate."""
    context = NodeContext(Member("balancer", 1, "10.1.0.1:1", HALL), random.Random(1))
    monitor = HealthMonitor(context, HealthSettings(), _NoMembers())
    monitor.configuration_changed(CompiledConfiguration(make_snapshot(1, declared_targets(CANDIDATES))))
    report = LoadReport(3, 300)
    answer_s = _mean_s(lambda: monitor.answer_received("target-1", report), repeats)
    estimate_s = _mean_s(lambda: monitor.estimate("target-1"), repeats)
    return (
        CostFigure("health, taking an answer", answer_s * MICROSECONDS, "us an answer"),
        CostFigure("health, load estimate", estimate_s * MICROSECONDS, "us an estimate"),
    )


class _NoMembers:
    """The view of a balancer outside any cell."""

    view = View(0, ())

    def is_reachable(self, name: str) -> bool:
        return False

    def member(self, name: str) -> Member | None:
        return None


def configuration_costs(targets: int) -> tuple[CostFigure, ...]:
    """Return the processor time of one changed back end among `targets`.

    The receiver decodes and checks the delta, updates the digest and the index;
    the reader also compares the whole snapshot it read with the one in force.
    """
    base = CompiledConfiguration(make_snapshot(1, declared_targets(targets)))
    delta = ConfigurationDelta((_target(targets // 2, weight=50),), ())
    encoded = encode_delta(delta)
    changed = updated_snapshot(base.snapshot, 2, delta.changed, delta.removed)
    receiver_s = _mean_s(lambda: _take_delta(base, encoded), CHANGE_REPEATS)
    reader_s = _mean_s(lambda: difference(base.snapshot.resources, changed.resources), CHANGE_REPEATS)
    whole_s = _mean_s(lambda: CompiledConfiguration(make_snapshot(2, changed.resources)), CHANGE_REPEATS)
    name = f"configuration of {targets} targets"
    return (
        CostFigure(f"{name}, one change at a receiver", receiver_s * MILLISECONDS, "ms"),
        CostFigure(f"{name}, comparison at the reader", reader_s * MILLISECONDS, "ms"),
        CostFigure(f"{name}, hashed and compiled from the start", whole_s * MILLISECONDS, "ms"),
        CostFigure(f"{name}, encoded delta of one change", float(len(encoded)), "bytes"),
    )


def validation_cost(targets: int) -> CostFigure:
    """Return the processor time of checking a first snapshot of `targets` as a whole."""
    snapshot = make_snapshot(1, declared_targets(targets))
    base = CompiledConfiguration(make_snapshot(0, []))
    delta = ConfigurationDelta(snapshot.resources, ())
    seconds = _mean_s(lambda: findings_after(base, delta, snapshot.resources), 1)
    return CostFigure(f"first check of {targets} targets", seconds * MILLISECONDS, "ms")


def _take_delta(base: CompiledConfiguration, encoded: bytes) -> CompiledConfiguration:
    delta = decode_delta(encoded)
    if delta is None:
        raise ValueError("the encoded delta cannot be decoded")
    snapshot = updated_snapshot(base.snapshot, 2, delta.changed, delta.removed)
    if findings_after(base, delta, snapshot.resources):
        raise ValueError("the declared targets are not valid")
    return base.updated_to(snapshot, delta.changed, delta.removed)


def declared_targets(targets: int) -> list[Resource]:
    """Return a valid set of resources with `targets` back ends."""
    region = Region(API_VERSION, Metadata("region"))
    zone = Zone(API_VERSION, Metadata("zone"), ZoneSpec("region"))
    halls = [Hall(API_VERSION, Metadata(f"hall-{number}"), HallSpec("zone")) for number in range(3)]
    services = [_service(number) for number in range(SERVICES)]
    return [region, zone, *halls, *services, *(_target(number) for number in range(targets))]


def _service(number: int) -> Service:
    spec = ServiceSpec(f"10.255.0.{number + 1}:7000", permitted=(PlaceSelector(region="region"),))
    return Service(API_VERSION, Metadata(f"service-{number}"), spec)


def _target(number: int, weight: int = 100) -> Backend:
    address = f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:8000"
    spec = BackendSpec(f"service-{number % SERVICES}", address, f"hall-{number % 3}", weight=weight)
    return Backend(API_VERSION, Metadata(f"target-{number}"), spec)


def _mean_s(work: Callable[[], object], repeats: int) -> float:
    """Return the mean processor time of one call, seconds."""
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) / repeats


def core_costs() -> tuple[CostFigure, ...]:
    """Return all figures of this module."""
    configuration = [figure for targets in TARGETS for figure in configuration_costs(targets)]
    checks = [validation_cost(targets) for targets in TARGETS[:2]]
    return (*placement_costs(), *health_costs(), *configuration, *checks)


def main() -> None:
    """Print all figures, one a line."""
    for figure in core_costs():
        print(figure)


if __name__ == "__main__":
    main()
