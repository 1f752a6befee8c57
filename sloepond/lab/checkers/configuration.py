"""Configurations: a generation must be in force everywhere within seconds, and none may be reverted.

Owns the generation observed at each process.  Relies on its user for observations at short intervals.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from sloepond.lab.checkers.violations import Promise, ViolationLog


class BalancerObservation(msgspec.Struct, frozen=True):
    """The configuration in force at one process at one time.

    :ivar incarnation: distinguishes processes of one name.
    :ivar generation: 0 if none is in force yet.
    :ivar reachable_since: time since which it has run without a pause and configurations
        could reach it; infinity if they cannot now.
    :ivar peer_generation: returns the highest generation in force at the peers it can reach now.
    """

    name: str
    incarnation: int
    generation: int
    reachable_since: float
    peer_generation: Callable[[], int]


class _PublishedGeneration(msgspec.Struct):
    """One generation; `served_since` is when the platform last began to serve it, infinity if it does not."""

    generation: int
    served_since: float


class ConfigurationChecker:
    """Tracks the generation in force at each process and reports late and reverted ones.

    :ivar maximum_in_force_delay_s: maximum time from a generation's publication until a
        reachable process had it in force.
    """

    IN_FORCE_LIMIT_S = 4.0
    """Seconds within which a generation must be in force."""
    PROPAGATION_GRACE_S = 4.0
    """Seconds after a generation is first in force, from which a process that starts must not use an
    older one while it can reach a peer that has a newer one."""

    def __init__(self, log: ViolationLog) -> None:
        self._log = log
        self._generations: list[_PublishedGeneration] = []
        self._generation_in_force: dict[tuple[str, int], int] = {}
        self._reported: set[tuple[str, int, int]] = set()
        self._fleet_generation = 0
        self._fleet_generation_at = 0.0
        self.maximum_in_force_delay_s = 0.0

    def generation_published(self, generation: int, now: float) -> None:
        """Record a new generation, served since `now`; infinity if the platform does not serve it."""
        self._generations.append(_PublishedGeneration(generation, now))

    def serving_resumed(self, now: float) -> None:
        """Record that the platform serves the latest generation again."""
        for published in self._generations:
            published.served_since = now

    def serving_stopped(self) -> None:
        """Record that the platform no longer serves the latest generation."""
        for published in self._generations:
            published.served_since = float("inf")

    def observe(self, observation: BalancerObservation, now: float) -> None:
        """Compare the generation in force at one process with the published ones."""
        key = (observation.name, observation.incarnation)
        previous = self._generation_in_force.get(key)
        self._generation_in_force[key] = observation.generation
        self._check_revert(observation, previous, now)
        self._check_lateness(observation, now)
        if observation.generation > self._fleet_generation:
            self._fleet_generation = observation.generation
            self._fleet_generation_at = now

    def _check_revert(self, observation: BalancerObservation, previous: int | None, now: float) -> None:
        generation = observation.generation
        if previous is not None and generation < previous:
            detail = f"{observation.name} went from generation {previous} back to {generation}"
            self._log.add(Promise.CONFIGURATION_REVERTS, now, detail)
            return
        started_using = not previous and generation > 0
        known = now - self._fleet_generation_at > self.PROPAGATION_GRACE_S
        is_old = started_using and known and generation < self._fleet_generation
        if is_old and observation.peer_generation() > generation:
            detail = (
                f"{observation.name} started with generation {generation}"
                f" while {self._fleet_generation} was in force"
            )
            self._log.add(Promise.CONFIGURATION_REVERTS, now, detail)

    def _check_lateness(self, observation: BalancerObservation, now: float) -> None:
        for published in reversed(self._generations):
            if published.generation <= observation.generation:
                return
            delay_s = now - max(published.served_since, observation.reachable_since)
            self.maximum_in_force_delay_s = max(self.maximum_in_force_delay_s, delay_s)
            key = (observation.name, observation.incarnation, published.generation)
            if delay_s > self.IN_FORCE_LIMIT_S and key not in self._reported:
                self._reported.add(key)
                detail = f"{observation.name} lacks generation {published.generation} after {delay_s:.2f} s"
                self._log.add(Promise.CONFIGURATION_IN_FORCE, now, detail)
