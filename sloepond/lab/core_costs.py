"""Processor time of parts of the core, measured in this process.

`python -m sloepond.lab.core_costs` prints the figures.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import cast

import msgspec

from sloepond.core.configuration.assembly import TransferHeader
from sloepond.core.configuration.delta import ConfigurationDelta
from sloepond.core.configuration.encoding import encode_delta, encode_slices
from sloepond.core.configuration.fetcher import FetchedTransfer
from sloepond.core.configuration.judgement import Verdict, judge_snapshot, judge_transfer
from sloepond.core.configuration.sliced_work import SlicedWork
from sloepond.core.context import NodeContext
from sloepond.core.health.load_estimate import LoadEstimate
from sloepond.core.health.monitor import HealthMonitor
from sloepond.core.messages import Member, View
from sloepond.core.packets import LoadReport
from sloepond.core.routing.placement import POLICY_NAMES, PlacementCandidate, policy_by_name
from sloepond.core.settings import HealthSettings
from sloepond.resources.compiled import (
    EMPTY_CONFIGURATION,
    CompiledBackend,
    CompiledConfiguration,
    find_resource,
    make_snapshot,
    resource_key,
)
from sloepond.resources.digest import updated_digest
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendSpec,
    BackendState,
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
from sloepond.resources.slices import Slices, finished

CANDIDATES = 7
CHOICES = 20_000
EVIDENCE = 50_000
SERVICES = 10
TARGETS = (1_000, 10_000, 120_000)
CHANGE_REPEATS = 40
WHOLE_REPEATS = 3
MICROSECONDS = 1e6
MILLISECONDS = 1e3
KILOBYTE = 1e3
MEGABYTE = 1e6
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
    """Return the processor time of changes among `targets` back ends.

    The receiver decodes and checks a delta and updates the digest and the indexes.
    The reader compares a whole snapshot, whose decoding is not counted, with the
    configuration in force, and then does the same.
    """
    base = CompiledConfiguration(make_snapshot(1, declared_targets(targets)))
    one = _target(targets // 2, weight=50)
    service = _service(1, repeatable=True)
    name = f"configuration of {targets} targets"
    encoded = encode_delta(ConfigurationDelta((one,), ()))
    return (
        _mean_cost(f"{name}, one back end at a receiver", lambda: _receiver(base, (one,))),
        _mean_cost(f"{name}, one back end at the reader", _reader(base, one), WHOLE_REPEATS),
        _mean_cost(f"{name}, one service at a receiver", lambda: _receiver(base, (service,))),
        _mean_cost(
            f"{name}, one hall at a receiver", lambda: _receiver(base, (_moved_hall(),)), WHOLE_REPEATS
        ),
        CostFigure(f"{name}, encoded delta of one change", float(len(encoded)), "bytes"),
    )


def fresh_costs(targets: int) -> tuple[CostFigure, ...]:
    """Return what it costs to take a first snapshot of `targets` back ends in slices."""
    snapshot = make_snapshot(1, declared_targets(targets))
    read = _sliced(judge_snapshot(EMPTY_CONFIGURATION, snapshot))
    encoding = _sliced(encode_slices(ConfigurationDelta(snapshot.resources, ())))
    data = encode_delta(ConfigurationDelta(snapshot.resources, ()))
    header = TransferHeader(1, snapshot.digest, 0, 1)
    received = _sliced(judge_transfer(EMPTY_CONFIGURATION, FetchedTransfer("source", header, data)))
    name = f"first configuration of {targets} targets"
    figures: list[CostFigure] = []
    for work, cost in (("read", read), ("encoded for others", encoding), ("received", received)):
        figures.append(CostFigure(f"{name}, {work}", sum(cost) * MILLISECONDS, "ms"))
        figures.append(CostFigure(f"{name}, {work}, longest slice", max(cost) * MILLISECONDS, "ms"))
        figures.append(CostFigure(f"{name}, {work}, slices", float(len(cost)), ""))
    return (*figures, CostFigure(f"{name}, encoded", len(data) / KILOBYTE, "KB"))


def memory_cost(targets: int) -> CostFigure:
    """Return the memory of one configuration in force that came from another balancer."""
    snapshot = make_snapshot(1, declared_targets(targets))
    data = encode_delta(ConfigurationDelta(snapshot.resources, ()))
    transfer = FetchedTransfer("source", TransferHeader(1, snapshot.digest, 0, 1), data)
    del snapshot
    gc.collect()
    tracemalloc.start()
    configuration = finished(judge_transfer(EMPTY_CONFIGURATION, transfer)).configuration
    gc.collect()
    kept_bytes, highest_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if configuration is None:
        raise ValueError("the declared targets are not valid")
    name = f"memory of a configuration of {targets} targets ({highest_bytes / MEGABYTE:.1f} MB at most)"
    return CostFigure(name, kept_bytes / MEGABYTE, "MB")


def _sliced(work: Slices[Verdict] | Slices[bytes]) -> list[float]:
    """Return the processor time of each slice of some work, seconds."""
    seconds: list[float] = []
    context = NodeContext(Member("balancer", 1, "10.1.0.1:1", HALL), random.Random(1))
    sliced: SlicedWork[object] = SlicedWork(context)
    started = time.process_time()
    sliced.start(cast("Slices[object]", work), _check_accepted)
    seconds.append(time.process_time() - started)
    while sliced.is_busy:
        context.now = sliced.next_deadline()
        started = time.process_time()
        sliced.on_time()
        seconds.append(time.process_time() - started)
    return seconds


def _check_accepted(result: object) -> None:
    if isinstance(result, Verdict) and result.configuration is None:
        raise ValueError(f"the declared targets are not valid: {result.reason}")


def _receiver(base: CompiledConfiguration, changed: tuple[Resource, ...]) -> None:
    digest = updated_digest(base.digest, changed, _former(base, changed))
    header = TransferHeader(2, digest, 1, 1)
    data = encode_delta(ConfigurationDelta(changed, ()))
    _check_accepted(finished(judge_transfer(base, FetchedTransfer("source", header, data))))


def _reader(base: CompiledConfiguration, changed: Resource) -> Callable[[], None]:
    """Return the reader's work on a snapshot of which no object is in force yet."""
    digest = updated_digest(base.digest, (changed,), _former(base, (changed,)))
    content = base.content.resources.edited((), (changed,))
    read = msgspec.json.decode(
        msgspec.json.encode(ConfigurationSnapshot(2, digest, tuple(content))), type=ConfigurationSnapshot
    )
    return lambda: _check_accepted(finished(judge_snapshot(base, read)))


