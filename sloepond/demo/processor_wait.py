"""How long the processes of a demo have waited for a processor.

A limit on a wait says that something is broken, not that the machine is busy.  The system shares processors
among sessions: beside 30 busy ones a demo of 30 processes gets 8/31 of a core, and its balancers needed more
than the 30 s that they have to forward; beside 30 or 75 busy processes of its own session they needed
14 to 22 s (8 cores, three scenarios at once).  So limits leave out the time in which a process stood in line.

Owns: what each process had waited when last asked.  Relies on the accounting of Linux (`schedstat`); where
there is none, no wait is left out.
"""

from __future__ import annotations

import os
from pathlib import Path

import trio

LONGEST_FACTOR = 5.0
"""How many times its limit a wait may last where the processes get no processor; not measured."""
EXTEND_INTERVAL_S = 0.5
"""Seconds between two looks at the waits while a whole run is limited; not measured."""
_NANOSECONDS_PER_S = 1e9
_WAITED_FIELD = 1
"""Place in `schedstat` of the time spent waiting for a processor, in nanoseconds."""


class ProcessorWait:
    """The waits of this process and of those that it has started."""

    def __init__(self) -> None:
        self._waited_s = _waits_s()

    def take(self) -> float:
        """Return the longest time in seconds that one of the processes has waited since the last call."""
        waited_s = _waits_s()
        before, self._waited_s = self._waited_s, waited_s
        return max((waited_s[pid] - before.get(pid, 0.0) for pid in waited_s), default=0.0)


async def extend_deadline(scope: trio.CancelScope, limit_s: float) -> None:
    """Move the deadline of a scope on by the time that processes wait for a processor, until cancelled.

    :param limit_s: seconds that the scope may last without such waits.
    """
    waited = ProcessorWait()
    latest = scope.deadline + (LONGEST_FACTOR - 1.0) * limit_s
    while True:
        await trio.sleep(EXTEND_INTERVAL_S)
        scope.deadline = min(latest, scope.deadline + waited.take())


def _waits_s() -> dict[int, float]:
    """Return what each process has waited in its life, in seconds, by its id."""
    waits_s: dict[int, float] = {}
    for pid in (os.getpid(), *_children()):
        waited_s = _wait_s(pid)
        if waited_s is not None:
            waits_s[pid] = waited_s
    return waits_s


def _children() -> list[int]:
    pids: list[int] = []
    for file in Path("/proc/self/task").glob("*/children"):
        pids += map(int, _read(file).split())
    return pids


def _wait_s(pid: int) -> float | None:
    """Return what a process has waited, None where it has ended or the system does not count it."""
    numbers = _read(Path(f"/proc/{pid}/schedstat")).split()
    return int(numbers[_WAITED_FIELD]) / _NANOSECONDS_PER_S if len(numbers) > _WAITED_FIELD else None


def _read(file: Path) -> str:
    """Return the content of a file, empty where the process that it tells of has ended."""
    try:
        return file.read_text(encoding="ascii")
    except OSError:
        return ""
