"""Configurations: in force everywhere within seconds, and never an older one again.

Owns what was in force at each process.  Relies on observations at short intervals, taken outside.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from sloepond.lab.checkers.violations import Promise, ViolationLog


class BalancerObservation(msgspec.Struct, frozen=True):
    """What is in force at one process at one moment.

    :ivar incarnation: tells processes of one name apart.
    :ivar generation: 0 where nothing is in force yet.
    :ivar reachable_since: since when it has run, not paused, and had a way to the
        platform or to a peer that had; infinity where it has none now.
    :ivar peer_generation: returns the highest generation in force at the peers it can reach now.
    """

    name: str
    incarnation: int
    generation: int
    reachable_since: float
    peer_generation: Callable[[], int]


class _Published(msgspec.Struct):
    """One generation; `served_since` is when the platform last began to serve it."""

    generation: int
    served_since: float


class ConfigurationChecker:
    """Follows what is in force at each process; see the module.

    :ivar in_force_seconds: longest time from a generation's publication until a
        reachable process had it in force.
    """

    LIMIT_S = 4.0
    """Seconds within which a generation must be in force."""
    NEWCOMER_S = 4.0
    """Seconds after which a generation is known to the fleet, so that no newcomer may
    use an older one while it can reach a peer that has the newer one."""

    def __init__(self, log: ViolationLog) -> None:
        self._log = log
        self._published: list[_Published] = []
        self._generation: dict[tuple[str, int], int] = {}
        self._reported: set[tuple[str, int, int]] = set()
        self._fleet_generation = 0
        self._fleet_generation_at = 0.0
        self.in_force_seconds = 0.0

    def published(self, generation: int, now: float) -> None:
        """The platform serves a new generation; infinity where it is down."""
        self._published.append(_Published(generation, now))

    def served_again(self, now: float) -> None:
        """The platform is back and serves the latest generation."""
        for published in self._published:
            published.served_since = now

    def withheld(self) -> None:
        """The platform no longer serves the latest generation."""
        for published in self._published:
            published.served_since = float("inf")

    def observe(self, observation: BalancerObservation, now: float) -> None:
        """Compare one process with what was published."""
        key = (observation.name, observation.incarnation)
        before = self._generation.get(key)
        self._generation[key] = observation.generation
        self._check_revert(observation, before, now)
        self._check_lateness(observation, now)
        if observation.generation > self._fleet_generation:
            self._fleet_generation = observation.generation
            self._fleet_generation_at = now

    def _check_revert(self, observation: BalancerObservation, before: int | None, now: float) -> None:
        generation = observation.generation
        if before is not None and generation < before:
            detail = f"{observation.name} went from generation {before} back to {generation}"
            self._log.add(Promise.CONFIGURATION_REVERTS, now, detail)
            return
        started_using = not before and generation > 0
        known = now - self._fleet_generation_at > self.NEWCOMER_S
        is_old = started_using and known and generation < self._fleet_generation
        if is_old and observation.peer_generation() > generation:
            detail = (
                f"{observation.name} started with generation {generation}"
                f" while {self._fleet_generation} was in force"
            )
            self._log.add(Promise.CONFIGURATION_REVERTS, now, detail)

    def _check_lateness(self, observation: BalancerObservation, now: float) -> None:
        for published in reversed(self._published):
            if published.generation <= observation.generation:
                return
            late = now - max(published.served_since, observation.reachable_since)
            self.in_force_seconds = max(self.in_force_seconds, late)
            key = (observation.name, observation.incarnation, published.generation)
            if late > self.LIMIT_S and key not in self._reported:
                self._reported.add(key)
                detail = f"{observation.name} lacks generation {published.generation} after {late:.2f} s"
                self._log.add(Promise.CONFIGURATION_IN_FORCE, now, detail)
