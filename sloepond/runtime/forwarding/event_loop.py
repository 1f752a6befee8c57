"""A small event loop that runs coroutines and callbacks in one thread on a selector.

It is used instead of trio, whose import takes two thirds of the start time on a small machine
(docs/adr/0011-lean-event-loop.md).  Owns the selector, the running tasks and their timers; relies
on a monotonic clock.  Every wait has a deadline, so coroutines are not cancelled from outside.
"""

from __future__ import annotations

import heapq
import itertools
import selectors
import types
from collections import deque
from collections.abc import Callable, Coroutine, Generator

from sloepond.core.deadlines import NEVER
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.forwarding.sockets import Socket

MAXIMUM_SELECT_S = 60.0
"""Longest timeout of one `select` call, in seconds; longer waits are split into several calls.

`epoll_wait` accepts a bounded number of milliseconds, and one wake-up per minute costs nothing.
"""
FOR_READING = selectors.EVENT_READ
"""Event of a wait: bytes, a datagram or a connection can be read, or the other end has closed."""
FOR_WRITING = selectors.EVENT_WRITE
"""Event of a wait: the socket can be written to, or its connection is established or refused."""

TaskCoroutine = Coroutine["Wait", None, None]
"""A coroutine that the loop runs; it may only await `readable`, `writable` and `sleep_until`."""


class Wait:
    """What a coroutine waits for.

    :ivar deadline: in seconds of the loop's clock, `NEVER` for none.
    :ivar stream: socket that must become ready, None for a wait on time alone.
    :ivar events: `FOR_READING` or `FOR_WRITING`.
    """

    __slots__ = ("deadline", "stream", "events")

    def __init__(self, deadline: float, stream: Socket | None = None, events: int = 0) -> None:
        self.deadline = deadline
        self.stream = stream
        self.events = events


async def readable(stream: Socket, deadline: float) -> None:
    """Wait until a socket can be read from or accepted on.

    :raises TimeoutError: if the deadline passes first.
    """
    await _wait(Wait(deadline, stream, FOR_READING))


async def writable(stream: Socket, deadline: float) -> None:
    """Wait until a socket can be written to, or until its connection is established or refused.

    :raises TimeoutError: if the deadline passes first.
    """
    await _wait(Wait(deadline, stream, FOR_WRITING))


async def sleep_until(time: float) -> None:
    """Wait until a time of the loop's clock, in seconds."""
    await _wait(Wait(time))


@types.coroutine
def _wait(wait: Wait) -> Generator[Wait, None, None]:
    yield wait


class Task:
    """A coroutine that the loop runs.

    :ivar wait: its current wait, None while it is scheduled to run.
    """

    __slots__ = ("coroutine", "wait")

    def __init__(self, coroutine: TaskCoroutine) -> None:
        self.coroutine = coroutine
        self.wait: Wait | None = None


class EventLoop:
    """Runs coroutines and callbacks until it is stopped.

    An unhandled exception of a coroutine or a callback ends the loop.

    :param clock: returns the time of a monotonic clock, in seconds.
    :param selector: waits for sockets; by default the most efficient one of the system.
    """

    def __init__(
        self,
        clock: Callable[[], float] = monotonic_seconds,
        selector: selectors.BaseSelector | None = None,
    ) -> None:
        self.clock = clock
        self._selector = selector or selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Task, Wait]] = []
        self._timer_numbers = itertools.count()
        self._due: deque[Task] = deque()
        self._tasks: set[Task] = set()
        self._next_deadline: Callable[[], float] = _never
        self._on_timer: Callable[[], None] = _ignore_deadline
        self._is_stopped = False

    def start(self, coroutine: TaskCoroutine) -> None:
        """Run a coroutine concurrently; its first step follows the current step of the loop."""
        task = Task(coroutine)
        self._tasks.add(task)
        self._due.append(task)

    def watch(self, stream: Socket, on_readable: Callable[[], None]) -> None:
        """Call a function each time a socket can be read from or accepted on."""
        self._selector.register(stream, FOR_READING, on_readable)

    def unwatch(self, stream: Socket) -> None:
        """Stop calling the function of a watched socket."""
        self._selector.unregister(stream)

    def follow_deadline(self, next_deadline: Callable[[], float], on_timer: Callable[[], None]) -> None:
        """Call a function whenever a deadline that may move has passed; a loop has only one of these.

        :param next_deadline: returns the deadline in seconds of the loop's clock; called before each wait.
        """
        self._next_deadline = next_deadline
        self._on_timer = on_timer

    def stop(self) -> None:
        """End `run` after the current step."""
        self._is_stopped = True

    def run(self) -> None:
        """Run until stopped; then close the coroutines that still wait."""
        try:
            while not self._is_stopped:
                self.run_once()
        finally:
            self._close()

    def run_once(self) -> None:
        """Wait for a socket or deadline; handle sockets first, then deadlines, then scheduled tasks."""
        for key, _ in self._selector.select(self._select_timeout()):
            if isinstance(key.data, Task):
                self._resume(key.data)
            else:
                key.data()
        if self.clock() >= self._next_deadline():
            self._on_timer()
        self._expire_waits()
        for _ in range(len(self._due)):
            self._step(self._due.popleft(), None)

    def _select_timeout(self) -> float:
        if self._due:
            return 0.0
        deadline = min(self._next_deadline(), self._timers[0][0] if self._timers else NEVER)
        return min(MAXIMUM_SELECT_S, max(0.0, deadline - self.clock()))

    def _expire_waits(self) -> None:
        now = self.clock()
        while self._timers and self._timers[0][0] <= now:
            _, _, task, wait = heapq.heappop(self._timers)
            if task.wait is wait:
                self._time_out(task, wait)

    def _time_out(self, task: Task, wait: Wait) -> None:
        self._end_wait(task)
        self._step(task, None if wait.stream is None else TimeoutError())

    def _resume(self, task: Task) -> None:
        self._end_wait(task)
        self._step(task, None)

    def _end_wait(self, task: Task) -> None:
        assert task.wait is not None
        if task.wait.stream is not None:
            self._selector.unregister(task.wait.stream)
        task.wait = None

    def _step(self, task: Task, error: TimeoutError | None) -> None:
        """Run a task until its next wait or its end."""
        try:
            wait = task.coroutine.send(None) if error is None else task.coroutine.throw(error)
        except StopIteration:
            self._tasks.discard(task)
            return
        task.wait = wait
        if wait.stream is not None:
            self._selector.register(wait.stream, wait.events, task)
        if wait.deadline < NEVER:
            heapq.heappush(self._timers, (wait.deadline, next(self._timer_numbers), task, wait))

    def _close(self) -> None:
        for task in self._tasks:
            task.coroutine.close()
        self._tasks.clear()
        self._selector.close()


def _never() -> float:
    return NEVER


def _ignore_deadline() -> None:
    """Do nothing; used until a deadline is followed."""
