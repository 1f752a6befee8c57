"""Generations in force at every balancer, in the order they were seen.

Owns the sequence of each process and relies on the status that balancers give of themselves.
"""

from __future__ import annotations

import msgspec
import trio

from sloepond.demo.fleet import Fleet

_INTERVAL_S = 0.1
"""Seconds between looks at all balancers, short against the life of a generation."""


class ProcessKey(msgspec.Struct, frozen=True):
    """A balancer's process."""

    name: str
    pid: int


class GenerationWatch:
    """Polls the status of all balancers that are meant to run.

    :ivar sequences: generations of each process, each change once.
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
                    self._note(ProcessKey(balancer.name, balancer.process.pid), status.generation)
            await trio.sleep(_INTERVAL_S)

    def _note(self, key: ProcessKey, generation: int) -> None:
        sequence = self.sequences.setdefault(key, [])
        if not sequence or sequence[-1] != generation:
            sequence.append(generation)

    def reverts(self) -> list[str]:
        """Return the processes whose generation went back, with their sequences."""
        return [_describe(key, seen) for key, seen in self.sequences.items() if seen != sorted(seen)]

    def older_than(self, generation: int, known: frozenset[ProcessKey]) -> list[str]:
        """Return processes not in `known` that had something older than `generation` in force."""
        return [
            _describe(key, seen)
            for key, seen in self.sequences.items()
            if key not in known and any(0 < item < generation for item in seen)
        ]


def _describe(key: ProcessKey, sequence: list[int]) -> str:
    return f"{key.name}: {sequence}"
