"""Processor time of the operators' API, without HTTP."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from sloepond.api.application import ResourceListing
from sloepond.api.errors import json_response
from sloepond.api.metrics import Metrics
from sloepond.api.resource_status import with_status
from sloepond.api.status import build_status
from sloepond.core.node import Node
from sloepond.lab.capacity import design
from sloepond.lab.capacity.fit import Point
from sloepond.lab.capacity.flow_samples import fill_tables
from sloepond.lab.capacity.hollow_fleet import FleetPlan, HollowFleet
from sloepond.lab.capacity.plan import CapacityPlan
from sloepond.lab.capacity.series import Role, Series
from sloepond.lab.core_costs import declared_targets
from sloepond.resources.compiled import CompiledConfiguration, make_snapshot
from sloepond.runtime.traffic import TrafficClass, TrafficMeter, TrafficRate, TrafficTotal

TARGETS = 10
STATUS_BY_PEERS = "status, by members"
METRICS_BY_PEERS = "metrics, by members"
STATUS_BY_FLOWS = "status, by entries"
METRICS_BY_FLOWS = "metrics, by entries"
LISTING = "list of all resources"


class NodeState:
    """A node as the API sees it, without a daemon around it."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._traffic = TrafficMeter()

    @property
    def node(self) -> Node:
        """The core."""
        return self._node

    @property
    def traffic_totals(self) -> Mapping[TrafficClass, TrafficTotal]:
        """Totals, all 0."""
        return self._traffic.totals

    def traffic_rates(self) -> tuple[TrafficRate, ...]:
        """Return rates, all 0."""
        return self._traffic.rates(0.0)

    def request_stop(self) -> None:
        """Do nothing."""


def api_series(plan: CapacityPlan) -> tuple[Series, ...]:
    """Return the cost of one status, one reading of the metrics, and one listing."""
    peers = [(members, _measure(members, 0, plan)) for members in plan.cell_sizes]
    flows = [(entries, _measure(plan.cell, entries, plan)) for entries in plan.view_entries]
    listings = tuple(Point(targets, _listing_ms(targets)) for targets in plan.read_targets)
    role = Role.OPERATORS_API
    entries = design.ENTRIES_PER_DAEMON
    return (
        Series(role, STATUS_BY_PEERS, "ms", "members of a cell", _points(peers, 0), design.CELL),
        Series(role, METRICS_BY_PEERS, "ms", "members of a cell", _points(peers, 1), design.CELL),
        Series(role, STATUS_BY_FLOWS, "ms", "entries held", _points(flows, 0), entries),
        Series(role, METRICS_BY_FLOWS, "ms", "entries held", _points(flows, 1), entries),
        Series(role, LISTING, "ms", "targets", listings, design.TARGETS),
    )


def _points(rows: list[tuple[int, tuple[float, float]]], column: int) -> tuple[Point, ...]:
    return tuple(Point(size, values[column]) for size, values in rows)


def _measure(members: int, entries: int, plan: CapacityPlan) -> tuple[float, float]:
    """Return the milliseconds of one status and of one reading of the metrics."""
    fleet = HollowFleet(FleetPlan(1, members, TARGETS))
    fleet.form()
    if entries:
        fill_tables(fleet, entries)
    state = NodeState(next(iter(fleet.nodes.values())).node)
    metrics = Metrics(state)
    status_ms = _mean_ms(lambda: json_response(build_status(state)), plan.requests)
    return status_ms, _mean_ms(metrics.render, plan.requests)


def _listing_ms(targets: int) -> float:
    configuration = CompiledConfiguration(make_snapshot(1, declared_targets(targets)))

    def list_all() -> object:
        listed = tuple(with_status(item, configuration) for item in configuration.snapshot.resources)
        return json_response(ResourceListing(listed, configuration.generation))

    return _mean_ms(list_all, 1)


def _mean_ms(work: Callable[[], object], repeats: int) -> float:
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) / repeats * 1e3
