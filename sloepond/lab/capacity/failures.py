"""What failures come to at the design size."""

from __future__ import annotations

from sloepond.core.settings import NodeSettings
from sloepond.lab.capacity import configuration_costs as configuration
from sloepond.lab.capacity import design
from sloepond.lab.capacity import flow_costs as flows
from sloepond.lab.capacity.estimates import Estimator
from sloepond.lab.capacity.flow_samples import lookup_exchange_bytes
from sloepond.lab.capacity.series import FailureEstimate
from sloepond.resources.compiled import INCREMENTAL_LIMIT

RACK = 20
"""Daemons of a rack or behind a switch, assumed; each in another cell."""
LOOKUP_TARGETS = 3
"""Former and present replicas asked for a flow, besides the one that asks."""


def failure_estimates(estimator: Estimator) -> tuple[FailureEstimate, ...]:
    """Return the ordinary day, and the loss of a rack, a zone, and a region for an hour."""
    return (_ordinary_day(estimator), _rack(estimator), _zone(estimator), _region(estimator))


def _change_text(estimator: Estimator, change: str) -> str:
    """Describe what one change of view costs its cell."""

    def value(cost: str) -> float:
        return estimator.view_change_value(change, cost)

    return (
        f"{value(flows.TRANSFER) / 1e3:.1f} MB of entries and digests, {value(flows.PROCESSOR) / 1e3:.1f} s "
        f"of processor time, {value(flows.DURATION):.0f} s until all replicas are complete, "
        f"{value(flows.CONTROL):.1f} kB of control in the busiest second"
    )


def _lookup_text() -> str:
    """Describe the most that lookups of the flows of one lost balancer cost."""
    flows_lost = design.FLOWS_PER_DAEMON
    size = lookup_exchange_bytes() * LOOKUP_TARGETS
    return (
        f"at most {flows_lost:,.0f} flows are looked up at {LOOKUP_TARGETS} others, {size:,} bytes each, "
        f"{flows_lost * size / 1e6:.1f} MB in all"
    )


def _ordinary_day(estimator: Estimator) -> FailureEstimate:
    changes = 2 * (design.FAILURES_PER_DAY + design.RESTARTS_PER_DAY)
    return FailureEstimate(
        f"ordinary day: {design.FAILURES_PER_DAY} failures, {design.RESTARTS_PER_DAY:,} restarts",
        "each failure or restart changes the view of one cell twice; no quorum is ever near its limit",
        f"{changes / design.CELLS:.1f} changes of view a cell a day, {changes / design.DAY_S:.2f} a second "
        f"in the fleet; a daemon on average sends {estimator.transfer_bytes_per_s:.0f} bytes/s of entries "
        f"and uses {estimator.view_change_share:.3%} of a core. "
        f"One crash: {_change_text(estimator, flows.CRASH)}. "
        f"One planned leave: {_change_text(estimator, flows.LEAVE)}. "
        f"One return: {_change_text(estimator, flows.RETURN)}",
        "cells (a change concerns 10 daemons), quorum views, leases, partitions and replicas, digest "
        "comparison, bounded transfers, sharded probes",
    )


def _rack(estimator: Estimator) -> FailureEstimate:
    return FailureEstimate(
        f"rack or switch lost: {RACK} daemons, each of another cell (assumed)",
        "9 of 10 members stay, the quorum is 6; each flow keeps 2 of 3 replicas; lookups of former "
        "replicas only for flows that send before their partition is complete",
        f"{RACK} cells change their view at the same time; in each: {_change_text(estimator, flows.CRASH)}; "
        f"{_lookup_text()}",
        "cells, quorum views, partitions and replicas in different halls, digest comparison, "
        "bounded transfers",
    )


def _zone(estimator: Estimator) -> FailureEstimate:
    daemons = design.DAEMONS / design.ZONES
    return FailureEstimate(
        f"zone lost: {daemons:.0f} daemons",
        "where the three halls of a cell stand in three zones, it loses at most 4 of 10: a quorum of 6 and 2 "
        "replicas of each flow stay. Where all three stand in one zone, the cell is lost as a whole and its "
        "entries with it; callers reach other cells, which find flows only by asking back ends",
        f"up to {daemons / 3:.0f} cells lose a hall, or {daemons / design.CELL:.0f} cells are lost. In each "
        f"cell that loses a hall: {_change_text(estimator, flows.HALL_LOSS)}; "
        f"for each member lost {_lookup_text()}",
        "halls of a cell in different zones, quorum views, leases, replicas in different halls, bounded "
        "transfers; the hash choice of a service and the search over its back ends where a cell is lost",
    )


def _region(estimator: Estimator) -> FailureEstimate:
    changes = design.CHANGES_PER_HOUR
    stall_s = NodeSettings().stall_s
    delta_bytes = estimator.value(configuration.MANY_CHANGES_BYTES)
    slice_ms = estimator.value(configuration.LONGEST_SLICE)
    whole_ms = estimator.value(configuration.WHOLE)
    return FailureEstimate(
        "region apart for an hour",
        "no cell spans regions, so no view changes and no flow moves; without the platform the generation in "
        "force stays, and nothing is reverted",
        f"up to {changes:,.0f} changes are missed; on return the reader of each cell passes on one delta of "
        f"{delta_bytes / 1e3:.1f} kB to 9 members. More than {INCREMENTAL_LIMIT:,} changed "
        f"targets are indexed from the start: at most {whole_ms / 1e3:.2f} s of processor time at every "
        f"balancer, once, in slices of at most {slice_ms:.0f} ms "
        f"(a pause from {stall_s:.0f} s on counts as a stall)",
        "cells within a region, generations that never revert, offers between cells, delta configuration "
        "with one reader a cell",
    )
