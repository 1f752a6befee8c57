"""Which back ends this balancer probes, and when.

Each back end is probed by a few reachable members of the cell, chosen by
rendezvous hashing over the view.  A cursor walks over all back ends once a
round; the choice is made only where the cursor stands, so that a change of view
or of back ends costs nothing at once.
"""

from __future__ import annotations

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership_reader import MembershipReader
from sloepond.core.settings import HealthSettings

MAXIMUM_PROBES_PER_S = 20.0
"""Probes a balancer sends each second; rounds grow longer to keep to it."""
_MAXIMUM_VISITS = 500
_SHORTEST_TICK_S = 0.25
_LONGEST_TICK_S = 1.0


class ProbePlan:
    """Walks over the back ends and tells which ones to probe now."""

    def __init__(self, context: NodeContext, settings: HealthSettings, view: MembershipReader) -> None:
        self._context = context
        self._settings = settings
        self._view = view
        self._names: Sequence[str] = ()
        self._position = 0
        self._owed = 0.0
        self._visited_at = 0.0
        self._next_tick = NEVER

    def set_backends(self, names: Sequence[str]) -> None:
        """Take the names of all back ends in force."""
        if names and not self._names:
            self._position = self._context.random.randrange(len(names))
            self._visited_at = self._context.now
            self._next_tick = self._context.now
        self._names = names
        if not names:
            self._next_tick = NEVER

    def next_deadline(self) -> float:
        """Return when `due` is to be called next."""
        return self._next_tick

    def due(self) -> list[str]:
        """Return the back ends this balancer has to probe now."""
        now = self._context.now
        if now < self._next_tick or not self._names:
            return []
        probers = self._reachable_members()
        round_s = self._round_s(len(probers))
        visits = self._take_visits(now, round_s)
        self._next_tick = now + self._tick_s(round_s)
        return [name for name in self._visit(visits) if self._is_prober(name, probers)]

    def _reachable_members(self) -> list[tuple[str, int]]:
        names = {member.name for member in self._view.view.members if self._view.is_reachable(member.name)}
        names.add(self._context.identity.name)
        return [(name, xxh64_intdigest(name.encode())) for name in sorted(names)]

    def _round_s(self, members: int) -> float:
        probers = min(self._settings.probers_per_backend, members)
        own_share = len(self._names) * probers / members
        return max(self._settings.probe_interval_s, own_share / MAXIMUM_PROBES_PER_S)

    def _take_visits(self, now: float, round_s: float) -> int:
        count = len(self._names)
        self._owed += (now - self._visited_at) / round_s * count
        self._visited_at = now
        visits = min(int(self._owed), count, _MAXIMUM_VISITS)
        self._owed = min(self._owed - visits, 1.0)
        return visits

    def _tick_s(self, round_s: float) -> float:
        tick_s = min(max(round_s / len(self._names), _SHORTEST_TICK_S), _LONGEST_TICK_S)
        return tick_s * (0.75 + 0.5 * self._context.random.random())

    def _visit(self, visits: int) -> list[str]:
        count = len(self._names)
        visited = [self._names[(self._position + step) % count] for step in range(visits)]
        self._position = (self._position + visits) % count
        return visited

    def _is_prober(self, backend: str, members: list[tuple[str, int]]) -> bool:
        wanted = self._settings.probers_per_backend
        if len(members) <= wanted:
            return True
        encoded = backend.encode()
        ranked = sorted(members, key=lambda member: xxh64_intdigest(encoded, member[1]))
        return any(name == self._context.identity.name for name, _ in ranked[:wanted])
