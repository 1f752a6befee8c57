"""Tries to reach a back end: connections are opened and closed, nothing is sent.

Another back end is tried at the same time.  Only where that one is reached each time
does silence of the first one mean that it is gone.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from sloepond.core.forwarding.events import CheckResult
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.runtime.forwarding.event_loop import EventLoop, sleep_until
from sloepond.runtime.forwarding.streams import connect

TRIES_S = (0.0, 0.03, 0.06)
"""When connections to the back end are tried: opening packets may be lost."""
CONTROL_TRIES_S = (0.0, 0.05)
"""When connections to the other one are."""
CHECK_S = 0.1
"""How long a check takes at most: a connection between halls is made in about 3 ms."""

SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
"""Errors of a connection that this process lacks descriptors, memory or ports for.

They say nothing about the back end.  Taken for a refusal, they would mark it unreachable and
reset its resting flows.
"""


class ReachabilityCheck:
    """One check of one back end.

    :param control: another back end; None where there is none.
    :param report: told once what the connections have shown.
    :param report_failure: told each connection that this process had no resources for.
    """

    def __init__(
        self,
        loop: EventLoop,
        endpoint: Endpoint,
        control: Endpoint | None,
        report: Callable[[CheckResult], None],
        report_failure: Callable[[OSError], None],
    ) -> None:
        self._loop = loop
        self._report = report
        self._report_failure = report_failure
        self._had_shortage = False
        self._control_reached = 0
        self._is_reported = False
        now = loop.clock()
        self._ends_at = now + CHECK_S
        for delay_s in TRIES_S:
            loop.start(self._try(endpoint, now + delay_s))
        if control is not None:
            for delay_s in CONTROL_TRIES_S:
                loop.start(self._try_control(control, now + delay_s))
        loop.start(self._give_up())

    async def _try(self, endpoint: Endpoint, begins_at: float) -> None:
        """Try once; an accepted or refused connection decides."""
        await sleep_until(begins_at)
        if self._is_reported:
            return
        try:
            with await connect(endpoint, self._ends_at):
                self._decide(CheckResult.REACHABLE)
        except TimeoutError:
            return  # Silence decides nothing by itself.
        except OSError as error:
            if not self._is_shortage(error):
                self._decide(CheckResult.UNREACHABLE)

    async def _try_control(self, endpoint: Endpoint, begins_at: float) -> None:
        """Try to reach the other back end once."""
        await sleep_until(begins_at)
        if self._is_reported:
            return
        try:
            with await connect(endpoint, self._ends_at):
                self._control_reached += 1
        except OSError as error:
            # Whatever the reason, it counts as not reached, and the result stays open.
            self._is_shortage(error)

    def _is_shortage(self, error: OSError) -> bool:
        """Tell whether a connection failed for want of resources here; report it then."""
        if error.errno not in SHORTAGES:
            return False
        self._had_shortage = True
        self._report_failure(error)
        return True

    async def _give_up(self) -> None:
        await sleep_until(self._ends_at)
        is_control_reached = self._control_reached == len(CONTROL_TRIES_S)
        is_certain = is_control_reached and not self._had_shortage
        self._decide(CheckResult.UNREACHABLE if is_certain else CheckResult.UNKNOWN)

    def _decide(self, result: CheckResult) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._report(result)
