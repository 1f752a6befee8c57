"""Sizes at which the costs are measured."""

from __future__ import annotations

import msgspec

from sloepond.lab.capacity import design


class CapacityPlan(msgspec.Struct, frozen=True):
    """Sizes of every measure; at least three each.

    :ivar cell: members of a cell where their number is not what is varied.
    :ivar cell_sizes: members of a cell.
    :ivar idle_s: simulated seconds of an idle cell.
    :ivar changes: configuration changes of one measure.
    :ivar fleet_cells: cells of 10 of the hollow fleets.
    :ivar fleet_s: simulated seconds of a hollow fleet.
    :ivar table_entries: entries of one flow table.
    :ivar view_entries: entries a balancer holds when the view changes.
    :ivar packets: packets of one kind sent through a cell of 10.
    :ivar change_targets: targets of the configuration that changes.
    :ivar read_targets: targets of the configuration that is read and held whole.
    :ivar delta_changes: changed targets of one delta.
    :ivar spread_cells: cells of 3 over which a change spreads.
    :ivar spread_changes: changes whose spreading is timed; the mean is taken.
    :ivar probe_targets: targets a lone health monitor walks over.
    :ivar probe_s: simulated seconds of that walk.
    :ivar machines: entries of the list of machines.
    :ivar listed_s: simulated seconds of a cell that is told of so many machines.
    :ivar requests: requests of the operators' API for each size.
    """

    cell: int = design.CELL
    cell_sizes: tuple[int, ...] = (3, 6, 9, design.CELL, 12, 16)
    idle_s: float = 30.0
    changes: int = 8
    fleet_cells: tuple[int, ...] = (1, 10, 100)
    fleet_s: float = 10.0
    table_entries: tuple[int, ...] = (1_000, 10_000, 100_000, 300_000)
    view_entries: tuple[int, ...] = (1_000, 10_000, 30_000)
    packets: tuple[int, ...] = (1_000, 2_000, 4_000)
    change_targets: tuple[int, ...] = (1_000, 10_000, 120_000)
    read_targets: tuple[int, ...] = (1_000, 10_000, 30_000)
    delta_changes: tuple[int, ...] = (10, 100, 900)
    spread_cells: tuple[int, ...] = (10, 30, 100)
    spread_changes: int = 6
    probe_targets: tuple[int, ...] = (1_000, 10_000, 120_000)
    probe_s: float = 60.0
    machines: tuple[int, ...] = (1_000, 5_000, 15_000)
    listed_s: float = 20.0
    requests: int = 200


TINY_PLAN = CapacityPlan(
    cell=5,
    cell_sizes=(3, 4, 5),
    idle_s=2.0,
    changes=2,
    fleet_cells=(1, 2, 3),
    fleet_s=2.0,
    table_entries=(200, 400, 800),
    view_entries=(100, 200, 400),
    packets=(50, 100, 200),
    change_targets=(50, 100, 200),
    read_targets=(50, 100, 200),
    delta_changes=(5, 10, 20),
    spread_cells=(2, 3, 5),
    spread_changes=1,
    probe_targets=(50, 100, 200),
    probe_s=5.0,
    machines=(100, 200, 400),
    listed_s=2.0,
    requests=10,
)
"""Sizes that only show that the command works; their figures mean nothing."""
