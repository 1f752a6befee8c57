"""Hollow fleets: what one balancer uses, by the number of balancers."""

from __future__ import annotations

from sloepond.lab.capacity import design
from sloepond.lab.capacity.fit import Point
from sloepond.lab.capacity.hollow_fleet import FleetPlan, HollowFleet
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.series import Role, Series

PROBED_TARGETS = 100
"""Enough that each balancer sends as many probes as it ever does."""

FLEET_BYTES = "control sent by a balancer of a hollow fleet"
FLEET_HEADER_BYTES = "control of a hollow fleet with IPv4 and UDP headers"
FLEET_PROCESSOR = "control of a balancer of a hollow fleet, 20 probes/s"
FLEET_PROBES = "probes sent by a balancer of a hollow fleet"
LISTED_BYTES = "control sent by a balancer, by machines listed"
LISTED_HEADER_BYTES = "the same with IPv4 and UDP headers, by machines listed"
LISTED_PROCESSOR = "control of a balancer, 20 probes/s, by machines listed"
CONFIGURATION_READS = "reads of the configuration at the platform"
MACHINE_LIST_READS = "reads of the list of machines at the platform"


def listed_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return costs of a balancer of one cell by machines in the platform's list.

    The list, and offers to those on it, is all that a balancer sees of other cells.
    """
    rows = [_measure_listed(machines, plan) for machines in plan.machines]
    columns = list(zip(*rows, strict=True))
    names = ((LISTED_BYTES, "bytes/s"), (LISTED_HEADER_BYTES, "bytes/s"), (LISTED_PROCESSOR, "ms/s"))
    return tuple(
        Series(Role.WHOLE, cost, unit, "machines", points, design.DAEMONS)
        for (cost, unit), points in zip(names, columns, strict=True)
    )


def _measure_listed(machines: int, plan: CapacityPlan) -> tuple[Point, Point, Point]:
    """Return bytes/s, bytes/s with headers, and ms/s, of one balancer."""
    fleet = HollowFleet(FleetPlan(1, plan.cell, PROBED_TARGETS, listed_machines=machines))
    fleet.form()
    used = fleet.measure(plan.listed_s)
    seconds = plan.cell * plan.listed_s
    headers = used.control_datagrams * design.PACKET_HEADER_BYTES
    return (
        Point(machines, used.control_bytes / seconds),
        Point(machines, (used.control_bytes + headers) / seconds),
        Point(machines, used.processor_s * 1e3 / seconds),
    )


def fleet_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return costs by balancers, and reads by cells and balancers."""
    rows = [_measure(cells, plan) for cells in plan.fleet_cells]
    columns = list(zip(*rows, strict=True))
    names = (
        (Role.WHOLE, FLEET_BYTES, "bytes/s", "balancers", design.DAEMONS),
        (Role.WHOLE, FLEET_HEADER_BYTES, "bytes/s", "balancers", design.DAEMONS),
        (Role.WHOLE, FLEET_PROCESSOR, "ms/s", "balancers", design.DAEMONS),
        (Role.PROBING, FLEET_PROBES, "1/s", "balancers", design.DAEMONS),
        (Role.PLATFORM_READS, CONFIGURATION_READS, "1/s", "cells of 10", design.CELLS),
        (Role.PLATFORM_READS, MACHINE_LIST_READS, "1/s", "balancers", design.DAEMONS),
    )
    return tuple(
        Series(role, cost, unit, size, points, design_size)
        for (role, cost, unit, size, design_size), points in zip(names, columns, strict=True)
    )


def _measure(cells: int, plan: CapacityPlan) -> tuple[Point, ...]:
    fleet = HollowFleet(FleetPlan(cells, plan.cell, PROBED_TARGETS))
    fleet.form()
    used = fleet.measure(plan.fleet_s)
    balancers = cells * plan.cell
    seconds = balancers * plan.fleet_s
    headers = used.control_datagrams * design.PACKET_HEADER_BYTES
    return (
        Point(balancers, used.control_bytes / seconds),
        Point(balancers, (used.control_bytes + headers) / seconds),
        Point(balancers, used.processor_s * 1e3 / seconds),
        Point(balancers, used.probes / seconds),
        Point(cells, used.configuration_reads / plan.fleet_s),
        Point(balancers, used.machine_list_reads / plan.fleet_s),
    )
