"""Records the generations in force at every balancer, in the order observed.

Owns: the sequence of each process.  Relies on: the status reports of the balancers.
"""

from __future__ import annotations

import msgspec
import trio

from sloepond.demo.fleet import Fleet

_INTERVAL_S = 0.1
"""Polling interval of all balancers, short compared with the time a generation is in force."""


class ProcessKey(msgspec.Struct, frozen=True):
    """Identifies one process of a balancer."""

    name: str
    pid: int


class GenerationWatch:
    """Polls the status of all balancers that should be running.

    :ivar sequences: generations of each process, without consecutive duplicates.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.sequences: dict[ProcessKey, list[int]] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            for balancer in list(self._fleet.balancers):
                status = await self._fleet.access.status(balancer.planned)
                if status is not None:
                    self._record(ProcessKey(balancer.name, balancer.process.pid), status.generation)
            await trio.sleep(_INTERVAL_S)

    def _record(self, key: ProcessKey, generation: int) -> None:
        sequence = self.sequences.setdefault(key, [])
        if not sequence or sequence[-1] != generation:
            sequence.append(generation)

    def reverts(self) -> list[str]:
        """Return the processes whose generation decreased, with their sequences."""
        return [_describe(key, seen) for key, seen in self.sequences.items() if seen != sorted(seen)]

    def older_than(self, generation: int, known: frozenset[ProcessKey]) -> list[str]:
        """Return the processes not in `known` that had a generation older than `generation` in force."""
        return [
            _describe(key, seen)
            for key, seen in self.sequences.items()
            if key not in known and any(0 < item < generation for item in seen)
        ]


def _describe(key: ProcessKey, sequence: list[int]) -> str:
    return f"{key.name}: {sequence}"
