"""Policies that choose the back end of a new flow.

Every policy is a pure function of the flow's hash, the candidates and the given
random source, and returns the back end of one of the candidates.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from sloepond.core.routing.placement_hash import hash_choice, hash_order, rendezvous_draw
from sloepond.core.routing.placement_load import CandidateLoad, PlacementCandidate, candidate_loads
from sloepond.resources.compiled import CompiledBackend

BOUND_FACTOR = 1.25
"""Largest load per capacity, as a multiple of the mean, a candidate is chosen at."""
REQUEST_BOUND_FACTOR = 2.0
"""The same for requests in flight, which vary more and pass sooner."""
HOT_QUANTILE = 0.84
"""Quantile of requests in flight above which a candidate counts as hot."""
HOT_COLD_SAMPLE = 4
"""Candidates drawn at random for one choice of the hot-cold policy."""


class PlacementPolicy(Protocol):
    """Chooses a back end for a new flow."""

    name: str

    def choose(
        self, flow_hash: int, candidates: Sequence[PlacementCandidate], random: random.Random
    ) -> CompiledBackend:
        """Return the back end of one candidate.

        :param flow_hash: hash of the flow.
        :param candidates: at least one.
        :param random: source of randomness.
        """


class HashPolicy:
    """Takes the hash's choice, whatever the load."""

    name = "hash"

    def choose(
        self, flow_hash: int, candidates: Sequence[PlacementCandidate], random: random.Random
    ) -> CompiledBackend:
        """Return the hash's choice among the candidates."""
        return hash_choice(flow_hash, [candidate.backend for candidate in candidates])


class BoundedLoadPolicy:
    """Takes the first back end in the hash's order whose load is near the mean.

    :param factor: largest load per capacity as a multiple of the mean.
    """

    name = "bounded-load"

    def __init__(self, factor: float = BOUND_FACTOR) -> None:
        self.factor = factor

    def choose(
        self, flow_hash: int, candidates: Sequence[PlacementCandidate], random: random.Random
    ) -> CompiledBackend:
        """Return the first back end in hash order that is within the bounds."""
        loads = candidate_loads(candidates)
        bounded = self._within_flow_bound(loads)
        calm = _within_request_bound(bounded, loads)
        return _first_in_hash_order(flow_hash, calm or bounded or loads).backend

    def _within_flow_bound(self, loads: list[CandidateLoad]) -> list[CandidateLoad]:
        flows = sum([load.flows for load in loads]) + 1.0
        bound = self.factor * flows / sum([load.capacity for load in loads])
        return [load for load in loads if load.flows <= bound * load.capacity]


def _within_request_bound(bounded: list[CandidateLoad], loads: list[CandidateLoad]) -> list[CandidateLoad]:
    in_flight = sum([load.in_flight for load in loads])
    bound = REQUEST_BOUND_FACTOR * in_flight / sum([load.capacity for load in loads])
    return [load for load in bounded if load.in_flight <= bound * load.capacity + load.backend.slots]


def _first_in_hash_order(flow_hash: int, loads: Sequence[CandidateLoad]) -> CandidateLoad:
    if len(loads) == 1:
        return loads[0]
    return min(loads, key=lambda load: rendezvous_draw(flow_hash, load.backend.name, load.capacity))


class TwoChoicesPolicy:
    """Draws two candidates at random by capacity and takes the less loaded one."""

    name = "two-choices"

    def choose(
        self, flow_hash: int, candidates: Sequence[PlacementCandidate], random: random.Random
    ) -> CompiledBackend:
        """Return the less loaded of two candidates drawn at random."""
        loads = candidate_loads(candidates)
        first = _draw_by_capacity(loads, random)
        others = [load for load in loads if load is not first]
        if not others:
            return first.backend
        second = _draw_by_capacity(others, random)
        return min(first, second, key=_load_key).backend


def _draw_by_capacity(loads: list[CandidateLoad], random: random.Random) -> CandidateLoad:
    remaining = random.random() * sum([load.capacity for load in loads])
    for load in loads:
        remaining -= load.capacity
        if remaining < 0.0:
            return load
    return loads[-1]


class HotColdPolicy:
    """Takes the cold candidate with fewest flows, or the least hot one.

    A candidate is hot if its requests in flight are above a quantile of all
    candidates.  Requests in flight only tell hot from cold; among cold ones the
    open flows decide, because flows are long and their load lies ahead.  Each
    choice looks at a random few, so that balancers do not all choose the same.
    """

    name = "hot-cold"

    def choose(
        self, flow_hash: int, candidates: Sequence[PlacementCandidate], random: random.Random
    ) -> CompiledBackend:
        """Return the best of a random few by the hot-cold rule."""
        loads = candidate_loads(candidates)
        threshold = _quantile([load.request_load for load in loads], HOT_QUANTILE)
        pool = random.sample(loads, min(HOT_COLD_SAMPLE, len(loads)))
        cold = [load for load in pool if load.request_load <= threshold]
        if cold:
            return min(cold, key=_load_key).backend
        return min(pool, key=lambda load: load.request_load).backend


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))]


class LeastLoadedPolicy:
    """Takes the least loaded candidate of all; ties are broken at random."""

    name = "least-loaded"

    def choose(
        self, flow_hash: int, candidates: Sequence[PlacementCandidate], random: random.Random
    ) -> CompiledBackend:
        """Return the candidate with the fewest flows for its capacity."""
        loads = candidate_loads(candidates)
        start = random.randrange(len(loads))
        return min(loads[start:] + loads[:start], key=_load_key).backend


def _load_key(load: CandidateLoad) -> tuple[float, float]:
    return (load.flow_load, load.request_load)


_POLICIES: dict[str, PlacementPolicy] = {
    policy.name: policy
    for policy in (
        HashPolicy(),
        BoundedLoadPolicy(),
        TwoChoicesPolicy(),
        HotColdPolicy(),
        LeastLoadedPolicy(),
    )
}

POLICY_NAMES = tuple(_POLICIES)
"""Names `policy_by_name` knows."""


def policy_by_name(name: str) -> PlacementPolicy:
    """Return a placement policy.

    :raises ValueError: if there is no policy of that name.
    """
    policy = _POLICIES.get(name)
    if policy is None:
        raise ValueError(f"unknown placement policy {name!r}; known: {', '.join(POLICY_NAMES)}")
    return policy


__all__ = [
    "BOUND_FACTOR",
    "POLICY_NAMES",
    "BoundedLoadPolicy",
    "PlacementCandidate",
    "PlacementPolicy",
    "hash_choice",
    "hash_order",
    "policy_by_name",
]
