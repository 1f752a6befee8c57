"""Processor time, bytes, memory and spreading time of the configuration."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from sloepond.core.configuration.delta import ConfigurationDelta
from sloepond.core.configuration.encoding import encode_delta
from sloepond.core.configuration.judgement import judge_snapshot
from sloepond.core.context import NodeContext
from sloepond.core.events import MachineListRead
from sloepond.core.health.monitor import HealthMonitor
from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.core.settings import HealthSettings, NodeSettings
from sloepond.lab.capacity import design
from sloepond.lab.capacity.fit import Point, Shape
from sloepond.lab.capacity.hollow_fleet import FleetPlan, HollowFleet
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.probing_costs import CellView
from sloepond.lab.capacity.series import Role, Series
from sloepond.lab.core_costs import CostFigure, configuration_costs, declared_targets, fresh_costs
from sloepond.resources.compiled import (
    EMPTY_CONFIGURATION,
    CompiledConfiguration,
    make_snapshot,
    resource_key,
)
from sloepond.resources.model import Backend, ConfigurationSnapshot, Location
from sloepond.resources.slices import finished
from sloepond.runtime.platform_client import MachineListBody, decode_configuration

SPREAD_CELL = 3
SPREAD_LOSS = 0.1
ALL_CELLS = 0
SPREAD_STEP_S = 0.05
SPREAD_LIMIT_S = 30.0
REPEATS = 5
HALL = Location("region", "zone", "hall-0")

RECEIVER = "one changed target, at a receiver"
READER = "one changed target, at the reader, without decoding"
SERVICE_CHANGE = "one changed service, at a receiver"
HALL_CHANGE = "one changed hall, at a receiver"
WHOLE = "first configuration checked, hashed and compiled"
LONGEST_SLICE = "longest slice of a first configuration"
DELTA_BYTES = "encoded delta of one changed target"
HEALTH_CHANGE = "health takes a configuration with one changed target"
READ_BYTES = "body of a whole read of the configuration"
READ_PROCESSOR = "decoding a whole read of the configuration"
WHOLE_BYTES = "encoded whole configuration, for a starting balancer"
MEMORY = "memory of one configuration in force"
MEMORY_PEAK = "more memory while a whole read is compared"
MANY_CHANGES_BYTES = "encoded delta by changed targets"
ORDINARY_MEAN = "time until in force everywhere, every cell reads, 10% loss, mean"
ORDINARY_SLOWEST = "time until in force everywhere, every cell reads, 10% loss, slowest"
SPREAD_MEAN = "time until in force everywhere, one cell reads, 10% loss, mean"
SPREAD_SLOWEST = "time until in force everywhere, one cell reads, 10% loss, slowest"
MACHINE_LIST_BYTES = "body of a read of the list of machines"
MACHINE_LIST_PROCESSOR = "decoding and taking the list of machines"

ConfigurationMeasure = Callable[[int], tuple[float, ...]]


def configuration_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return all costs of the configuration and of the list of machines."""
    return (
        *_measured(
            plan.change_targets,
            _measure_change,
            (
                (RECEIVER, "ms"),
                (READER, "ms"),
                (SERVICE_CHANGE, "ms"),
                (HALL_CHANGE, "ms"),
                (DELTA_BYTES, "bytes"),
                (WHOLE, "ms"),
                (LONGEST_SLICE, "ms"),
                (HEALTH_CHANGE, "ms"),
            ),
            "targets",
            design.TARGETS,
        ),
        *_measured(
            plan.read_targets,
            _measure_read,
            (
                (READ_BYTES, "MB"),
                (READ_PROCESSOR, "ms"),
                (WHOLE_BYTES, "MB"),
                (MEMORY, "MB"),
                (MEMORY_PEAK, "MB"),
            ),
            "targets",
            design.TARGETS,
        ),
        *_measured(
            plan.delta_changes,
            _measure_delta,
            ((MANY_CHANGES_BYTES, "bytes"),),
            "changed targets",
            design.CHANGES_PER_HOUR,
        ),
        *_measured(
            plan.machines,
            _measure_machine_list,
            ((MACHINE_LIST_BYTES, "MB"), (MACHINE_LIST_PROCESSOR, "ms")),
            "machines",
            design.DAEMONS,
        ),
        *_measured(
            plan.spread_cells,
            lambda cells: (
                *_measure_spread(cells, ALL_CELLS, plan.spread_changes),
                *_measure_spread(cells, 1, plan.spread_changes),
            ),
            ((ORDINARY_MEAN, "s"), (ORDINARY_SLOWEST, "s"), (SPREAD_MEAN, "s"), (SPREAD_SLOWEST, "s")),
            "cells of 3",
            design.CELLS,
            Shape.LOGARITHMIC,
        ),
    )


def _measured(
    sizes: tuple[int, ...],
    measure: ConfigurationMeasure,
    costs: tuple[tuple[str, str], ...],
    size: str,
    design_size: float,
    shape: Shape = Shape.LINEAR,
) -> tuple[Series, ...]:
    """Measure each size once and return one series for each cost, given as name and unit."""
    columns = list(zip(*(measure(number) for number in sizes), strict=True))
    return tuple(
        Series(
            Role.CONFIGURATION,
            cost,
            unit,
            size,
            tuple(Point(number, value) for number, value in zip(sizes, values, strict=True)),
            design_size,
            shape,
        )
        for (cost, unit), values in zip(costs, columns, strict=True)
    )


