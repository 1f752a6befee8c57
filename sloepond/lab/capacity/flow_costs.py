"""Memory and digests of flow entries, and what a change of view costs."""

from __future__ import annotations

import gc
import itertools
import time
import tracemalloc

import msgspec

from sloepond.core.events import StopRequested
from sloepond.core.messages import FlowEntry
from sloepond.core.routing.flow_table import FlowTable
from sloepond.core.routing.local_load import LocalBackendLoad
from sloepond.core.settings import RoutingSettings
from sloepond.lab.capacity import design
from sloepond.lab.capacity.fit import Point
from sloepond.lab.capacity.flow_samples import fill_tables, sample_entry, sample_keys
from sloepond.lab.capacity.hollow_fleet import FleetPlan, HollowFleet
from sloepond.lab.capacity.hollow_node import Usage
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.series import Role, Series

TARGETS = 10
LONGEST_S = 120.0
STEP_S = 1.0
QUIET_STEPS = 3
IDLE_S = 10.0
"""Simulated time that tells what the cell uses without a change."""

ENTRY_MEMORY = "memory of flow entries"
DIGEST_PROCESSOR = "digests of all partitions"
CRASH = "crash of one member"
LEAVE = "planned leave"
RETURN = "return of one member"
HALL_LOSS = "loss of a hall (4 of 10)"

_DECODER = msgspec.msgpack.Decoder(FlowEntry)


class ChangeCost(msgspec.Struct, frozen=True):
    """What one change of view costs the whole cell beyond what it uses anyway.

    :ivar busiest_second_bytes: control of the whole cell in the second with the most.
    :ivar duration_s: time until every partition has its replicas again.
    """

    busiest_second_bytes: float
    transfer_bytes: float
    processor_s: float
    duration_s: float


def change_name(change: str, cost: str) -> str:
    """Return the name of a series of `view_change_series`."""
    return f"{change}: {cost}"


CONTROL, TRANSFER, PROCESSOR, DURATION = (
    "control sent by the cell in the busiest second",
    "entries and digests sent by the cell",
    "processor time of the cell",
    "time until all replicas are complete",
)


def table_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return memory and digest time of one table by entries."""
    rows = [_measure_table(entries) for entries in plan.table_entries]
    memory, digests = zip(*rows, strict=True)
    return (
        Series(Role.FLOW_STATE, ENTRY_MEMORY, "MB", "entries", memory, design.ENTRIES_PER_DAEMON),
        Series(Role.FLOW_STATE, DIGEST_PROCESSOR, "ms", "entries", digests, design.ENTRIES_PER_DAEMON),
    )


def _measure_table(entries: int) -> tuple[Point, Point]:
    """Return the megabytes of a table and the milliseconds of its digests."""
    gc.collect()
    tracemalloc.start()
    try:
        table = _filled_table(entries)
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    started = time.process_time()
    for partition in range(table.partitions):
        table.digest_of(partition)
    digest_s = time.process_time() - started
    return Point(entries, size / 1e6), Point(entries, digest_s * 1e3)


def _filled_table(entries: int) -> FlowTable:
    """Return a table whose entries were decoded as from a peer, so that they share nothing."""
    table = FlowTable(RoutingSettings().partitions, LocalBackendLoad())
    for number, key in enumerate(itertools.islice(sample_keys(), entries)):
        entry = _DECODER.decode(msgspec.msgpack.encode(sample_entry(key, number)))
        table.merge(table.partition_of(entry.flow), entry, 0.0)
    return table


def view_change_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return costs of four changes of view by entries held by each balancer."""
    points: dict[str, list[Point]] = {}
    for entries in plan.view_entries:
        for change, cost in _measure_changes(entries, plan.cell).items():
            for name, value in (
                (CONTROL, cost.busiest_second_bytes / 1e3),
                (TRANSFER, cost.transfer_bytes / 1e3),
                (PROCESSOR, cost.processor_s * 1e3),
                (DURATION, cost.duration_s),
            ):
                points.setdefault(change_name(change, name), []).append(Point(entries, value))
    units = {CONTROL: "kB", TRANSFER: "kB", PROCESSOR: "ms", DURATION: "s"}
    return tuple(
        Series(
            Role.MEMBERSHIP if name.endswith(CONTROL) else Role.FLOW_STATE,
            name,
            units[name.partition(": ")[2]],
            "entries held by each balancer",
            tuple(values),
            design.ENTRIES_PER_DAEMON,
        )
        for name, values in points.items()
    )


def _measure_changes(entries: int, cell: int) -> dict[str, ChangeCost]:
    fleet = HollowFleet(FleetPlan(1, cell, TARGETS))
    fleet.form()
    fill_tables(fleet, entries)
    gc.collect()
    gc.freeze()
    idle = fleet.measure(IDLE_S)
    addresses = list(fleet.nodes)
    costs: dict[str, ChangeCost] = {}
    fleet.crash(addresses[0])
    costs[CRASH] = _until_quiet(fleet, idle)
    fleet.start(addresses[0])
    costs[RETURN] = _until_quiet(fleet, idle)
    fleet.inject(addresses[1], StopRequested())
    costs[LEAVE] = _until_quiet(fleet, idle)
    fleet.start(addresses[1])
    _until_quiet(fleet, idle)
    for address in addresses[::3]:
        fleet.crash(address)
    costs[HALL_LOSS] = _until_quiet(fleet, idle)
    return costs


def _until_quiet(fleet: HollowFleet, idle: Usage) -> ChangeCost:
    """Run until the view has changed and no entries or digests are sent any more."""
    before = fleet.usage()
    started = fleet.queue.now
    epochs = _epochs(fleet)
    latest_activity = started
    quiet = 0
    busiest = 0
    while fleet.queue.now - started < LONGEST_S and quiet < QUIET_STEPS:
        step = fleet.measure(STEP_S)
        busiest = max(busiest, step.control_bytes)
        has_settled = len(_epochs(fleet)) == 1 and max(_epochs(fleet)) > max(epochs)
        if step.transfer_bytes or not has_settled:
            latest_activity = fleet.queue.now
            quiet = 0
        else:
            quiet += 1
    used = fleet.usage().since(before)
    share = (fleet.queue.now - started) / IDLE_S
    return ChangeCost(
        busiest_second_bytes=busiest,
        transfer_bytes=used.transfer_bytes,
        processor_s=max(0.0, used.processor_s - idle.processor_s * share),
        duration_s=latest_activity - started,
    )


def _epochs(fleet: HollowFleet) -> set[int]:
    """Return the epochs of the members that are in their own view."""
    return {
        host.node.membership.view.epoch
        for host in fleet.nodes.values()
        if any(member.name == host.member.name for member in host.node.membership.view.members)
    }
