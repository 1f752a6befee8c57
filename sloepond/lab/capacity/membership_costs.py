"""Control traffic and processor time of idle cells, and of a configuration change in them."""

from __future__ import annotations

from sloepond.lab.capacity import design
from sloepond.lab.capacity.fit import Point
from sloepond.lab.capacity.hollow_fleet import FleetPlan, HollowFleet
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.series import Role, Series

CELLS = 2
"""Cells of the fleet, so that offers to other cells are sent too."""
FEW_TARGETS = 10
CHANGE_INTERVAL_S = 2.0

IDLE_BYTES = "control sent by an idle balancer"
IDLE_HEADER_BYTES = "the same with IPv4 and UDP headers"
IDLE_PROCESSOR = "control of an idle balancer, 10 targets"
CHANGE_BYTES = "control sent by a balancer for one configuration change"


def membership_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return costs of an idle balancer by cell size."""
    rows = [_measure(members, plan) for members in plan.cell_sizes]
    columns = list(zip(*rows, strict=True))
    names = (
        (Role.MEMBERSHIP, IDLE_BYTES, "bytes/s"),
        (Role.MEMBERSHIP, IDLE_HEADER_BYTES, "bytes/s"),
        (Role.MEMBERSHIP, IDLE_PROCESSOR, "ms/s"),
        (Role.CONFIGURATION, CHANGE_BYTES, "bytes"),
    )
    return tuple(
        Series(role, cost, unit, "members of a cell", points, design.CELL)
        for (role, cost, unit), points in zip(names, columns, strict=True)
    )


def _measure(members: int, plan: CapacityPlan) -> tuple[Point, Point, Point, Point]:
    """Return payload bytes/s, bytes/s with headers, ms/s, and bytes per change, of one balancer."""
    fleet = HollowFleet(FleetPlan(CELLS, members, FEW_TARGETS))
    fleet.form()
    idle = fleet.measure(plan.idle_s)
    balancers = members * CELLS
    seconds = plan.idle_s * balancers
    headers = idle.control_datagrams * design.PACKET_HEADER_BYTES
    changing_s = plan.changes * CHANGE_INTERVAL_S
    before = fleet.usage()
    for number in range(plan.changes):
        fleet.publish(number)
        fleet.run(CHANGE_INTERVAL_S)
    spent = fleet.usage().since(before).control_bytes - idle.control_bytes * changing_s / plan.idle_s
    return (
        Point(members, idle.control_bytes / seconds),
        Point(members, (idle.control_bytes + headers) / seconds),
        Point(members, idle.processor_s * 1e3 / seconds),
        Point(members, spent / balancers / plan.changes),
    )
