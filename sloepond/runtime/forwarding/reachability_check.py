"""Checks whether a back end can be reached: connections are opened and closed, nothing is sent.

Another back end, the control, is tried at the same time: silence of the first one means that it is
gone only if every connection to the control is made.  Otherwise it may be this balancer's own link.
Owns the connections of one check.  Relies on the node to choose back end and control and to judge.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from sloepond.core.forwarding.events import CheckResult
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.runtime.forwarding.event_loop import EventLoop, sleep_until
from sloepond.runtime.forwarding.streams import connect

TRIES_S = (0.0, 0.03, 0.06)
"""When connections to the back end are begun, in seconds after the check: a SYN may be lost.

Not measured: three, spread over the first 60 ms, leave the last one 40 ms, over ten round trips.
"""
CONTROL_TRIES_S = (0.0, 0.05)
"""When connections to the control are begun, in seconds after the check.

Both have to be made.  Without a control two living back ends seemed gone on one day, while the
balancer's own link of 10 Mbit/s was full; with one none did (trial).
"""
CHECK_TIMEOUT_S = 0.1
"""How long a check takes at most, in seconds; a connection between halls is made in about 3 ms.

On a day of silent back ends worth was 0.945 with 0.4 s, 0.960 with 0.16 s and 0.973 with 0.1 s
and a repetition in doubt (trials, one seed).
"""

SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
"""Errors of a connection that this process lacks descriptors, memory or ports for.

They say nothing about the back end.  Taken for a refusal, they would mark it unreachable and
reset its resting flows.
"""


class ReachabilityCheck:
    """One check of one back end.

    :param control: address of another back end; None if there is none.
    :param report: called once with the result, `CHECK_TIMEOUT_S` after the start at the latest.
    :param report_failure: called for each connection that this process had no resources for.
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
        self._ends_at = now + CHECK_TIMEOUT_S
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
