"""Candidates of a placement and their estimated load.

The load of a candidate is what others have there, as reported, plus what this
balancer has there itself.  An old report counts less: its place is taken by the
mean of all candidates, so that a candidate does not look idle only because
nothing was heard of it.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.core.health.load_estimate import LoadEstimate
from sloepond.core.routing.placement_hash import LEAST_CAPACITY
from sloepond.resources.compiled import CompiledBackend

_LEAST_WARMTH = 0.01


class PlacementCandidate(msgspec.Struct, gc=False):
    """One back end that may take a flow.

    :ivar load: estimate of the load others have put on it.
    :ivar local_flows: flows this balancer holds open there.
    :ivar local_in_flight: requests this balancer has handed over there and that
        are not answered.
    """

    backend: CompiledBackend
    load: LoadEstimate
    local_flows: int
    local_in_flight: int


class CandidateLoad(msgspec.Struct, gc=False):
    """Load of one candidate, scaled by what it can bear.

    :ivar capacity: weight times slots times warmth.
    :ivar flows: estimated open flows, of all balancers.
    :ivar in_flight: estimated requests in flight, of all balancers.
    """

    backend: CompiledBackend
    capacity: float
    flows: float
    in_flight: float

    @property
    def flow_load(self) -> float:
        """Open flows for each unit of capacity."""
        return self.flows / self.capacity

    @property
    def request_load(self) -> float:
        """Requests in flight for each unit of capacity."""
        return self.in_flight / self.capacity


def candidate_loads(candidates: Sequence[PlacementCandidate]) -> list[CandidateLoad]:
    """Return the loads of those candidates that can take a flow.

    Ejected and full candidates are left out, unless all are.

    :param candidates: at least one.
    """
    loads = _estimated_loads(candidates)
    usable = [
        load
        for candidate, load in zip(candidates, loads, strict=True)
        if not candidate.load.ejected and load.flows < load.backend.connections
    ]
    return usable or loads


def _estimated_loads(candidates: Sequence[PlacementCandidate]) -> list[CandidateLoad]:
    loads = []
    known_capacity = 0.0
    known_flows = 0.0
    known_in_flight = 0.0
    for candidate in candidates:
        backend = candidate.backend
        estimate = candidate.load
        confidence = estimate.confidence
        capacity = (backend.weight * backend.slots or LEAST_CAPACITY) * (estimate.warmth or _LEAST_WARMTH)
        flows = estimate.flows * confidence
        in_flight = estimate.in_flight * confidence
        known_capacity += capacity * confidence
        known_flows += flows
        known_in_flight += in_flight
        loads.append(
            CandidateLoad(
                backend,
                capacity,
                flows + candidate.local_flows,
                in_flight + candidate.local_in_flight,
            )
        )
    if known_capacity:
        _add_means(candidates, loads, known_flows / known_capacity, known_in_flight / known_capacity)
    return loads


def _add_means(
    candidates: Sequence[PlacementCandidate],
    loads: list[CandidateLoad],
    mean_flows: float,
    mean_in_flight: float,
) -> None:
    """Put the mean in place of what is not known of each candidate."""
    for candidate, load in zip(candidates, loads, strict=True):
        unknown = (1.0 - candidate.load.confidence) * load.capacity
        load.flows += unknown * mean_flows
        load.in_flight += unknown * mean_in_flight
