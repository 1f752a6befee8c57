"""Processor time of the parts of a run that are measured."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator


class Stopwatch:
    """Adds up processor time of this thread, in user and kernel mode.

    Processor time and not wall time, since the machine may run other work.

    :ivar seconds: processor seconds measured so far.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Measure the body of a `with` statement."""
        started = time.thread_time()
        try:
            yield
        finally:
            self.seconds += time.thread_time() - started