def _former(base: CompiledConfiguration, changed: tuple[Resource, ...]) -> list[Resource]:
    found = (find_resource(base.content.resources, resource_key(resource)) for resource in changed)
    return [resource for resource in found if resource is not None]


def _moved_hall() -> Hall:
    return Hall(API_VERSION, Metadata("hall-1"), HallSpec("zone-2"))


def _mean_cost(name: str, work: Callable[[], object], repeats: int = CHANGE_REPEATS) -> CostFigure:
    return CostFigure(name, _mean_s(work, repeats) * MILLISECONDS, "ms")


def declared_targets(targets: int) -> list[Resource]:
    """Return a valid set of resources with `targets` back ends."""
    region = Region(API_VERSION, Metadata("region"))
    zones = [Zone(API_VERSION, Metadata(name), ZoneSpec("region")) for name in ("zone", "zone-2")]
    halls = [Hall(API_VERSION, Metadata(f"hall-{number}"), HallSpec("zone")) for number in range(3)]
    services = [_service(number) for number in range(SERVICES)]
    return [region, *zones, *halls, *services, *(_target(number) for number in range(targets))]


def _service(number: int, repeatable: bool = False) -> Service:
    permitted = (PlaceSelector(region="region"),)
    spec = ServiceSpec(f"10.255.0.{number + 1}:7000", permitted=permitted, repeatable_by_default=repeatable)
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
    fresh = [figure for targets in TARGETS for figure in fresh_costs(targets)]
    memory = [memory_cost(targets) for targets in TARGETS]
    return (*placement_costs(), *health_costs(), *configuration, *fresh, *memory)


def main() -> None:
    """Print all figures, one a line."""
    for figure in core_costs():
        print(figure)


if __name__ == "__main__":
    main()
