"""Checks whether a back end can be reached by opening TCP connections, without sending data.

Another back end, the control, is checked at the same time.  If the first one doesn't respond, it counts
as unreachable only if every connection to the control was established; otherwise this balancer's own
link may be the cause.  Owns the connections of one check.  Relies on the node to choose the back end
and the control and to act on the result.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from sloepond.core.forwarding.events import CheckResult
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.runtime.forwarding.event_loop import EventLoop, sleep_until
from sloepond.runtime.forwarding.streams import connect

ATTEMPT_DELAYS_S = (0.0, 0.03, 0.06)
"""Delays of the connection attempts to the back end after the start of the check, in seconds.

There are several because a SYN may be lost.  The last attempt has 40 ms left, over ten round trips.
"""
CONTROL_ATTEMPT_DELAYS_S = (0.0, 0.05)
"""Delays of the connection attempts to the control after the start of the check, in seconds.

Both must succeed.  Without a control, live back ends would count as unreachable while the balancer's own
link of 10 Mbit/s was congested.
"""
CHECK_TIMEOUT_S = 0.1
"""Time limit of a check, in seconds; a connection between halls is established in about 3 ms.

A longer limit delays the detection of back ends that don't respond; an undecided check is repeated.
"""

RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
"""Errors of a connection for which this process lacks descriptors, memory or ports.

They say nothing about the back end.  Treated as a refused connection, they would mark it unreachable
and reset its idle flows.
"""


class ReachabilityCheck:
    """One check of one back end.

    :param control: address of another back end; None if there is none.
    :param report: called once with the result, at most `CHECK_TIMEOUT_S` after the start.
    :param report_failure: called for each connection that failed for lack of resources in this process.
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
        self._had_resource_error = False
        self._control_connections = 0
        self._is_reported = False
        now = loop.clock()
        self._deadline = now + CHECK_TIMEOUT_S
        for delay_s in ATTEMPT_DELAYS_S:
            loop.start(self._attempt(endpoint, now + delay_s))
        if control is not None:
            for delay_s in CONTROL_ATTEMPT_DELAYS_S:
                loop.start(self._attempt_control(control, now + delay_s))
        loop.start(self._time_out())

    async def _attempt(self, endpoint: Endpoint, begins_at: float) -> None:
        """Attempt one connection; an accepted or refused one decides the check."""
        await sleep_until(begins_at)
        if self._is_reported:
            return
        try:
            with await connect(endpoint, self._deadline):
                self._decide(CheckResult.REACHABLE)
        except TimeoutError:
            return  # A timeout alone does not decide the check.
        except OSError as error:
            if not self._is_resource_error(error):
                self._decide(CheckResult.UNREACHABLE)

    async def _attempt_control(self, endpoint: Endpoint, begins_at: float) -> None:
        """Attempt one connection to the control."""
        await sleep_until(begins_at)
        if self._is_reported:
            return
        try:
            with await connect(endpoint, self._deadline):
                self._control_connections += 1
        except OSError as error:
            # For any reason the control counts as not reached, which leaves the result unknown.
            self._is_resource_error(error)

    def _is_resource_error(self, error: OSError) -> bool:
        """Return whether a connection failed for lack of resources in this process; report it if so."""
        if error.errno not in RESOURCE_ERRORS:
            return False
        self._had_resource_error = True
        self._report_failure(error)
        return True

    async def _time_out(self) -> None:
        await sleep_until(self._deadline)
        is_control_reached = self._control_connections == len(CONTROL_ATTEMPT_DELAYS_S)
        is_certain = is_control_reached and not self._had_resource_error
        self._decide(CheckResult.UNREACHABLE if is_certain else CheckResult.UNKNOWN)

    def _decide(self, result: CheckResult) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._report(result)
