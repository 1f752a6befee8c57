"""Measures how long the processes of a demo have waited for a processor.

A timeout should mean that something is broken, not that the machine is busy.  The system shares processors
among sessions: next to 30 busy sessions on 8 cores, all processes of a demo together get 8/31 of a core, and
its balancers need longer than `START_TIMEOUT_S` to start.  So timeouts do not count the time in which a
process was runnable but waited for a processor.

Owns: the waiting time of each process at the last call.  Relies on: Linux scheduler statistics
(`schedstat`); without them timeouts count all time.
"""

from __future__ import annotations

import os
from pathlib import Path

import trio

MAXIMUM_TIMEOUT_FACTOR = 5.0
"""Upper limit of an extended timeout, as a multiple of the timeout itself."""
EXTEND_INTERVAL_S = 0.5
"""Interval at which the deadline of a whole run is extended."""
_NANOSECONDS_PER_S = 1e9
_WAIT_FIELD_INDEX = 1
"""Index in `schedstat` of the time spent waiting for a processor, in nanoseconds."""


class ProcessorWait:
    """Waiting times of this process and of its children."""

    def __init__(self) -> None:
        self._waited_s = _processor_waits_s()

    def wait_since_last_call(self) -> float:
        """Return the maximum time in seconds that any process has waited since the last call."""
        waited_s = _processor_waits_s()
        before, self._waited_s = self._waited_s, waited_s
        return max((waited_s[pid] - before.get(pid, 0.0) for pid in waited_s), default=0.0)


async def extend_deadline(scope: trio.CancelScope, limit_s: float) -> None:
    """Extend the deadline of a scope by the time that processes wait for a processor, until cancelled.

    :param limit_s: timeout of the scope without such waits, in seconds.
    """
    processor_wait = ProcessorWait()
    latest = scope.deadline + (MAXIMUM_TIMEOUT_FACTOR - 1.0) * limit_s
    while True:
        await trio.sleep(EXTEND_INTERVAL_S)
        scope.deadline = min(latest, scope.deadline + processor_wait.wait_since_last_call())


def _processor_waits_s() -> dict[int, float]:
    """Return the total waiting time of each process, in seconds, by process id."""
    waits_s: dict[int, float] = {}
    for pid in (os.getpid(), *_child_pids()):
        waited_s = _processor_wait_s(pid)
        if waited_s is not None:
            waits_s[pid] = waited_s
    return waits_s


def _child_pids() -> list[int]:
    pids: list[int] = []
    for file in Path("/proc/self/task").glob("*/children"):
        pids += map(int, _read(file).split())
    return pids


def _processor_wait_s(pid: int) -> float | None:
    """Return the total waiting time of a process in seconds, None if it has ended or is not accounted."""
    numbers = _read(Path(f"/proc/{pid}/schedstat")).split()
    return int(numbers[_WAIT_FIELD_INDEX]) / _NANOSECONDS_PER_S if len(numbers) > _WAIT_FIELD_INDEX else None


def _read(file: Path) -> str:
    """Return the content of a file, empty if it cannot be read because its process has ended."""
    try:
        return file.read_text(encoding="ascii")
    except OSError:
        return ""