def _measure_change(targets: int) -> tuple[float, ...]:
    figures = (*configuration_costs(targets), *fresh_costs(targets))
    endings = (
        ", one back end at a receiver",
        ", one back end at the reader",
        ", one service at a receiver",
        ", one hall at a receiver",
        ", encoded delta of one change",
        ", read",
        ", read, longest slice",
    )
    values = (_value_of(figures, ending) for ending in endings)
    return (*values, _health_change_ms(targets))


def _value_of(figures: tuple[CostFigure, ...], ending: str) -> float:
    """Return the value of the one figure whose name ends so."""
    (value,) = (figure.value for figure in figures if figure.name.endswith(ending))
    return value


def _health_change_ms(targets: int) -> float:
    context = NodeContext(Member("balancer", 1, "10.1.0.1:1", HALL), random.Random(1))
    monitor = HealthMonitor(context, HealthSettings(), CellView(design.CELL))
    present = CompiledConfiguration(make_snapshot(1, declared_targets(targets)))
    monitor.configuration_changed(present)
    spent = 0.0
    for number in range(REPEATS):
        present = present.updated(2 + number, (_reweighted(present.snapshot, number),), ())
        started = time.process_time()
        monitor.configuration_changed(present)
        spent += time.process_time() - started
    return spent / REPEATS * 1e3


def _reweighted(snapshot: ConfigurationSnapshot, number: int) -> Backend:
    """Return a changed copy of the back end with this number."""
    backends = (item for item in snapshot.resources if isinstance(item, Backend))
    chosen = next(item for index, item in enumerate(backends) if index == number)
    return msgspec.structs.replace(chosen, spec=msgspec.structs.replace(chosen.spec, weight=50))


def _measure_read(targets: int) -> tuple[float, ...]:
    """Return megabytes read, milliseconds of decoding, and megabytes encoded, held, more at the peak."""
    first = make_snapshot(1, declared_targets(targets))
    reweighted = _reweighted(first, 0)
    others = (item for item in first.resources if resource_key(item) != resource_key(reweighted))
    body = msgspec.json.encode(first)
    next_body = msgspec.json.encode(make_snapshot(2, (*others, reweighted)))
    encoded = encode_delta(ConfigurationDelta(first.resources, ()))
    started = time.process_time()
    decode_configuration(body)
    decode_ms = (time.process_time() - started) * 1e3
    held, peak = _memory_of_reads(body, next_body)
    return len(body) / 1e6, decode_ms, len(encoded) / 1e6, held / 1e6, (peak - held) / 1e6


def _memory_of_reads(body: bytes, next_body: bytes) -> tuple[int, int]:
    """Return the bytes of a configuration read, and the most while the next one is taken."""
    gc.collect()
    tracemalloc.start()
    try:
        in_force = _accepted(EMPTY_CONFIGURATION, body)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        _accepted(in_force, next_body)
        return held, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def _accepted(base: CompiledConfiguration, body: bytes) -> CompiledConfiguration:
    """Return the configuration that the body of a read makes of `base`.

    :raises ValueError: where it is not accepted.
    """
    received = bytes(bytearray(body))
    snapshot = decode_configuration(received)
    if not isinstance(snapshot, ConfigurationSnapshot):
        raise ValueError(snapshot.reason)
    verdict = finished(judge_snapshot(base, snapshot))
    if verdict.configuration is None:
        raise ValueError(verdict.reason)
    return verdict.configuration


def _measure_delta(changes: int) -> tuple[float, ...]:
    snapshot = make_snapshot(1, declared_targets(changes))
    backends = [item for item in snapshot.resources if isinstance(item, Backend)]
    return (float(len(encode_delta(ConfigurationDelta(tuple(backends), ())))),)


def _measure_machine_list(machines: int) -> tuple[float, ...]:
    """Return megabytes of the body, and milliseconds to decode it and to take it into a node."""
    members = tuple(
        Member(
            f"balancer-{number}", 1_760_000_000_000 + number, f"10.{number >> 8}.{number & 255}.1:7003", HALL
        )
        for number in range(machines)
    )
    body = msgspec.json.encode(MachineListBody(members))
    node = Node(members[0], NodeSettings(), random.Random(1))
    node.start(0.0)
    started = time.process_time()
    for _ in range(REPEATS):
        decoded = msgspec.json.decode(body, type=MachineListBody)
        node.handle(MachineListRead(decoded.members), 0.0)
    return len(body) / 1e6, (time.process_time() - started) / REPEATS * 1e3


class SpreadTooSlowError(Exception):
    """A change was not in force everywhere within 30 s."""


def _measure_spread(cells: int, reading_cells: int, changes: int) -> tuple[float, float]:
    """Return the mean and the longest time a change takes over all cells, seconds."""
    plan = FleetPlan(cells, SPREAD_CELL, loss=SPREAD_LOSS, targets=10, reading_cells=reading_cells)
    fleet = HollowFleet(plan)
    fleet.form()
    _seconds_until_in_force(fleet)
    phases = random.Random(cells)
    times = []
    for number in range(changes):
        fleet.run(1.0 + phases.random())
        fleet.publish(number)
        times.append(_seconds_until_in_force(fleet))
    return sum(times) / len(times), max(times)


def _seconds_until_in_force(fleet: HollowFleet) -> float:
    started = fleet.queue.now
    while not fleet.is_in_force_everywhere():
        fleet.run(SPREAD_STEP_S)
        if fleet.queue.now - started > SPREAD_LIMIT_S:
            raise SpreadTooSlowError(f"not in force everywhere after {SPREAD_LIMIT_S} s")
    return fleet.queue.now - started
